#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. With
# TROUBLE=0 it does the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
python3 -c 'import tomllib' 2>/dev/null || { echo "needs Python 3.11 or later"; exit 2; }
exec python3 -B "$(dirname "$0")/case.py"
