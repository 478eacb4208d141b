"""Checks the guarantees against the records of callers and targets."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from demo.mesh_harness import MeshDeployment
    from tests.soak.callers import CallRecord
    from tests.soak.faults import Faults

# Seconds after an evacuation until its zone gets no more requests. The bound
# with a stable store is 5; with no slow machine two gossip rounds are enough.
_EVACUATION_BOUND = 2.0
_DRAIN_BOUND = 2.0  # seconds, the platform's bound after a target's departure
_STABLE_PERIOD = 3.0  # seconds without faults, which the platform's bounds need
_COLD_DETECTION = 1.0  # seconds; a node polls a busy target every half second
_COLD_PER_SECOND = 8  # requests that cold targets declare they can take
_MARGIN = 0.3  # seconds between the start of a fault and its record
_NOT_RUN = frozenset((408, 421, 429, 503))  # not executed, now or later

Run = dict[str, Any]


def violations(
    deployment: MeshDeployment,
    faults: Faults,
    calls: Iterable[CallRecord],
) -> list[str]:
    """Return the violations of the guarantees."""
    runs = [
        json.loads(line)
        for line in deployment.ledger.read_text(encoding='utf-8').splitlines()
    ]
    run_counts = Counter(run['id'] for run in runs)
    logs = _Logs(deployment)
    found: list[str] = []
    for call in calls:
        found += _wrong_response(call, run_counts[call.name])
        found += _lost(call, faults, logs)
    return [
        *found,
        *_late_runs(deployment, faults, runs),
        *_drained_runs(runs),
        *_cold_runs(runs),
    ]


def _wrong_response(call: CallRecord, runs: int) -> Iterator[str]:
    is_payment = call.method == 'POST'
    if is_payment and runs > 1:
        yield f'{call.name} was executed {runs} times'
    if is_payment and call.status in _NOT_RUN and runs:
        yield f'{call.name} got {call.status} and was executed'
    if call.status == 200:
        if not runs:
            yield f'{call.name} got 200 and was not executed'
        if json.loads(call.body)['id'] != call.name:
            yield f'{call.name} got the response {call.body!r}'


class _Logs:
    """Finds in the logs of nodes which requests they have read."""

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


def _lost(call: CallRecord, faults: Faults, logs: _Logs) -> Iterator[str]:
    """Yield a request that an undisturbed node read but did not answer."""
    started_at, ended_at = call.sent_at - _MARGIN, call.ended_at + _MARGIN
    if call.status or not faults.is_undisturbed(call.vm, started_at, ended_at):
        return
    if logs.has_read(call.vm, call.name):
        yield f'{call.name} was read by {call.vm} and not answered'


def _late_runs(
    deployment: MeshDeployment,
    faults: Faults,
    runs: list[Run],
) -> Iterator[str]:
    vms = {(vm.zone, vm.service): vm.name for vm in deployment.vms}
    for zone, started_at, ended_at in faults.evacuations:
        for run in runs:
            if run['zone'] != zone or not (
                started_at + _EVACUATION_BOUND < run['at'] < ended_at
            ):
                continue
            vm = vms[zone, run['service']]
            if faults.is_undisturbed(
                vm, started_at - _STABLE_PERIOD, run['at']
            ):
                delay = run['at'] - started_at
                yield (
                    f'{run["id"]} was executed in {zone}'
                    f' {delay:.2f} s after its evacuation'
                )


def _drained_runs(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        if run['left_s'] > _DRAIN_BOUND:
            yield (
                f'{run["id"]} was executed {run["left_s"]:.2f} s'
                f' after {run["by"]} departed'
            )


def _cold_runs(runs: list[Run]) -> Iterator[str]:
    starts: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        if run['cold_s'] > _COLD_DETECTION:
            starts[run['by']].append(run['at'])
    for name, times in starts.items():
        for at in times:
            count = sum(at <= one < at + 1 for one in times)
            if count > _COLD_PER_SECOND:
                yield f'{name} was cold and got {count} requests in 1 s at {at}'
