#!/bin/bash
# Builds the stand-ins that the cases 6 to 10 start. They depend on the standard library alone.
set -e
cd "$(dirname "$0")/standins-2"
CARGO_TARGET_DIR="$PWD/target" exec cargo build --release --locked --offline
