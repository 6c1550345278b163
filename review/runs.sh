#!/bin/sh
# Runs each case (or those named) five times with the disruption and once without; prints the exit codes.
cd "$(dirname "$0")"
for case in ${*:-[0-9]}; do
    codes=
    for i in 1 2 3 4 5; do
        sh "$case/run.sh" > /dev/null 2>&1
        codes="$codes $?"
    done
    cp "$case/record.txt" "$case/record.trouble"
    TROUBLE=0 sh "$case/run.sh" > /dev/null 2>&1
    echo "case $case: with the disruption$codes, without it $?"
    mv "$case/record.trouble" "$case/record.txt"
done
