#!/bin/sh
# Builds the cases 6 to 10 and their stand-ins; each is one program that uses nothing but Rust's standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/case.rs review/7/case.rs review/8/case.rs review/9/case.rs review/10/case.rs; do
    [ -f "$source" ] || continue
    number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$number" "$source"
done
