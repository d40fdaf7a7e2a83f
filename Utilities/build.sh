#!/usr/bin/env bash
# Builds quietly: prints only the first lines of what failed, cut to a width.
#   Utilities/build.sh [TARGET...]    JOBS=N, BUILD=build
set -uo pipefail
cd "$(dirname "$0")/.."
build="${BUILD:-build}"
cmake -S . -B "$build" -G Ninja >/dev/null || exit 1
cmake --build "$build" -j "${JOBS:-3}" ${1:+--target "$@"} >"$build/build.log" 2>&1
status=$?
grep -E 'error:|warning:|FAILED:|undefined reference' "$build/build.log" | cut -c1-220 | head -30
exit $status
