#!/bin/bash
# Builds the stand-ins of the second review's scripts. They have no dependencies and need no network.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/rig-2/Cargo.toml --target-dir target/rig-2
