#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, with the compiler alone and no package. Run from anywhere, after
# the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    case="review/$number/case.rs"
    [ -f "$case" ] || continue
    rustc --edition 2021 -O --crate-name "case_$number" -o "target/review-2/case-$number" "$case"
done
