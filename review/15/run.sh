#!/usr/bin/env bash
# During a release all nodes are killed, and clients take their streams up.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/all_killed
[ -x "$program" ] || { echo "$program is missing: run review/build-3.sh first"; exit 2; }
exec "$program" review/15/record.txt release
