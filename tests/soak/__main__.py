"""``python -m tests.soak --seeds 50``: soaks with seeds, one after another."""

from __future__ import annotations

import argparse
import sys
import tempfile
from pathlib import Path

from tests.soak.runner import soak


def main() -> int:
    """Run the soaks and return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog='tests.soak')
    parser.add_argument('--first', type=int, default=1, help='the first seed')
    parser.add_argument('--seeds', type=int, default=5, help='how many')
    parser.add_argument('--seconds', type=float, default=12, help='of each')
    parser.add_argument(
        '--targets', type=int, default=1, help='of a service in a zone'
    )
    parser.add_argument('--keep', type=Path, help='keep logs of failed seeds')
    options = parser.parse_args()
    broken = 0
    for seed in range(options.first, options.first + options.seeds):
        folder = Path(
            tempfile.mkdtemp(prefix=f'soak-{seed}-', dir=options.keep)
        )
        outcome = soak(folder, seed, options.seconds, targets=options.targets)
        broken += bool(outcome.faults)
        statuses = dict(sorted(outcome.statuses.items()))
        sys.stdout.write(f'seed {seed}: {statuses}, {len(outcome.injected)}')
        sys.stdout.write(f' faults injected, broken: {outcome.faults[:5]}\n')
        if outcome.faults:
            sys.stdout.write(f'  logs in {folder}; {outcome.injected}\n')
        sys.stdout.flush()
    sys.stdout.write(f'{options.seeds} seeds, {broken} with a broken promise\n')
    return int(broken > 0)


if __name__ == '__main__':
    sys.exit(main())
