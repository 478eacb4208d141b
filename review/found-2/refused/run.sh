#!/bin/sh
# Exit 1: the rule was broken; 0: it held; 2: the case could not run.
# TROUBLE=0 plays the same without the disruption, and must exit with 0.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec python3 case.py
