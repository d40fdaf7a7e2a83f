#!/usr/bin/env bash
# Checks the format and runs the linter. With file names: only those.
#   FIX=1  rewrites the format instead of checking it
set -euo pipefail
cd "$(dirname "$0")/.."
format=clang-format-14
tidy=clang-tidy-14

if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files '*.h' '*.cc')
fi
if [ "${FIX:-0}" = 1 ]; then
  "$format" -i "${files[@]}"
else
  "$format" --dry-run --Werror "${files[@]}"
fi

cmake -S . -B build -G Ninja >/dev/null
mapfile -t sources < <(printf '%s\n' "${files[@]}" | grep '\.cc$' | grep -v '^Tests/' || true)
[ ${#sources[@]} -eq 0 ] && exit 0

# run_tidy EXTRA_ARGUMENTS..., with one source a line on standard input.
run_tidy() {
  xargs -r -P "${JOBS:-$(nproc)}" -n 1 "$tidy" -p build --quiet \
    --extra-arg=-Wno-everything "$@" 2> >(grep -v 'warnings generated' >&2)
}

# Source/Link is C++17. Elsewhere, clang 14 knows std coroutines only when told
# that they are there.
printf '%s\n' "${sources[@]}" | { grep '^Source/Link/' || true; } | run_tidy
printf '%s\n' "${sources[@]}" | { grep -v '^Source/Link/' || true; } | run_tidy \
  --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
  --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 \
  --extra-arg=-D__cpp_impl_coroutine=201902L
