"""Nodes follow a store that was restored from a copy some seconds old."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bluebellsill.platform.kv_store import RANGE_PATH, WATCH_PATH
from bluebellsill.platform.node_keys import NODE_PREFIX
from demo.mesh_harness import (
    MeshDeployment,
    Vm,
    fetch,
    running,
    wait_until,
)
from tests.path_rules import path_rule

_ZONES = ('a', 'b', 'c')
_IN_FORCE_SECONDS = 2.0  # of the pages, from the acknowledgement of a change
_REGISTERED_SECONDS = 2.0  # of the pages, from the return of the store
_OUTAGE = 0.5  # seconds


def _routes(*prefixes: str) -> list[dict[str, Any]]:
    return [path_rule(f'/{prefix}/') for prefix in prefixes]


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """Three zones with two targets each, one of them first in a new fleet."""
    with running(tmp_path) as found:
        for zone in _ZONES:
            found.add(zone, 'shop')
            found.add(zone, 'shop')
        found.declare(_routes('first'))
        wait_until(lambda: _serve(found, 'first'), 'all nodes serve requests')
        # From here on only the test changes the store's revision.
        wait_until(lambda: len(_entries(found)) == 6, 'all nodes registered')
        yield found


def _serve(found: MeshDeployment, prefix: str) -> bool:
    return all(found.call(vm, f'/{prefix}/x').status == 200 for vm in found.vms)


def _restore(found: MeshDeployment, rewrite_ms: float = 0) -> None:
    """Restore the store after an outage, as in a drill."""
    found.set_store_faults(refuses=True)
    time.sleep(_OUTAGE)
    found.restore_store(rewrite_ms)
    found.set_store_faults()


def _stats(found: MeshDeployment) -> dict[str, Any]:
    reply = fetch(found.store.listening, 'GET', '/_stats')
    stats: dict[str, Any] = json.loads(reply.body)
    return stats


def _entries(found: MeshDeployment) -> list[str]:
    keys: list[str] = _stats(found)['keys']
    return [key for key in keys if key.startswith(NODE_PREFIX)]


def _arrivals(found: MeshDeployment, vm: Vm) -> int:
    return int(found.stats(vm)['counts'].get('arrivals', 0))


def test_change_after_a_restore_is_in_force_in_time(
    deployment: MeshDeployment,
) -> None:
    deployment.copy_store()
    for extra in ('second', 'third', 'fourth'):
        deployment.declare(_routes('first', extra))
    wait_until(lambda: _serve(deployment, 'fourth'), 'the last one is in force')
    _restore(deployment)
    time.sleep(1)
    deployment.declare(_routes('first', 'fifth'))
    wait_until(
        lambda: _serve(deployment, 'fifth'),
        'the change after the restore is in force',
        _IN_FORCE_SECONDS,
    )


def test_change_at_a_revision_given_out_again_is_in_force_in_time(
    deployment: MeshDeployment,
) -> None:
    """Readers ask again only after the store has reached their revision."""
    deployment.copy_store()
    deployment.declare(_routes('first', 'second'))
    wait_until(lambda: _serve(deployment, 'second'), 'the second is in force')
    deployment.set_store_faults(refuses=True)
    time.sleep(_OUTAGE)
    deployment.restore_store(rewrite_ms=60_000)
    deployment.declare(_routes('first', 'third'))
    deployment.set_store_faults()
    wait_until(
        lambda: _serve(deployment, 'third'),
        'the change at a known revision is in force',
        # The first attempt to reach the store again is up to 2 s later.
        _IN_FORCE_SECONDS + 2,
    )


def test_confirmed_change_that_the_store_has_lost_stays_in_force(
    deployment: MeshDeployment,
) -> None:
    deployment.copy_store()
    deployment.declare(_routes('first', 'second'))
    wait_until(lambda: _serve(deployment, 'second'), 'the second is in force')
    _restore(deployment, rewrite_ms=3000)
    restarted = deployment.vms[0]
    deployment.restart_node(restarted)
    ends_at = time.monotonic() + 4
    while time.monotonic() < ends_at:
        for vm in deployment.vms[1:]:
            assert deployment.call(vm, '/second/x').status == 200
    assert deployment.call(restarted, '/second/x').status == 200


def test_evacuation_that_the_store_has_lost_stays_in_force(
    deployment: MeshDeployment,
) -> None:
    evacuated = deployment.vms[0]
    deployment.copy_store()
    deployment.set_zone_out('a', is_out=True)
    time.sleep(1)
    before = _arrivals(deployment, evacuated)
    _restore(deployment, rewrite_ms=2000)
    ends_at = time.monotonic() + 3
    while time.monotonic() < ends_at:
        for vm in deployment.vms:
            assert deployment.call(vm, '/first/x').status == 200
    assert _arrivals(deployment, evacuated) == before
    deployment.set_zone_out('a', is_out=False)

    def is_used_again() -> bool:
        deployment.call(evacuated, '/first/x')
        return _arrivals(deployment, evacuated) > before

    wait_until(is_used_again, 'the zone gets requests again', _IN_FORCE_SECONDS)


def test_two_restores_in_a_row_lose_no_change(
    deployment: MeshDeployment,
) -> None:
    deployment.copy_store()
    for extra in ('v2', 'v3', 'v4'):
        deployment.declare(_routes('first', extra))
    wait_until(lambda: _serve(deployment, 'v4'), 'the fourth is in force')
    _restore(deployment, rewrite_ms=60_000)
    deployment.declare(_routes('first', 'third'))
    _restore(deployment, rewrite_ms=60_000)
    deployment.declare(_routes('first', 'third', 'fourth'))
    wait_until(
        lambda: _serve(deployment, 'third') and _serve(deployment, 'fourth'),
        'the change after two restores is in force',
        # The first attempt to reach the store again is up to 2 s later.
        _IN_FORCE_SECONDS + 2,
    )


def test_node_entries_that_the_store_has_lost_are_back_in_two_seconds(
    deployment: MeshDeployment,
) -> None:
    deployment.delete_node_entries()
    deployment.copy_store()
    wait_until(lambda: len(_entries(deployment)) == 6, 'all nodes registered')
    _restore(deployment)
    wait_until(
        lambda: len(_entries(deployment)) == 6,
        'all nodes are registered again',
        _REGISTERED_SECONDS,
    )


def test_restored_store_is_not_read_over_and_over(
    deployment: MeshDeployment,
) -> None:
    deployment.copy_store()
    deployment.declare(_routes('first', 'second'))
    wait_until(lambda: _serve(deployment, 'second'), 'the second is in force')
    _restore(deployment, rewrite_ms=60_000)
    before = _stats(deployment)['calls']
    time.sleep(4)
    calls = _stats(deployment)['calls']
    feed = sum(
        calls.get(path, 0) - before.get(path, 0)
        for path in (RANGE_PATH, WATCH_PATH)
    )
    # A reader of each zone may watch twice and read once, and each node may
    # look for its entry.
    assert feed <= 40, (before, calls)
