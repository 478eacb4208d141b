"""Tests of targets that state a rate or that they leave, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from bluebellsill.platform.headers import LEAVING
from demo.mesh_harness import MeshDeployment, Reply, Vm, running, wait_until
from tests.path_rules import path_rule

_TARGETS = 3
_RATE = 2.0  # requests a second
_WINDOW = 4.0  # seconds
# The most that a target may get in a window, as the platform's users state it.
_MAX_IN_WINDOW = 1.5 * _RATE * _WINDOW + 5
_CALLERS = 6


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """One zone, so that each node uses each target."""
    with running(tmp_path) as found:
        for _ in range(_TARGETS):
            found.add('a', 'shop')
        found.declare([path_rule('/shop/')])
        wait_until(lambda: _is_serving(found), 'all nodes serve requests')
        yield found


def _is_serving(found: MeshDeployment) -> bool:
    return all(
        found.is_ready(vm) and found.call(vm, '/shop/x').status == 200
        for vm in found.vms
    )


class _Load:
    """Callers that send requests to some nodes one after the other."""

    def __init__(self, found: MeshDeployment, vms: list[Vm]) -> None:
        self.replies: list[tuple[float, float, Reply]] = []
        self._found = found
        self._vms = vms

    def run(self, seconds: float, pause: float = 0.02) -> None:
        ends_at = time.time() + seconds
        with ThreadPoolExecutor(_CALLERS) as pool:
            for number in range(_CALLERS):
                pool.submit(self._call, number, ends_at, pause)

    def _call(self, number: int, ends_at: float, pause: float) -> None:
        while time.time() < ends_at:
            number += 1
            vm = self._vms[number % len(self._vms)]
            began = time.time()
            reply = self._found.call(vm, '/shop/x?work=20')
            self.replies.append((began, time.time() - began, reply))
            time.sleep(pause)


def _run_times(found: MeshDeployment, vm: Vm, since: float) -> list[float]:
    times = [line['at'] for line in found.stats(vm)['log']]
    return [one for one in times if one >= since]


def _most_in_window(times: list[float]) -> int:
    return max(
        (
            sum(start <= one < start + _WINDOW for one in times)
            for start in times
        ),
        default=0,
    )


def _state(found: MeshDeployment, vms: list[Vm], **behaviour: object) -> float:
    """Let targets state something, and all nodes pass it on to callers.

    Returns:
        The time after which all nodes know it.
    """
    for vm in vms:
        found.change_target(vm, **behaviour)
    _Load(found, found.vms).run(0.5)
    return time.time()


def test_target_gets_no_more_than_the_rate_that_it_states(
    deployment: MeshDeployment,
) -> None:
    limited = deployment.vms[0]
    since = _state(deployment, [limited], rate_limit=_RATE)
    load = _Load(deployment, deployment.vms)
    load.run(6)
    times = _run_times(deployment, limited, since)
    assert _most_in_window(times) <= _MAX_IN_WINDOW
    assert len(times) >= 0.8 * _RATE * 6
    assert {reply.status for *_, reply in load.replies} == {200}


def test_rate_that_is_no_longer_stated_stops_to_limit(
    deployment: MeshDeployment,
) -> None:
    limited = deployment.vms[0]
    _state(deployment, [limited], rate_limit=0.0)
    since = time.time()
    _Load(deployment, deployment.vms).run(2)
    assert len(_run_times(deployment, limited, since)) <= 1
    deployment.change_target(limited)
    since = time.time()
    _Load(deployment, deployment.vms).run(2)
    assert len(_run_times(deployment, limited, since)) > 2 * _CALLERS


def test_request_beyond_the_rates_of_all_targets_is_rejected_at_once(
    deployment: MeshDeployment,
) -> None:
    since = _state(deployment, deployment.vms, rate_limit=_RATE)
    load = _Load(deployment, deployment.vms)
    load.run(6)
    rejected = [one for one in load.replies if one[2].status != 200]
    assert rejected
    for _, seconds, reply in rejected:
        assert reply.status == 503
        assert float(reply.headers['retry-after']) > 0
        assert seconds < 0.3
    for vm in deployment.vms:
        times = _run_times(deployment, vm, since)
        assert _most_in_window(times) <= _MAX_IN_WINDOW
        assert len(times) >= 0.8 * _RATE * 6


@pytest.mark.parametrize('probes_state_load_only', [False, True])
def test_restarted_node_keeps_to_the_rate_that_its_target_stated(
    deployment: MeshDeployment, *, probes_state_load_only: bool
) -> None:
    limited = deployment.vms[0]
    others = deployment.vms[1:]
    since = _state(
        deployment,
        deployment.vms,
        rate_limit=_RATE,
        probes_state_load_only=probes_state_load_only,
    )
    for _ in range(2):
        deployment.restart_node(limited)
        _Load(deployment, others).run(3)
    times = _run_times(deployment, limited, since)
    assert times
    assert _most_in_window(times) <= _MAX_IN_WINDOW


@pytest.mark.parametrize('probes_state_load_only', [False, True])
def test_target_that_states_that_it_leaves_gets_no_requests(
    deployment: MeshDeployment, *, probes_state_load_only: bool
) -> None:
    leaving, told, _ = deployment.vms
    deployment.change_target(
        leaving,
        states_leaving=True,
        probes_state_load_only=probes_state_load_only,
    )
    wait_until(
        lambda: (
            LEAVING in deployment.call(told, '/shop/x').headers
            or not probes_state_load_only
        ),
        'the node has passed on that the target leaves',
    )
    time.sleep(0.6)
    since = time.time()
    load = _Load(deployment, [told])
    load.run(1)
    deployment.restart_node(leaving)
    load.run(3)
    assert _run_times(deployment, leaving, since) == []
    assert {reply.status for *_, reply in load.replies} == {200}
