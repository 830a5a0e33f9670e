#!/usr/bin/env bash
# Two requests with a new template hold a part that crashes runners, and one runner crashes by itself.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# runner's own crash out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/new_template
[ -x "$program" ] || { echo "$program is missing: run review/build-3.sh first"; exit 2; }
exec "$program" review/15/record.txt
