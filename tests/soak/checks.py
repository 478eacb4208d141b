"""Checks the guarantees against the records of callers and targets."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, Any

from bluebellsill.platform.headers import TEAM

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from demo.mesh_harness import MeshDeployment
    from tests.soak.callers import CallRecord
    from tests.soak.faults import Faults
    from tests.soak.teams import Teams

# Seconds after an evacuation until its zone gets no more requests. The bound
# with a stable store is 5; with no slow machine two gossip rounds are enough.
_EVACUATION_BOUND = 2.0
_DRAIN_BOUND = 2.0  # seconds, the platform's bound after a target's departure
_STABLE_PERIOD = 3.0  # seconds without faults, which the platform's bounds need
_COLD_DETECTION = 1.0  # seconds; a node polls a busy target every half second
_COLD_PER_SECOND = 8  # requests that cold targets declare they can take
_RATE_WINDOW = 4.0  # seconds in which requests beyond a stated rate count
_RATE_FACTOR = 1.5  # of the stated rate that a target may get in a window
_RATE_SLACK = 5  # requests that it may get in addition
_PASSED_ON = 0.5  # seconds after which a node keeps to what it has passed on
_MARGIN = 0.3  # seconds between the start of a fault and its record
_KEY_BOUND = 2.5  # seconds until a removed key is refused, as the platform's
_UNAUTHORIZED = 401
# The platform's bound on the requests of a team: its allowance in a window,
# times a factor, and some more.
_ALLOWANCE_WINDOW = 5.0  # seconds
_ALLOWANCE_FACTOR = 1.1
_ALLOWANCE_SLACK = 20  # requests
_NOT_RUN = frozenset((408, 421, 429, 503))  # not executed, now or later

Run = dict[str, Any]


def violations(
    deployment: MeshDeployment,
    faults: Faults,
    calls: Iterable[CallRecord],
    teams: Teams,
) -> list[str]:
    """Return the violations of the guarantees."""
    runs = [
        json.loads(line)
        for line in deployment.ledger.read_text(encoding='utf-8').splitlines()
    ]
    sizes = {run['id']: run['size'] for run in runs}
    run_counts = Counter(run['id'] for run in runs)
    logs = _Logs(deployment)
    calls = list(calls)
    found: list[str] = []
    for call in calls:
        found += _wrong_response(call, run_counts[call.name])
        found += _lost(call, faults, logs)
        found += _cut_upload(call, sizes)
    return [
        *found,
        *_late_runs(deployment, faults, runs),
        *_drained_runs(runs),
        *_cold_runs(runs),
        *_runs_beyond_rate(runs, _Told(calls, faults)),
        *_runs_after_stated_departure(runs, _Told(calls, faults)),
        *_refused_keys(calls),
        *_runs_with_wrong_key(deployment, faults, runs, calls),
        *_runs_beyond_allowance(runs, calls, teams),
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


def _cut_upload(call: CallRecord, sizes: dict[str, int]) -> Iterator[str]:
    size = sizes.get(call.name, call.size)
    if size != call.size:
        yield f'{call.name} was executed with {size} of {call.size} bytes'


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


class _Told:
    """Finds which runs came from a node that had passed on a statement.

    A restart or a fault of the node since then excuses it.
    """

    def __init__(self, calls: Iterable[CallRecord], faults: Faults) -> None:
        self._faults = faults
        self._calls_by_name = {call.name: call for call in calls}
        self._by_target: dict[str, list[CallRecord]] = defaultdict(list)
        for call in self._calls_by_name.values():
            if call.by:
                self._by_target[call.by].append(call)

    def was_told_of_rate(self, run: Run, since: float) -> bool:
        """Return whether the node knew of a rate stated since a time."""
        return any(
            call.states_rate and call.ended_at > since
            for call in self._passed_on(run, _PASSED_ON)
        )

    def was_told_of_departure(self, run: Run) -> bool:
        """Return whether the node knew of the departure for long enough."""
        return any(
            call.states_leaving for call in self._passed_on(run, _DRAIN_BOUND)
        )

    def _passed_on(self, run: Run, before: float) -> Iterator[CallRecord]:
        """Yield the calls that told the node of a run some seconds before."""
        origin = self._calls_by_name.get(run['id'])
        if origin is None:
            return
        for call in self._by_target[run['by']]:
            if (
                call.vm == origin.vm
                and call.ended_at <= origin.sent_at - before
                and self._faults.has_kept_state(
                    call.vm, call.sent_at - _MARGIN, run['at']
                )
            ):
                yield call


def _runs_beyond_rate(runs: list[Run], told: _Told) -> Iterator[str]:
    stated: dict[tuple[str, float, float], list[float]] = defaultdict(list)
    for run in runs:
        since = run['limited_since']
        if since and run['at'] - since > _STABLE_PERIOD:
            if told.was_told_of_rate(run, since):
                stated[run['by'], since, run['rate_limit']].append(run['at'])
    for (name, _, rate), times in stated.items():
        allowed = _RATE_FACTOR * rate * _RATE_WINDOW + _RATE_SLACK
        for at in times:
            count = sum(at <= one < at + _RATE_WINDOW for one in times)
            if count > allowed:
                yield (
                    f'{name} stated a rate of {rate} and got {count} requests'
                    f' in {_RATE_WINDOW} s at {at}'
                )


def _runs_after_stated_departure(runs: list[Run], told: _Told) -> Iterator[str]:
    for run in runs:
        if told.was_told_of_departure(run):
            yield f'{run["id"]} was executed after {run["by"]} stated to leave'


def _refused_keys(calls: Iterable[CallRecord]) -> Iterator[str]:
    for call in calls:
        if call.status == _UNAUTHORIZED and call.key.is_kept:
            yield f'{call.name} got 401 with a key of all versions'


def _runs_with_wrong_key(
    deployment: MeshDeployment,
    faults: Faults,
    runs: list[Run],
    calls: list[CallRecord],
) -> Iterator[str]:
    """Yield runs that show a key, or that their key does not permit."""
    secrets = {call.key.text for call in calls} - {''}
    calls_by_name = {call.name: call for call in calls}
    for run in runs:
        shown = json.dumps(run)
        if any(secret in shown for secret in secrets):
            yield f'{run["by"]} received a key with {run["id"]}'
        call = calls_by_name.get(run['id'])
        if call is None:
            continue
        if not call.key.is_known:
            yield f'{call.name} was executed with an unknown key'
        teams = [text for name, text in run['headers'] if name.lower() == TEAM]
        if call.key.is_known and teams != [call.key.team] * bool(call.key.team):
            yield f'{call.name} of team {call.key.team!r} ran for {teams}'
        yield from _late_key(call, run, deployment, faults)


def _late_key(
    call: CallRecord, run: Run, deployment: MeshDeployment, faults: Faults
) -> Iterator[str]:
    """Yield a run whose key had been removed.

    It is excused if the entry node or the target's node was not able to read
    the store for the bound and the stable period before it.
    """
    removed_at, at = call.key.removed_at, run['at']
    if not removed_at or at <= removed_at + _KEY_BOUND:
        return
    place = (run['zone'], run['service'])
    involved = [vm for vm in deployment.vms if (vm.zone, vm.service) == place]
    since = at - _KEY_BOUND - _STABLE_PERIOD
    if all(
        faults.is_undisturbed(vm, since, at)
        for vm in (call.vm, *(vm.name for vm in involved))
    ):
        yield (
            f'{call.name} was executed {at - removed_at:.2f} s after its key'
            ' had been removed'
        )


def _runs_beyond_allowance(
    runs: list[Run], calls: list[CallRecord], teams: Teams
) -> Iterator[str]:
    """Yield the busiest window of the limited team if it breaks the bound.

    Every run counts once for its request, however often it was retried.
    """
    names = {call.name for call in calls if call.key is teams.limited}
    own = [(run['at'], run['id']) for run in runs if run['id'] in names]
    allowance = teams.rate * _ALLOWANCE_WINDOW + teams.burst
    allowed = allowance * _ALLOWANCE_FACTOR + _ALLOWANCE_SLACK
    counts = [
        len({name for at, name in own if 0 <= at - since < _ALLOWANCE_WINDOW})
        for since, _ in own
    ]
    if max(counts, default=0) > allowed:
        yield (
            f'{max(counts)} requests of the limited team were executed within'
            f' {_ALLOWANCE_WINDOW} s, allowed are {allowed:.0f}'
        )
