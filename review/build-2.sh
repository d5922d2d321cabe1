#!/bin/sh
# Builds the stand-ins of cases 6 to 10. They are Python on the standard library alone, in review/peers/, and
# need no build beyond that of the deploy file: this checks that the interpreter of that build reads them.
cd "$(dirname "$0")/.." || exit 2
test -x .venv/bin/python || { echo "no .venv: run the build of deploy/balancer.toml first" >&2; exit 2; }
for file in review/peers/*.py review/6/*.py review/7/*.py review/8/*.py review/9/*.py review/10/*.py; do
    test -e "$file" || continue
    .venv/bin/python -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
