#!/bin/sh
# Builds the stand-ins and runners of the review's scripts, with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
