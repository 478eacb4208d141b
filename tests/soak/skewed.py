"""``python -m tests.soak.skewed SECONDS SETTINGS``: runs a skewed node."""

from __future__ import annotations

import sys
import time


def main() -> int:
    """Shift the wall clock and run the node program."""
    offset = float(sys.argv[1])
    unskewed = time.time
    time.time = lambda: unskewed() + offset
    # Imported after the patch, so that every module uses the shifted clock.
    from bluebellsill.mesh_command import run  # noqa: PLC0415

    return run(sys.argv[2:])


if __name__ == '__main__':
    sys.exit(main())
