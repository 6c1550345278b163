#!/bin/sh
# Compiles the stand-ins and the cases with the JDK alone, into review/target.
set -e
cd "$(dirname "$0")"
rm -rf target
mkdir -p target
javac -nowarn -d target rig/*.java
