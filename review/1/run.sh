#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
# What was sent, answered and run is written to review/1/record.txt.
cd "$(dirname "$0")/../.." || exit 2
: > review/1/record.txt || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python -c 'import tomllib' || exit 2
exec .venv/bin/python review/1/case.py
