#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs only the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -C opt-level=2 -o target/review/cases review/standins/main.rs
