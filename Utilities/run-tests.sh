#!/usr/bin/env bash
# Builds everything and runs every test. Ends with ctest's summary.
#   JOBS=N  how many compilers run at once (default: one per core)
set -euo pipefail
cd "$(dirname "$0")/.."
jobs="${JOBS:-$(nproc)}"

cmake -S . -B build -G Ninja >/dev/null
cmake --build build -j "$jobs"

if [ "${SANITIZE:-1}" = 1 ]; then
  # The decision cores and the decoders run again under ASan and UBSan.
  cmake -S . -B build-sanitize -G Ninja -DCOWSLIP_SANITIZE=ON >/dev/null
  cmake --build build-sanitize -j "$jobs" --target cowslip_sanitized_tests
  ctest --test-dir build-sanitize -L sanitize --output-on-failure -j "$jobs"
fi

# Known faults run apart: their outcome is printed and fails nothing.
if [ -s KNOWN-RED.txt ]; then
  ctest --test-dir build -L known_red -j "$jobs" || true
fi
ctest --test-dir build -LE known_red --output-on-failure -j "$jobs"
