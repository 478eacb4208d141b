"""The promises, checked by what callers and targets have seen."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from demo.mesh_harness import MeshDeployment
    from tests.soak.callers import Seen
    from tests.soak.faults import Faults

# Seconds from an evacuation until its zone gets nothing: the bound for a
# stable store is 5; here no machine is slow, and two rounds of gossip do.
_EVACUATED = 2.0
_DRAINED = 2.0  # seconds, the platform's bound after a target said it leaves
_IN_TOUCH = 3.0  # seconds without harm before a bound holds, as the platform's
_COLD_KNOWN = 1.0  # seconds; a node asks a busy target every half second
_COLD_PER_SECOND = 8  # requests that cold targets state that they bear
_MARGIN = 0.3  # seconds between a harm's start and its note
_PROMISES = frozenset((408, 421, 429, 503))  # not run, and never will

Run = dict[str, Any]


def broken_promises(
    deployment: MeshDeployment,
    faults: Faults,
    seen: Iterable[Seen],
) -> list[str]:
    """Return what was promised and did not hold."""
    runs = [
        json.loads(line)
        for line in deployment.ledger.read_text(encoding='utf-8').splitlines()
    ]
    times = Counter(run['id'] for run in runs)
    read = _Logs(deployment)
    broken: list[str] = []
    for one in seen:
        broken += _broken_answer(one, times[one.name])
        broken += _lost(one, faults, read)
    return [
        *broken,
        *_late_runs(deployment, faults, runs),
        *_drained_runs(runs),
        *_cold_runs(runs),
    ]


def _broken_answer(seen: Seen, runs: int) -> Iterator[str]:
    is_payment = seen.method == 'POST'
    if is_payment and runs > 1:
        yield f'{seen.name} ran {runs} times'
    if is_payment and seen.status in _PROMISES and runs:
        yield f'{seen.name} got {seen.status} and ran'
    if seen.status == 200:
        if not runs:
            yield f'{seen.name} got 200 and never ran'
        if json.loads(seen.body)['id'] != seen.name:
            yield f'{seen.name} got the answer {seen.body!r}'


class _Logs:
    """Tells which requests nodes have read, by their logs."""

    def __init__(self, deployment: MeshDeployment) -> None:
        self._text_by_vm = {
            vm.name: (deployment.folder / f'{vm.name}.log').read_text(
                encoding='utf-8'
            )
            for vm in deployment.vms
        }

    def has_read(self, vm: str, name: str) -> bool:
        """Return whether a node has logged a request."""
        return f'"correlation":"{name}"' in self._text_by_vm[vm]


def _lost(seen: Seen, faults: Faults, logs: _Logs) -> Iterator[str]:
    """Yield a request that a calm node has read and not answered."""
    began, ended = seen.sent_at - _MARGIN, seen.ended_at + _MARGIN
    if seen.status or not faults.is_calm(seen.vm, began, ended):
        return
    if logs.has_read(seen.vm, seen.name):
        yield f'{seen.name} was read by {seen.vm} and not answered'


def _late_runs(
    deployment: MeshDeployment,
    faults: Faults,
    runs: list[Run],
) -> Iterator[str]:
    vms = {(vm.zone, vm.service): vm.name for vm in deployment.vms}
    for zone, began, ended in faults.evacuations:
        for run in runs:
            if run['zone'] != zone or not (
                began + _EVACUATED < run['at'] < ended
            ):
                continue
            vm = vms[zone, run['service']]
            if faults.is_calm(vm, began - _IN_TOUCH, run['at']):
                late = run['at'] - began
                yield f'{run["id"]} ran in {zone} {late:.2f} s after it was out'


def _drained_runs(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        if run['left_s'] > _DRAINED:
            yield f'{run["id"]} ran {run["left_s"]:.2f} s after {run["by"]} left'


def _cold_runs(runs: list[Run]) -> Iterator[str]:
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run['cold_s'] > _COLD_KNOWN:
            starts[run['by']].append(run['at'])
    for name, times in starts.items():
        for at in times:
            count = sum(at <= one < at + 1 for one in times)
            if count > _COLD_PER_SECOND:
                yield f'{name} was cold and got {count} in the second at {at}'
