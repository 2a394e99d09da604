#!/bin/sh
# Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/masticdockd ] && [ -x target/review-3/standins ] || exit 2
exec target/review-3/standins own-refusal review/11
