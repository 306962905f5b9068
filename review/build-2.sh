#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the second review, with the compiler alone.
# The project's own programs are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case-2.rs; do
  number=$(basename "$(dirname "$case")")
  rustc --edition 2024 -O -A dead_code -o "target/review-2/case-$number" "$case"
done
