#!/bin/sh
# Builds the stand-ins that the scripts of this review start, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/standins-2 review/standins-2/main.rs
