#!/bin/sh
# The cases 6 to 10 need only the deploy file's build: their stand-ins use the standard library alone.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q review/standins_2.py
