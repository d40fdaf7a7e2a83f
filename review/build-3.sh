#!/usr/bin/env bash
# Prepares the stand-ins of review/11 to review/15. They are Python programs of
# the standard library, so there is nothing to compile: this checks that the
# interpreter is there and reads each of them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
for program in harness-3/*.py 1[1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$program"
done
