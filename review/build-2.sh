#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, the project's own included.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked \
    --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
