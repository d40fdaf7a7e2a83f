#!/usr/bin/env bash
# Builds the stand-ins and cases of the review into target/review, with the
# packages of the deploy file alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -Ireview/harness -pthread)
g++ "${flags[@]}" -c review/harness/harness.cc -o target/review/harness.o
for source in review/[1-9]/case.cc; do
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" target/review/harness.o -o "target/review/case-$number"
done
