"""``python -m tests.soak.skewed SECONDS SETTINGS``: a node with a wrong clock."""

from __future__ import annotations

import sys
import time


def main() -> int:
    """Shift the time of day and run the node's program."""
    offset = float(sys.argv[1])
    right = time.time
    time.time = lambda: right() + offset
    # Imported afterwards, so that every part has the shifted clock.
    from bluebellsill.mesh_command import run  # noqa: PLC0415

    return run(sys.argv[2:])


if __name__ == '__main__':
    sys.exit(main())
