#!/usr/bin/env bash
# Builds the stand-ins of all scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -D warnings -O review/harness/main.rs -o target/review/harness
