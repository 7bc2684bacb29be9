#!/bin/sh
# Builds the stand-ins of the second review, cases 6 to 10: one program, from the standard library alone, with no network.
# Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
"${RUSTC:-rustc}" --edition 2021 -C opt-level=2 -o target/review-2/stand-in-2 review/stand-in-2/main.rs
