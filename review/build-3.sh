#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. Run it
# after the build of the deploy file, from anywhere. The stand-ins are Python:
# this compiles them and checks that their libraries are in target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps python3 -S -c 'import bluebellsill.standins.command'
for folder in review/11 review/12 review/13 review/14 review/15; do
    [ -d "$folder" ] || continue
    PYTHONPYCACHEPREFIX=target/review-3 python3 -S -m compileall -q "$folder"
done
