"""Plots the events in the logs of nodes; needs the extra ``plots``.

``python -m demo.day_plot OUT.svg LOG...`` reads the logs of all nodes. The
lines may be in any order and have any prefix. It plots by second: the outcomes
of requests by route, store calls, node starts and zones out of service.
"""

from __future__ import annotations

import sys
from itertools import islice
from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use('svg')

from matplotlib import pyplot as plt  # noqa: E402

from demo.day_log import Day, read_lines  # noqa: E402

if TYPE_CHECKING:
    from matplotlib.axes import Axes

    from demo.day_log import Seconds

_OUTCOMES = {
    'in time': 'tab:green',
    'late': 'gold',
    'refused': 'tab:orange',
    'failed': 'tab:red',
}
_MAX_ROUTES = 4  # those with the most calls are plotted
_SIZE = (9, 2.0)  # inches, width and height of one panel


def main(arguments: list[str]) -> int:
    """Write the plot."""
    if len(arguments) < 2:
        sys.stderr.write(f'{__doc__}\n')
        return 2
    day = Day()
    for line in read_lines(Path(name) for name in arguments[1:]):
        day.add(line)
    by_call_count = sorted(
        day.outcomes,
        key=lambda route: (
            -sum(
                sum(by_outcome.values())
                for by_outcome in day.outcomes[route].values()
            )
        ),
    )
    routes = list(islice(by_call_count, _MAX_ROUTES))
    mpl.rcParams['svg.hashsalt'] = 'bluebellsill'
    panels = len(routes) + 1
    figure, axes = plt.subplots(
        panels,
        sharex=True,
        squeeze=False,
        figsize=(_SIZE[0], _SIZE[1] * panels),
    )
    panels_in_order = [row[0] for row in axes]
    for panel, route in zip(panels_in_order, routes, strict=False):
        _draw_route(panel, route, day.outcomes[route])
    _draw_system(panels_in_order[-1], day)
    figure.tight_layout()
    figure.savefig(arguments[0], metadata={'Date': None})
    return 0


def _draw_route(
    panel: Axes,
    route: str,
    seconds: Seconds,
) -> None:
    times = sorted(seconds)
    bottom = [0 for _ in times]
    for outcome, color in _OUTCOMES.items():
        counts = [seconds[one][outcome] for one in times]
        panel.bar(times, counts, 1, bottom, label=outcome, color=color)
        bottom = [sum(pair) for pair in zip(bottom, counts, strict=True)]
    panel.set_ylabel('attempts per second')
    panel.set_title(route, fontsize=9)
    panel.legend(fontsize=7, loc='upper right')


def _draw_system(panel: Axes, day: Day) -> None:
    for counts, label in (
        (day.store_calls, 'store calls since the previous log line'),
        (day.starts, 'nodes started'),
    ):
        times = sorted(counts)
        panel.plot(times, [counts[one] for one in times], '.-', label=label)
    for second, zones in day.zones_out.items():
        names = ', '.join(sorted(zones))
        panel.axvline(second, color='tab:purple', alpha=0.3)
        panel.annotate(f'out: {names}', (second, 0), fontsize=6, rotation=90)
    panel.set_xlabel('seconds since the first log line')
    panel.legend(fontsize=7, loc='upper right')


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
