"""Tests with real processes that restarts do not forget crashing requests.

In a rolling restart each node sent a request that had crashed the targets of
others to its own target, twice (review/9): eight crashes instead of two.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from demo.mesh_harness import MeshDeployment, running, wait_until
from tests.path_rules import path_rule

_POISON = '/shop/poison?crash=1'
_CONFIRMED = 1.5  # seconds after which a started target receives requests


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """One target of a service in each of three zones."""
    with running(tmp_path) as found:
        for zone in ('a', 'b', 'c'):
            found.add(zone, 'shop')
        found.declare([path_rule('/shop/', 'shop')])
        _await_ready(found)
        yield found


def _await_ready(deployment: MeshDeployment) -> None:
    wait_until(
        lambda: all(deployment.is_ready(vm) for vm in deployment.vms),
        'all nodes are ready',
    )
    wait_until(
        lambda: all(
            deployment.call(vm, '/shop/sound').status == 200
            for vm in deployment.vms
        ),
        'all nodes serve other requests',
    )


def _crashes(deployment: MeshDeployment, passes: int) -> int:
    """Return the crashes while the request comes again at each node."""
    crashes = 0
    for _ in range(passes):
        for vm in deployment.vms:
            deployment.call(vm, _POISON)
        for vm in deployment.vms:
            if vm.target is not None and vm.target.has_ended:
                crashes += 1
                deployment.start_target(vm)
        time.sleep(_CONFIRMED)
    return crashes


def test_rolling_restart_does_not_forget_which_requests_crash_targets(
    deployment: MeshDeployment,
) -> None:
    before = _crashes(deployment, 2)
    assert 0 < before <= 3
    for vm in deployment.vms:
        deployment.restart_node(vm)
        _await_ready(deployment)
        assert _crashes(deployment, 2) == 0


def test_restarted_node_soon_serves_again(deployment: MeshDeployment) -> None:
    """It learns what its peers know before it takes calls for its target."""
    for vm in deployment.vms:
        deployment.restart_node(vm)
        _await_ready(deployment)
