#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
#   TROUBLE=0  does the same without the disruption
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
command -v python3 >/dev/null || exit 2
exec python3 -B review/6/case.py review/6/record.txt
