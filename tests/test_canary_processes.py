"""A canary release with real processes on loopback."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event

import pytest

from bluebellsill.platform.operator_keys import ORDER_PREFIX
from bluebellsill.platform.rollout_keys import LEASE_PREFIX, STATUS_PREFIX
from demo.mesh_harness import MeshDeployment, Reply, Vm, running, wait_until
from tests.path_rules import path_rule

_DURATION = 30  # seconds
_CALLERS = 4
_PAUSE = 0.04  # seconds between two requests of a caller


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """Two zones with two old and two new targets in each."""
    with running(tmp_path) as found:
        for zone in ('a', 'b'):
            for version in ('v1', 'v1', 'v2', 'v2'):
                found.add(zone, 'shop', version=version)
        found.declare([path_rule('/shop/', 'shop')])
        wait_until(
            lambda: all(found.is_ready(vm) for vm in found.vms),
            'all nodes are ready',
        )
        yield found


class _Load:
    """Callers that send requests to all nodes that run."""

    def __init__(self, deployment: MeshDeployment) -> None:
        self.replies: list[tuple[float, str, Reply]] = []
        self.avoided: list[Vm] = []
        self._deployment = deployment
        self._is_stopped = Event()
        self._pool = ThreadPoolExecutor(_CALLERS)
        self._calls = [
            self._pool.submit(self._run, one) for one in range(_CALLERS)
        ]

    def stop(self) -> None:
        """Stop the callers, and raise what they have raised."""
        self._is_stopped.set()
        for call in self._calls:
            call.result()

    def _run(self, number: int) -> None:
        made = 0
        while not self._is_stopped.is_set():
            vms = [vm for vm in self._deployment.vms if vm not in self.avoided]
            vm = vms[(number + made) % len(vms)]
            made += 1
            sent_at = time.time()
            reply = self._deployment.call(vm, f'/shop/x?work=10&n={made}')
            self.replies.append((sent_at, vm.name, reply))
            time.sleep(_PAUSE)


def _order(deployment: MeshDeployment) -> float:
    body = {
        'service': 'shop',
        'target_version': 'v2',
        'duration_s': _DURATION,
    }
    deployment.operate('PUT', f'{ORDER_PREFIX}shop', json.dumps(body).encode())
    return time.time()


def _status(deployment: MeshDeployment) -> str:
    found = deployment.store_keys().get(f'{STATUS_PREFIX}shop', '{}')
    return str(json.loads(found).get('state', ''))


def _holder(deployment: MeshDeployment) -> str:
    found = deployment.store_keys().get(f'{LEASE_PREFIX}shop', '{}')
    return str(json.loads(found).get('holder', ''))


def _kill_acting(deployment: MeshDeployment, load: _Load) -> str:
    """Kill the acting node, and return its id."""
    holder = _holder(deployment)
    (acting,) = [vm for vm in deployment.vms if vm.ports['peers'] == holder]
    load.avoided.append(acting)
    assert acting.node is not None
    acting.node.kill()
    return holder


def _sent_to(
    deployment: MeshDeployment, version: str, since: float
) -> list[float]:
    """Return when the targets of a version have run requests."""
    return sorted(
        float(line['at'])
        for vm in deployment.vms
        if vm.version == version
        for line in deployment.stats(vm)['log']
        if float(line['at']) >= since
    )


def test_another_node_completes_when_the_acting_one_is_killed(
    deployment: MeshDeployment,
) -> None:
    """The release of a good version must not depend on one node."""
    load = _Load(deployment)
    ordered_at = _order(deployment)
    wait_until(lambda: _status(deployment) == 'running', 'release runs')
    wait_until(lambda: bool(_holder(deployment)), 'a node acts')
    time.sleep(_DURATION / 2 - (time.time() - ordered_at))
    killed = _kill_acting(deployment, load)
    wait_until(
        lambda: _holder(deployment) not in {'', killed}, 'another node acts'
    )
    left = ordered_at + _DURATION - time.time()
    wait_until(lambda: _status(deployment) == 'completed', 'completed', left)
    completed_at = time.time()
    time.sleep(1)
    load.stop()
    assert not _sent_to(deployment, 'v1', completed_at + 0.2)
    assert _sent_to(deployment, 'v2', completed_at + 0.2)
    # Requests that were under way at the killed node get no answer; those
    # that name no killed node do.
    failed = [one for _, _, one in load.replies if one.status != 200]
    assert len(failed) <= 0.02 * len(load.replies)


def test_another_node_rolls_back_when_the_acting_one_is_killed(
    deployment: MeshDeployment,
) -> None:
    """A version that turns bad while nobody acts must not stay in use."""
    load = _Load(deployment)
    ordered_at = _order(deployment)
    wait_until(lambda: bool(_holder(deployment)), 'a node acts')
    time.sleep(_DURATION / 2 - (time.time() - ordered_at))
    _kill_acting(deployment, load)
    for vm in deployment.vms:
        if vm.version == 'v2':
            deployment.change_target(vm, fails=True)
    wait_until(
        lambda: _status(deployment) == 'rolled_back', 'rolled back', _DURATION
    )
    rolled_back_at = time.time()
    time.sleep(2)
    load.stop()
    limit = ordered_at + _DURATION
    sent = _sent_to(deployment, 'v2', ordered_at)
    assert not [one for one in sent if one > rolled_back_at + 1]
    total = [one for one, _, _ in load.replies if ordered_at <= one <= limit]
    assert len(sent) <= 0.1 * len(total) + 50
