#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruptions out.
cd "$(dirname "$0")/../.." || exit 2
target/review/world split review/6 &
world=$!
trap 'pkill -KILL -P $world; kill -KILL $world; exit 2' HUP INT TERM
wait $world
