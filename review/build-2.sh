#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, with the compiler alone and no package. Run from anywhere, after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/*/case.rs; do
    number=$(basename "$(dirname "$case")")
    rustc --edition 2021 -O --crate-name "case_$number" -o "target/review-2/case-$number" "$case"
done
