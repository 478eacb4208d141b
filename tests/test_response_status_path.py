"""Tests what clients get when targets send an invalid status.

A status such as 000 or 600 that reaches a client, or a request that waits for
a valid response until it times out, are the failures guarded against.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from demo.mesh_harness import MeshDeployment, running, wait_until
from tests.path_rules import path_rule

_INVALID = ('000', '099', '600', '999', '1', '1000', '101', '104')
_FAILURES = 12  # requests; more than open the breaker of one of two targets


@pytest.fixture(scope='module')
def deployment(
    tmp_path_factory: pytest.TempPathFactory,
) -> Iterator[MeshDeployment]:
    """Two targets of a service, and an entry node of another one."""
    folder: Path = tmp_path_factory.mktemp('status')
    with running(folder) as found:
        found.add('a', 'shop')
        found.add('a', 'shop')
        found.add('a', 'other')
        found.declare(
            [
                path_rule('/shop/'),
                path_rule('/once/', route_type='non_idempotent'),
            ]
        )
        _wait_until_both_serve(found)
        yield found


def _wait_until_both_serve(found: MeshDeployment) -> None:
    served: set[bytes] = set()

    def is_served() -> bool:
        reply = found.call(found.vms[2], '/shop/x')
        if reply.status == 200:
            served.add(reply.body.partition(b'"by":')[2])
        return len(served) == 2

    wait_until(is_served, 'both targets serve')


def _set_status(found: MeshDeployment, text: str, count: int) -> None:
    for vm in found.vms[:count]:
        found.change_target(vm, status_text=text)


def _arrivals(found: MeshDeployment) -> int:
    return int(found.stats(found.vms[0])['counts'].get('arrivals', 0))


def _runs(found: MeshDeployment, name: str) -> int:
    return sum(
        times
        for run_name, times in found.runs().items()
        if run_name.partition('.')[0] == name
    )


def _opened_breakers(found: MeshDeployment) -> int:
    return sum(
        (found.folder / f'{vm.name}.log')
        .read_text(encoding='utf-8')
        .count('breaker opened')
        for vm in found.vms[:2]
    )


@pytest.mark.parametrize('status', _INVALID)
def test_idempotent_request_is_served_by_a_retry(
    deployment: MeshDeployment, status: str
) -> None:
    _set_status(deployment, status, 1)
    arrivals = _arrivals(deployment)
    statuses = []

    def has_reached_the_faulty_target() -> bool:
        reply = deployment.call(deployment.vms[2], '/shop/x')
        statuses.append(reply.status)
        return _arrivals(deployment) > arrivals

    wait_until(has_reached_the_faulty_target, 'a request had to be retried')
    _set_status(deployment, '', 1)
    assert set(statuses) == {200}
    _wait_until_both_serve(deployment)


@pytest.mark.parametrize('status', _INVALID)
def test_request_that_cannot_be_retried_gets_502(
    deployment: MeshDeployment, status: str
) -> None:
    entry = deployment.vms[2]
    _set_status(deployment, status, 2)
    idempotent = deployment.call(entry, '/shop/x', name=f'i{status}')
    once = deployment.call(
        entry, '/once/x', method='POST', name=f'o{status}', body=b'x'
    )
    _set_status(deployment, '', 2)
    ordinary = deployment.call(entry, '/shop/x')
    for reply in (idempotent, once):
        assert reply.status == 502
        assert reply.headers['bluebellsill-run'] == 'unknown'
    assert _runs(deployment, f'i{status}') == 2
    assert _runs(deployment, f'o{status}') == 1
    assert ordinary.status == 200
    _wait_until_both_serve(deployment)


@pytest.mark.parametrize('status', [200, 299, 302, 418, 450, 499])
def test_valid_status_is_passed_on(
    deployment: MeshDeployment, status: int
) -> None:
    _set_status(deployment, str(status), 2)
    reply = deployment.call(deployment.vms[2], '/once/x', method='POST')
    _set_status(deployment, '', 2)
    assert reply.status == status
    assert b'"by":' in reply.body


@pytest.mark.parametrize('status', [500, 599])
def test_valid_error_status_is_passed_on(
    deployment: MeshDeployment, status: int
) -> None:
    _set_status(deployment, str(status), 2)
    reply = deployment.call(deployment.vms[2], '/once/x', method='POST')
    _set_status(deployment, '', 2)
    assert reply.status == status
    assert b'"by":' in reply.body
    _wait_until_both_serve(deployment)


def test_invalid_statuses_open_the_breaker(deployment: MeshDeployment) -> None:
    """The target's state counts them as failures."""
    opened = _opened_breakers(deployment)
    _set_status(deployment, '000', 2)
    statuses = {
        deployment.call(
            deployment.vms[2], '/once/x', method='POST', body=b'x'
        ).status
        for _ in range(_FAILURES)
    }
    _set_status(deployment, '', 2)
    assert statuses <= {502, 503}
    assert _opened_breakers(deployment) > opened
    _wait_until_both_serve(deployment)
