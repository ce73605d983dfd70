#!/bin/sh
# Builds the cases and their stand-ins into target/review, with the standard library only. The build of the deploy file
# comes first: the cases start its programs.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-9]; do
    rustc --edition 2024 -C opt-level=2 --crate-name "case_${case#review/}" -o "target/review/case-${case#review/}" "$case/case.rs"
done
