#!/usr/bin/env bash
# Runners whose event IDs increase by four. A node is killed, and clients take their streams up.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/id_steps
[ -x "$program" ] || { echo "$program is missing: run review/build-3.sh first"; exit 2; }
exec "$program" review/13/record.txt
