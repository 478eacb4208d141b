#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs without
# dependencies of their own; the project's store stand-in runs from the
# packages that the build of deploy/system.toml puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/common
PYTHONPATH=target/deps python3 -S -c 'import bluebellsill.standins.command'
