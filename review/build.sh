#!/bin/sh
# Builds the stand-ins of the review cases with the standard library only, into target/review.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for program in release outage purge; do
    rustc --edition 2024 -O "review/stand/$program.rs" -o "target/review/$program"
done
