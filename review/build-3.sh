#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside the program itself. It needs the
# compiler alone: no package, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
grep -l '^fn main' review/standins-3/*.rs | while read -r source; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O --cap-lints allow -o "target/review-3/$name" "$source"
done
