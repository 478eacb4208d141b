"""Targets that never answer what they cannot run, and nothing after it."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from demo.mesh_harness import MeshDeployment, Reply, running, wait_until
from tests.path_rules import path_rule

_SLOTS = 6  # of a stand-in target
_DEADLINE_MS = 1500
_WORK_MS = 100
_CALLERS = 4 * _SLOTS
_SECONDS = 3.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """One target of each of two services, and an entry node for callers."""
    with running(tmp_path) as found:
        found.add('a', 'shop')
        found.add('a', 'pay')
        found.add('a', 'other')
        found.declare(
            [
                path_rule('/shop/', timeout_ms=_DEADLINE_MS),
                path_rule(
                    '/pay/',
                    'pay',
                    route_type='non_idempotent',
                    timeout_ms=_DEADLINE_MS,
                ),
            ]
        )
        for vm in found.vms[:2]:
            wait_until(
                lambda vm=vm: (  # type: ignore[misc]
                    found.call(found.vms[2], f'/{vm.service}/x').status == 200
                ),
                f'{vm.service} is served',
            )
            found.change_target(vm, hangs_when_full=True, works_on=True)
        yield found


def _load(
    found: MeshDeployment, service: str, seconds: float = _SECONDS
) -> list[tuple[Reply, float]]:
    """Call from many callers at once; return replies and seconds taken."""
    ends_at = time.monotonic() + seconds

    def call() -> list[tuple[Reply, float]]:
        replies = []
        while time.monotonic() < ends_at:
            started_at = time.monotonic()
            reply = found.call(
                found.vms[2],
                f'/{service}/x?work={_WORK_MS}',
                method='POST',
                deadline_ms=_DEADLINE_MS,
            )
            replies.append((reply, time.monotonic() - started_at))
            time.sleep(0.02)
        return replies

    with ThreadPoolExecutor(_CALLERS) as pool:
        runs = [pool.submit(call) for _ in range(_CALLERS)]
        return [one for run in runs for one in run.result()]


def _arrivals(found: MeshDeployment, index: int) -> int:
    return int(found.stats(found.vms[index])['counts'].get('arrivals', 0))


def _hung(found: MeshDeployment, index: int) -> int:
    return int(found.stats(found.vms[index])['counts'].get('hung', 0))


@pytest.mark.parametrize(('index', 'service'), [(0, 'shop'), (1, 'pay')])
def test_overload_sends_a_target_no_more_than_its_slots(
    deployment: MeshDeployment, index: int, service: str
) -> None:
    replies = _load(deployment, service)
    statuses = Counter(reply.status for reply, _ in replies)
    assert _hung(deployment, index) == 0
    assert set(statuses) <= {200, 503}, statuses
    assert statuses[200] > 0.7 * _SECONDS * _SLOTS * 1000 / _WORK_MS


@pytest.mark.parametrize(('index', 'service'), [(0, 'shop'), (1, 'pay')])
def test_restarted_node_of_a_busy_target_sends_it_no_more_than_its_slots(
    deployment: MeshDeployment, index: int, service: str
) -> None:
    """Its target still runs what the process before it has sent."""
    vm = deployment.vms[index]
    path = f'/{service}/x?work={_DEADLINE_MS - 100}'

    def occupy(_: int) -> None:
        deployment.call(
            deployment.vms[2], path, method='POST', deadline_ms=_DEADLINE_MS
        )

    with ThreadPoolExecutor(_SLOTS) as pool:
        for index_of_call in range(_SLOTS):
            pool.submit(occupy, index_of_call)
        wait_until(
            lambda: _arrivals(deployment, index) >= _SLOTS, 'the target is busy'
        )
        deployment.restart_node(vm)
        replies = _load(deployment, service, 1.0)
    statuses = Counter(reply.status for reply, _ in replies)
    assert _hung(deployment, index) == 0
    assert 502 not in statuses, statuses
