#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need nothing but the interpreter of the deploy file's build.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review
