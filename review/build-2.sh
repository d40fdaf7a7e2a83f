#!/usr/bin/env bash
# Prepares the stand-ins of review/6 to review/10. They are Python programs of
# the standard library alone, so there is nothing to compile: this checks that
# the interpreter is there and reads each of them.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - review/harness-2/*.py review/{6,7,8,9,10}/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed.")
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
CHECK
