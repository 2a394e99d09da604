#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the Rust compiler alone; no packages are needed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/standins/*.rs; do
    name=$(basename "$case" .rs)
    [ "$name" = kit ] && continue
    rustc --edition 2024 -O -o "target/review/$name" "$case"
done
