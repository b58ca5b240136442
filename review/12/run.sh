#!/bin/sh
# Another writer leaves entries of an unknown service at the addresses of servers; servers leave without draining.
# Exits with 1 if OWNER was broken, 0 if it held, 2 if the case could not run; TROUBLE=0 leaves out the entries.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/standins-3 ] && [ -x target/release/camphorcove-gateway ] || exit 2
exec target/review-3/standins-3 odd-entries review/12/record.txt
