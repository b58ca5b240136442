#!/bin/sh
# Builds the stand-ins of review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/standins-3 review/standins-3/main.rs
