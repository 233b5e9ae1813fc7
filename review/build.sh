#!/usr/bin/env bash
# Builds the programs of the scripted cases, which hold all their stand-ins, with the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.rs; do
  number=$(basename "$(dirname "$source")")
  rustc --edition 2024 -O "$source" -o "target/review/case-$number"
done
