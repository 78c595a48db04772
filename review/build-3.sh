#!/bin/sh
# Builds the stand-ins of the review's cases. Needs no package.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O --crate-name standins -o target/review-3/standins review/standins-3/main.rs
