#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -f "$root/review/target/review/Case3.class" ]; then
    echo "run review/build.sh first"
    exit 2
fi
exec timeout -s TERM -k 5 115 java -Xmx512m -Dreview.root="$root" -Dreview.case="$here" -cp "$root/review/target" review.Case3
