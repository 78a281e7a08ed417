#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/lab review/lab/main.rs
