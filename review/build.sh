#!/bin/sh
# Builds the stand-ins of the review: they are plain Python and need nothing but the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
