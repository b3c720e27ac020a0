#!/usr/bin/env bash
# Builds the program that the cases 4 to 8 start: all their stand-ins are in it. It needs the Rust
# compiler alone. The controllers are built by the command of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O review/rig/main.rs -o target/review-2/rig.new
mv target/review-2/rig.new target/review-2/rig
