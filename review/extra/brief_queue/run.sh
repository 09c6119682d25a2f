#!/bin/sh
# Writes record.txt. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")" || exit 2
command -v python3 >/dev/null || exit 2
exec timeout --signal=TERM 118 python3 -B case.py
