#!/usr/bin/env bash
# Plays seeds one after another: lane.sh NAME BLOCK FIRST LAST STEP [OPTION...]
# Lanes with different blocks (0 to 2) may run side by side. Folders of runs
# that broke nothing are removed.
set -uo pipefail
cd "$(dirname "$0")/../.."
name=$1 block=$2 first=$3 last=$4 step=$5
shift 5
for ((seed = first; seed <= last; seed += step)); do
  folder=target/soak/$name-$seed
  rm -rf "$folder"
  "${SOAK:-target/soak/order-soak}" --seed "$seed" --block "$block" --folder "$folder" \
    "$@" >>"target/soak/$name.$block.txt" 2>&1
  code=$?
  [[ $code == 2 ]] && echo "seed $seed could not run" >>"target/soak/$name.$block.txt"
  [[ $code == 0 ]] && rm -rf "$folder"
done
exit 0
