"""``bluebellsillctl explain`` with real nodes on loopback."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from bluebellsill.ctl_command import EXIT_UNREACHABLE, EXIT_USAGE
from bluebellsill.platform.headers import CREDENTIALS
from demo.mesh_harness import (
    HOST,
    MeshDeployment,
    Reply,
    Vm,
    fetch,
    running,
    wait_until,
)
from tests.path_rules import path_rule
from tests.team_document import tenant

_PROGRAM = Path(sys.executable).parent / 'bluebellsillctl'
_KEY = 'key-of-club-55e9'
_OTHER_KEY = 'key-of-den-70c2'  # without an allowance
_UNKNOWN_KEY = 'key-of-nobody-1d'
_SPLIT = [
    {'service': 'shop', 'weight': 2},
    {'service': 'den', 'weight': 1},
]
_ROUNDS = 9  # three rotations of the route with weights 2 and 1
# Seconds after which the load that a target reported with an answer does not
# matter any more to the choice of the next one.
_SETTLE = 0.2


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """Two targets of a shop and one of a den in the zone of the entry node."""
    with running(tmp_path) as found:
        for zone, service in (
            ('a', 'shop'),
            ('a', 'shop'),
            ('b', 'shop'),
            ('a', 'den'),
        ):
            found.add(zone, service)
        found.declare(
            [
                path_rule('/shop/', 'shop'),
                path_rule('/den/', 'den'),
                path_rule('/split/', '', weighted_services=_SPLIT),
            ],
            tenants=[
                tenant('club', _KEY, rate_per_s=20, burst=20),
                tenant('den', _OTHER_KEY),
            ],
        )
        wait_until(
            lambda: all(
                found.is_ready(vm)
                and _call(found, vm, '/shop/x', key=_OTHER_KEY).status == 200
                and _call(found, vm, '/den/x', key=_OTHER_KEY).status == 200
                for vm in found.vms
            ),
            'all nodes serve requests',
        )
        yield found


def _call(
    found: MeshDeployment, vm: Vm, path: str, name: str = '', key: str = _KEY
) -> Reply:
    headers = {CREDENTIALS: f'Token {key}'}
    return found.call(vm, path, name=name, headers=headers)


def _run(
    address: str, path: str = '/split/x', key: str | None = _KEY
) -> subprocess.CompletedProcess[str]:
    environment = {**os.environ, 'BLUEBELLSILL_METRICS': address}
    environment.pop('BLUEBELLSILL_KEY', None)
    if key is not None:
        environment['BLUEBELLSILL_KEY'] = key
    return subprocess.run(
        [str(_PROGRAM), 'explain', HOST, path],
        capture_output=True,
        env=environment,
        stdin=subprocess.DEVNULL,
        text=True,
        check=False,
        timeout=30,
    )


def _explain(vm: Vm, path: str = '/split/x', key: str | None = _KEY) -> Any:
    ran = _run(vm.ports['metrics'], path, key)
    assert ran.returncode == 0, ran.stderr
    return json.loads(ran.stdout)


def _counts(vm: Vm) -> dict[str, str]:
    """Return the counters of requests, tokens and calls of a node."""
    text = fetch(vm.ports['metrics'], 'GET', '/metrics').body.decode()
    names = ('answered', 'abandoned', 'refused', 'allowance', 'lookups')
    lines = [
        line.rpartition(' ')
        for line in text.splitlines()
        if line.startswith('bluebellsill_events_total')
    ]
    return {
        label: number
        for label, _, number in lines
        if any(f'"{name}' in label for name in names)
    }


def _has_grantor(found: MeshDeployment, vm: Vm) -> bool:
    """Return whether a request is admitted by a grantor, not by the node."""
    before = _admitted_alone(vm)
    status = _call(found, vm, '/split/x').status
    return status == 200 and _admitted_alone(vm) == before


def _admitted_alone(vm: Vm) -> str:
    return next(
        (
            number
            for label, number in _counts(vm).items()
            if 'allowance_admitted_alone' in label
        ),
        '0',
    )


def _runners(found: MeshDeployment, name: str) -> list[str]:
    """Return the nodes whose target has run a request."""
    return [
        vm.ports['peers'] for vm in found.vms if name in found.stats(vm)['runs']
    ]


def test_requests_go_where_the_command_says_and_it_sends_none(
    deployment: MeshDeployment,
) -> None:
    """A wrong prediction, or one that moves the rotations on, misleads."""
    entry = deployment.vms[0]
    assert _explain(entry)['next_service'] is None
    # Nodes that have just started grant no tokens yet.
    wait_until(lambda: _has_grantor(deployment, entry), 'the team gets tokens')
    reached = []
    for number in range(_ROUNDS):
        time.sleep(_SETTLE)
        runs, counts = deployment.runs(), [_counts(vm) for vm in deployment.vms]
        explained = [_explain(entry) for _ in range(2)]
        assert deployment.runs() == runs
        assert [_counts(vm) for vm in deployment.vms] == counts
        expected = explained[0]['candidates'][0]
        assert explained[1]['candidates'][0]['node'] == expected['node']
        assert expected['attempt'] == 1
        assert explained[0]['refusal'] is None
        name = f'told-{number}'
        assert _call(deployment, entry, '/split/x', name).status == 200
        assert _runners(deployment, name) == [expected['node']]
        reached.append(expected['node'])
    shops = {vm.ports['peers'] for vm in deployment.vms[:2]}
    den = deployment.vms[3].ports['peers']
    assert set(reached) == shops | {den}
    assert reached.count(den) == _ROUNDS / 3


def test_team_and_refusals_are_told_without_the_key(
    deployment: MeshDeployment,
) -> None:
    """A key in an output, an argument or a log can be used by others."""
    entry = deployment.vms[0]
    team = _explain(entry)['team']
    assert team['name'] == 'club'
    assert team['allowance']['rate'] == 20
    for path, key, kind in (
        ('/nowhere', _KEY, 'unknown_route'),
        ('/shop/x', _UNKNOWN_KEY, 'unauthorized'),
        ('/shop/x', None, 'unauthorized'),
    ):
        assert _explain(entry, path, key)['refusal']['kind'] == kind
    ran = [
        _run(entry.ports['metrics']),
        _run(entry.ports['metrics'], key=_UNKNOWN_KEY),
        _run(entry.ports['metrics'], key=f'{_UNKNOWN_KEY}\n'),
        _run('127.0.0.1:1'),
        _run(entry.ports['metrics'], path='shop'),
    ]
    codes = [one.returncode for one in ran]
    assert codes == [0, 0, EXIT_USAGE, EXIT_UNREACHABLE, EXIT_USAGE]
    texts = [one.stdout + one.stderr for one in ran]
    logs = deployment.folder.glob('*.log')
    texts += [log.read_text(encoding='utf-8') for log in logs]
    for key in (_KEY, _OTHER_KEY, _UNKNOWN_KEY):
        assert not [text for text in texts if key in text]
