#!/bin/sh
# Builds the stand-ins that the scripts of the third review start. Uses rustc alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/standins review/standins-3/main.rs
