#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins review/standins-2/main.rs
