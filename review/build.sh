#!/usr/bin/env bash
# Checks the stand-ins of the scripts. They are Python programs without dependencies and need no
# build; the scripts start no stand-in of the project's own.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B - standins/*.py [1-9]/case.py <<'CHECK'
import sys
import tomllib  # Python 3.11 or later

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
