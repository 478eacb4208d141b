"""Measures the latency that the nodes add to a call.

``python -m demo.hot_path 50 200 500`` sends that many calls a second to
each of three nodes with warm targets and, in the same run, one stream of calls
directly to the targets. The service time of the target is subtracted from both.
With one zone per node, calls stay on their entry node; with one zone for all
nodes, two thirds are forwarded to a second node.
"""

from __future__ import annotations

import sys
from typing import Any

from demo.harness import Deployment, deployment, finish_load
from demo.processes import cpu_seconds, resident

_LAYOUTS = ('abc', 'aaa')  # zones of the three nodes
_PATH = '/catalogue/x?ms=4'
_SLOTS = 64  # concurrent requests per target
_DIRECT_RATE = 60.0  # calls a second
_WARM_UP = 6.0  # seconds
_SECONDS = 15.0  # of measurement
_REPORT_TIMEOUT = 60.0  # seconds to wait after the end of the load


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
    _run_load(running, _WARM_UP, [{'name': 'warm-up', 'rate': 300}])
    pids = [pair.node.pid for pair in running.pairs]
    before = sum(cpu_seconds(pid) for pid in pids)
    system = {'name': 'system', 'rate': rate * len(pids)}
    direct = {'name': 'direct', 'rate': _DIRECT_RATE, 'direct': targets}
    streams = _run_load(running, _SECONDS, [system, direct])['streams']
    spent = sum(cpu_seconds(pid) for pid in pids) - before
    calls = streams['system']['counts']['calls']
    added = {
        name: streams['system']['overhead'][name]
        - streams['direct']['overhead'][name]
        for name in ('p50_ms', 'p99_ms')
    }
    sys.stdout.write(
        f'zones {zones}, {rate:.0f} calls a second a node:'
        f' added p50 {added["p50_ms"]:.2f} ms,'
        f' p99 {added["p99_ms"]:.2f} ms; {streams["system"]["counts"]};'
        f' {spent / calls * 1e6:.0f} us of CPU time a call;'
        f' {max(resident(pid) for pid in pids):.1f} MB resident at most\n',
    )


def _run_load(
    running: Deployment,
    seconds: float,
    streams: list[dict[str, Any]],
) -> dict[str, Any]:
    load = running.start_load(
        seconds,
        [{'path': _PATH, **stream} for stream in streams],
    )
    return finish_load(load, seconds + _REPORT_TIMEOUT)


if __name__ == '__main__':
    sys.exit(main())
