#!/bin/sh
# Prepares the stand-ins of the cases. They are Python programs without dependencies, so that
# nothing but their syntax has to be checked.
set -e
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing; libglib2.0-dev depends on it" >&2; exit 2; }
python3 -B - standin/*.py */case.py extra/*/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    compile(open(name).read(), name, "exec")
CHECK
echo "stand-ins of the review: checked"
