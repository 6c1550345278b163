#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. The node itself is built as the deploy file says.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p target/classes
javac --release 17 -d target/classes ./*.java
