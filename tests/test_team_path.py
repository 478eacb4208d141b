"""Keys of teams end to end, with real processes on loopback."""

from __future__ import annotations

import http.client
import json
import time
from base64 import b64encode
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import pytest

from bluebellsill.platform.headers import CREDENTIALS, REQUEST_ID, TEAM
from bluebellsill.teams import Team, TeamDirectory
from demo.mesh_harness import (
    HOST,
    MeshDeployment,
    Reply,
    fetch,
    running,
    wait_until,
)
from tests.path_rules import path_rule
from tests.team_document import tenant

_KEY = 'key-of-club-71d3'
_SECOND_KEY = 'key-of-club-88aa'
_OTHER_KEY = 'key-of-den-0f42'
_UNKNOWN_KEY = 'key-of-nobody-c2'
_ALL_KEYS = (_KEY, _SECOND_KEY, _OTHER_KEY, _UNKNOWN_KEY)
_APPLY_SECONDS = 2.5  # until a change of the document is in force

_ROUTES = [
    path_rule('/shop/', 'shop'),
    path_rule('/pay/', 'pay', route_type='non_idempotent'),
    path_rule('/open/', 'shop', public=True),
    path_rule('/slow/', 'shop', timeout_ms=9000, target_latency_ms=9000),
]
_SLOTS = 6  # of a stand-in target


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """Two zones with one target each, and two teams."""
    with running(tmp_path) as found:
        for zone, service in (('a', 'shop'), ('b', 'pay')):
            vm = found.add(zone, service)
            found.change_target(vm, records_headers=True)
        _declare(found, tenant('club', _KEY), tenant('den', _OTHER_KEY))
        wait_until(
            lambda: all(
                found.is_ready(vm)
                and _call(found, vm, '/shop/x').status == 200
                and _call(found, vm, '/pay/x', method='POST').status == 200
                for vm in found.vms
            ),
            'all nodes serve requests',
        )
        yield found


def _declare(found: MeshDeployment, *tenants: dict[str, Any]) -> None:
    found.declare(_ROUTES, tenants=tenants)


def _call(
    found: MeshDeployment,
    vm: Any,
    path: str,
    key: str = _KEY,
    headers: dict[str, str] | None = None,
    **options: Any,
) -> Reply:
    stated = {CREDENTIALS: f'Token {key}'} if key else {}
    return found.call(
        vm, path, headers={**stated, **(headers or {})}, **options
    )


def _received(found: MeshDeployment) -> dict[str, dict[str, str]]:
    """Return the headers of each request that ran, by its id."""
    return {
        line['id']: dict(json.loads(line['headers']))
        for vm in found.vms
        for line in found.stats(vm)['log']
    }


def _call_on(connection: http.client.HTTPConnection, key: str) -> int:
    headers = {
        'Host': HOST,
        REQUEST_ID: f'{time.monotonic_ns():x}',
        CREDENTIALS: f'Token {key}',
    }
    connection.request('GET', '/shop/x', headers=headers)
    response = connection.getresponse()
    response.read()
    return response.status


def test_targets_are_told_the_team_and_no_key(
    deployment: MeshDeployment,
) -> None:
    first, second = deployment.vms
    forged = {TEAM: 'den'}
    nested = '/pay/x?call=/shop/y'
    for vm, path, name, key, status in (
        (first, '/shop/x', 'known', _KEY, 200),
        (second, '/shop/x', 'other', _OTHER_KEY, 200),
        (first, '/pay/x', 'forged', _KEY, 200),
        (second, nested, 'parent', _KEY, 200),
        (first, '/open/x', 'public', '', 200),
        (first, '/open/x', 'public-unknown', _UNKNOWN_KEY, 200),
        (first, '/shop/x', 'unknown', _UNKNOWN_KEY, 401),
        (second, '/pay/x', 'missing', '', 401),
    ):
        headers = {} if name in {'known', 'other'} else forged
        reply = _call(deployment, vm, path, key, headers, name=name)
        assert reply.status == status, name
        if status == 401:
            assert reply.headers['www-authenticate'] == 'Token'
            assert reply.headers['bluebellsill-run'] == 'not-run'
    received = _received(deployment)
    teams = {name: headers.get(TEAM) for name, headers in received.items()}
    nested_teams = [
        team for name, team in teams.items() if name.startswith('parent.')
    ]
    assert nested_teams == [None]
    assert teams['known'] == teams['forged'] == teams['parent'] == 'club'
    assert teams['other'] == 'den'
    assert teams['public'] is teams['public-unknown'] is None
    assert not {'unknown', 'missing'} & set(teams)
    assert not any(CREDENTIALS in headers for headers in received.values())
    _assert_absent(deployment, received)


def _assert_absent(found: MeshDeployment, received: Any) -> None:
    """Check that no key is in what targets got, in a log or in metrics."""
    texts = {'received': json.dumps(received)}
    for vm in found.vms:
        log = found.folder / f'{vm.name}.log'
        texts[vm.name] = log.read_text(encoding='utf-8')
        metrics = http.client.HTTPConnection(vm.ports['metrics'], timeout=5)
        metrics.request('GET', '/metrics')
        texts[f'metrics of {vm.name}'] = metrics.getresponse().read().decode()
        metrics.close()
    for place, text in texts.items():
        assert not [key for key in _ALL_KEYS if key in text], place
    assert 'tenant="club"' in ''.join(texts.values())
    refusals = [
        json.loads(line)
        for vm in found.vms
        for line in texts[vm.name].splitlines()
        if '"unauthorized"' in line
    ]
    assert {line['correlation'] for line in refusals} >= {'unknown', 'missing'}


def test_removed_key_ends_on_open_connections_and_added_key_works(
    deployment: MeshDeployment,
) -> None:
    """A connection that was accepted with a key does not outlive the key."""
    connections = [
        http.client.HTTPConnection(vm.ports['callers'], timeout=5)
        for vm in deployment.vms
    ]
    assert {_call_on(one, _KEY) for one in connections} == {200}
    assert {_call_on(one, _SECOND_KEY) for one in connections} == {401}
    _declare(deployment, tenant('club', _SECOND_KEY), tenant('den', _OTHER_KEY))
    time.sleep(_APPLY_SECONDS)
    assert {_call_on(one, _KEY) for one in connections} == {401}
    assert {_call_on(one, _SECOND_KEY) for one in connections} == {200}
    for one in connections:
        one.close()


def _gauge(vm: Any, name: str) -> int:
    """Return a gauge of the node of a VM."""
    text = fetch(vm.ports['metrics'], 'GET', '/metrics').body.decode()
    start = f'bluebellsill_state{{of="{name}"}} '
    lines = [one for one in text.splitlines() if one.startswith(start)]
    return int(float(lines[0].removeprefix(start)))


@pytest.mark.parametrize('entry', [0, 1])
def test_removed_key_ends_calls_that_wait_at_a_target(
    deployment: MeshDeployment, entry: int
) -> None:
    """They ran some seconds after the key had been removed."""
    target, vm = deployment.vms[0], deployment.vms[entry]

    def call(name: str, key: str) -> tuple[str, Reply, float]:
        work_ms = 5000 if name.startswith('runs') else 10
        path = f'/slow/x?work={work_ms}'
        reply = _call(deployment, vm, path, key, name=name, deadline_ms=9000)
        return name, reply, time.monotonic()

    with ThreadPoolExecutor(2 * _SLOTS) as pool:
        runs = [
            pool.submit(call, f'runs-{number}', key)
            for number, key in enumerate(3 * (_KEY, _OTHER_KEY))
        ]
        wait_until(
            lambda: _gauge(target, 'at_target') == _SLOTS,
            'the target is full',
        )
        waits = [pool.submit(call, f'waits-{one}', _KEY) for one in range(3)]
        other = pool.submit(call, 'waits-with-key', _OTHER_KEY)
        wait_until(
            lambda: _gauge(target, 'at_target') == _SLOTS + 4,
            'calls wait for the target',
        )
        _declare(
            deployment, tenant('club', _SECOND_KEY), tenant('den', _OTHER_KEY)
        )
        declared_at = time.monotonic()
        for name, reply, ended_at in (one.result() for one in waits):
            assert reply.status == 401, name
            assert reply.headers['bluebellsill-run'] == 'not-run'
            assert ended_at - declared_at < _APPLY_SECONDS
        statuses = {one.result()[1].status for one in (*runs, other)}
    assert statuses == {200}
    received = set(_received(deployment))
    assert {'runs-0', 'waits-with-key'} < received
    assert not received & {f'waits-{one}' for one in range(3)}
    _assert_no_tag(deployment)


def _assert_no_tag(found: MeshDeployment) -> None:
    """Check that no log has the tag of a key."""
    teams = [(Team('club'), [_KEY]), (Team('den'), [_OTHER_KEY])]
    tags = TeamDirectory.build(teams).unwrap().tags
    for vm in found.vms:
        log = (found.folder / f'{vm.name}.log').read_text(encoding='utf-8')
        for key in (_KEY, _OTHER_KEY):
            tag = tags.tag(key.encode())
            forms = (tag.hex(), b64encode(tag).decode()[:10], repr(tag)[2:-1])
            assert not [form for form in forms if form in log]


def test_new_key_and_new_route_work_before_their_document_is_read(
    deployment: MeshDeployment,
) -> None:
    """The owner of a new key got 401 from nodes that lagged."""
    deployment.set_store_faults(delay_ms=150)
    for number in range(4):
        key, path = f'{_UNKNOWN_KEY}-{number}', f'/new-{number}/x'
        deployment.declare(
            [*_ROUTES, path_rule(f'/new-{number}/', 'shop')],
            tenants=[tenant('club', _KEY), tenant('den', key)],
        )
        for vm in deployment.vms:
            assert _call(deployment, vm, path, key).status == 200, number
    for vm in deployment.vms:
        started_at = time.monotonic()
        assert _call(deployment, vm, '/shop/x', _UNKNOWN_KEY).status == 401
        assert _call(deployment, vm, '/none/x').status == 404
        assert time.monotonic() - started_at < 2.2


def test_node_with_an_old_view_refuses_unknown_keys_as_not_run(
    deployment: MeshDeployment,
) -> None:
    """The key may have been added since; known keys go on working."""
    deployment.set_store_faults(refuses=True)
    time.sleep(_APPLY_SECONDS + 1)
    for vm in deployment.vms:
        reply = _call(deployment, vm, '/shop/x', _UNKNOWN_KEY)
        assert reply.status == 503
        assert reply.headers['bluebellsill-error'] == 'stale'
        assert reply.headers['bluebellsill-run'] == 'not-run'
        assert _call(deployment, vm, '/shop/x').status == 200
        assert _call(deployment, vm, '/shop/x', '').status == 401
    deployment.set_store_faults()
    for vm in deployment.vms:
        wait_until(
            lambda vm=vm: (  # type: ignore[misc]
                _call(deployment, vm, '/shop/x', _UNKNOWN_KEY).status == 401
            ),
            'the node knows that the key is wrong',
            5,
        )


def test_rejected_document_leaves_the_keys_in_force(
    deployment: MeshDeployment,
) -> None:
    first, second = deployment.vms
    before = max(_gauge(vm, 'revision') for vm in deployment.vms)
    _declare(deployment, tenant('club', _KEY), tenant('den', _KEY))
    # The node that reads it first rejects it; the other may get the revision
    # from that node, with the document in force.
    wait_until(
        lambda: all(_gauge(vm, 'revision') > before for vm in deployment.vms),
        'both nodes have passed the revision of the document',
    )
    logs = [deployment.folder / f'{vm.name}.log' for vm in deployment.vms]
    wait_until(
        lambda: any('document ignored' in one.read_text() for one in logs),
        'the document was rejected',
    )
    for vm in (first, second):
        assert _call(deployment, vm, '/shop/x').status == 200
        assert _call(deployment, vm, '/shop/x', _OTHER_KEY).status == 200
    assert not [one.name for one in logs if _KEY in one.read_text()]
    # Without teams, no key is needed.
    deployment.declare(_ROUTES)
    time.sleep(_APPLY_SECONDS)
    for vm in (first, second):
        assert _call(deployment, vm, '/shop/x', '').status == 200


def test_nested_call_after_a_node_restart_is_not_answered_with_401(
    deployment: MeshDeployment,
) -> None:
    """The node does not know the requests that its predecessor had sent."""
    vm = deployment.vms[1]
    deployment.change_target(vm, records_headers=True, works_on=True)
    parent = http.client.HTTPConnection(vm.ports['callers'], timeout=5)
    headers = {
        'Host': HOST,
        REQUEST_ID: 'parent',
        CREDENTIALS: f'Token {_KEY}',
        'bluebellsill-deadline-ms': '9000',
    }
    parent.request('GET', '/pay/x?work=6000', headers=headers)
    wait_until(lambda: 'parent' in _received(deployment), 'the parent runs')
    deployment.restart_node(vm)
    wait_until(lambda: deployment.is_ready(vm), 'the node is ready again')
    statuses = {
        _call(deployment, vm, '/shop/x', '', name='parent.1').status
        for _ in range(5)
    }
    assert statuses == {503}
    assert _call(deployment, vm, '/shop/x', '', name='plain').status == 401
    parent.close()


def test_request_without_a_key_is_refused_once_the_target_is_known_idle(
    deployment: MeshDeployment,
) -> None:
    """503 asks for a retry, which must not go on for ever."""
    vm = deployment.vms[0]
    deployment.restart_node(vm)
    wait_until(lambda: deployment.is_ready(vm), 'the node is ready again')
    wait_until(
        lambda: (
            _call(deployment, vm, '/shop/x', '', name='idle.1').status == 401
        ),
        'the node knows that its target runs nothing else',
        3,
    )
