#!/usr/bin/env bash
# Builds the stand-ins and the runner of the cases. It needs nothing but the toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/case review/standin/main.rs
