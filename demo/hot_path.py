"""Measures what the way through the nodes adds to a call.

``python -m demo.hot_path 50 200 500`` plays that many calls a second for
each of three nodes with warm targets, and one stream of calls directly to
the targets in the same run. What a target spent itself is taken off both.
With a zone for each node, calls stay at their entry node; with one zone for
all, two thirds go on to a second node.
"""

from __future__ import annotations

import sys
from typing import Any

from demo.harness import Deployment, deployment, finish_load
from demo.processes import processor_seconds, resident

_LAYOUTS = ('abc', 'aaa')
_PATH = '/catalogue/x?ms=4'
_SLOTS = 64
_DIRECT_RATE = 60.0  # calls a second
_WARM_UP = 6.0  # seconds
_SECONDS = 15.0
_PATIENCE = 60.0  # seconds beyond the load


def main() -> int:
    """Measure each rate that the command line names."""
    for text in sys.argv[1:]:
        for zones in _LAYOUTS:
            with deployment() as running:
                _measure(running, zones, float(text))
    return 0


def _measure(running: Deployment, zones: str, rate: float) -> None:
    places = [(zone, 'catalogue') for zone in zones]
    running.start_pairs(places, {'slots': _SLOTS})
    targets = [pair.target.listening for pair in running.pairs if pair.target]
    running.declare({'catalogue': {'slots': _SLOTS}})
    _play(running, _WARM_UP, [{'name': 'warm-up', 'rate': 300}])
    pids = [pair.node.pid for pair in running.pairs]
    before = sum(processor_seconds(pid) for pid in pids)
    system = {'name': 'system', 'rate': rate * len(pids)}
    direct = {'name': 'direct', 'rate': _DIRECT_RATE, 'direct': targets}
    streams = _play(running, _SECONDS, [system, direct])['streams']
    spent = sum(processor_seconds(pid) for pid in pids) - before
    calls = streams['system']['counts']['calls']
    added = {
        name: streams['system']['overhead'][name]
        - streams['direct']['overhead'][name]
        for name in ('p50_ms', 'p99_ms')
    }
    sys.stdout.write(
        f'zones {zones}, {rate:.0f} calls a second a node: added p50 {added["p50_ms"]:.2f} ms,'
        f' p99 {added["p99_ms"]:.2f} ms; {streams["system"]["counts"]};'
        f' {spent / calls * 1e6:.0f} us of processor a call;'
        f' {max(resident(pid) for pid in pids):.1f} MB resident at most\n',
    )


def _play(
    running: Deployment,
    seconds: float,
    streams: list[dict[str, Any]],
) -> dict[str, Any]:
    load = running.start_load(
        seconds,
        [{'path': _PATH, **stream} for stream in streams],
    )
    return finish_load(load, seconds + _PATIENCE)


if __name__ == '__main__':
    sys.exit(main())
