#!/bin/sh
# Builds the stand-ins and the player of the cases. It needs nothing but the Rust compiler.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/harness/main.rs
