#!/bin/bash
# Builds the stand-ins and cases of the third review: one program, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/rig review/rig-3/main.rs
