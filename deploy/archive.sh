#!/bin/sh
# Starts a node once, until it is ready, and records the classes that it loads: later starts map them from
# daemon/target/trailthread.jsa instead of reading and verifying jars. A start without the archive is only slower, so a
# failure here does not fail the build.
cd "$(dirname "$0")/.." || exit 0
work=$(mktemp -d) || exit 0
rm -f daemon/target/trailthread.jsa
LB_CONFIG=deploy/example.json LB_LISTEN=127.0.0.1:0 LB_DISCOVERY=127.0.0.1:1 java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx48m \
    -XX:ArchiveClassesAtExit=daemon/target/trailthread.jsa -jar daemon/target/trailthread.jar serve >"$work/log" 2>&1 &
node=$!
tries=0
until grep -q ' serves on ' "$work/log" || [ $tries -ge 300 ] || ! kill -0 $node 2>/dev/null; do
    tries=$((tries + 1))
    sleep 0.1
done
kill -TERM $node 2>/dev/null
wait $node
[ -f daemon/target/trailthread.jsa ] || { echo "class archive was not created:"; cat "$work/log"; } >&2
rm -rf "$work"
exit 0
