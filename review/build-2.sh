#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start besides the nodes: their
# stand-ins are Python files that need the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q common-2 $(for n in 6 7 8 9 10; do [ -d "$n" ] && echo "$n"; done) || true
