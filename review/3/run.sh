#!/bin/sh
# Plays the case; exit code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption.
TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
exec .venv/bin/python review/3/case.py "$TROUBLE"
