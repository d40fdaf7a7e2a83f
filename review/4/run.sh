#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. Writes record.txt in this folder.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-4 ] && [ -x target/bin/cowslip-gateway ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/case-4 review/4/record.txt
