#!/usr/bin/env bash
# Builds the soak into target/soak, as order-soak or by the name that is given.
# The stand-ins are those of the review.
set -euo pipefail
cd "$(dirname "$0")/../.."
name=${1:-order-soak}
mkdir -p target/soak
flags=(-std=c++20 -O1 -g -Wall -Wextra -I. -pthread)
for source in review/harness/harness.cc Utilities/Soak/*.cc; do
  object=target/soak/$(basename "$source" .cc).o
  if [[ ! -e $object || -n $(find review/harness Utilities/Soak \
    -newer "$object" -name '*.[hc]*' -print -quit) ]]; then
    g++ "${flags[@]}" -c "$source" -o "$object"
  fi
done
g++ -pthread target/soak/*.o -o "target/soak/$name.new"
mv "target/soak/$name.new" "target/soak/$name"
