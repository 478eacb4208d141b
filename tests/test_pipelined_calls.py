"""Requests sent ahead on one connection, with real processes.

A slow request delayed all idempotent requests behind it.
"""

from __future__ import annotations

import socket
from collections.abc import Iterator
from http.client import parse_headers
from pathlib import Path

import pytest

from bluebellsill.platform.headers import DEADLINE, REQUEST_ID
from demo.mesh_harness import HOST, MeshDeployment, running, wait_until
from tests.path_rules import path_rule

_SLOW_MS = 1500
_TIMEOUT = 10.0  # seconds


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """One VM, whose target has an idempotent route and another one."""
    with running(tmp_path) as found:
        vm = found.add('a', 'shop')
        found.declare(
            [
                path_rule('/shop/', timeout_ms=5000),
                path_rule('/pay/', route_type='non_idempotent'),
            ]
        )
        wait_until(
            lambda: found.call(vm, '/shop/x').status == 200,
            'the node serves requests',
            60,
        )
        yield found


def _request(method: str, path: str, name: str) -> bytes:
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'{REQUEST_ID}: {name}',
        f'{DEADLINE}: 5000',
        'Content-Length: 0',
    )
    return '\r\n'.join((*lines, '', '')).encode()


def _connect(deployment: MeshDeployment) -> socket.socket:
    host, _, port = deployment.vms[0].ports['callers'].partition(':')
    return socket.create_connection((host, int(port)), _TIMEOUT)


def _started_at(deployment: MeshDeployment) -> dict[str, float]:
    (vm,) = deployment.vms
    return {line['id']: line['at'] for line in deployment.stats(vm)['log']}


def test_idempotent_requests_are_run_beside_a_slow_one(
    deployment: MeshDeployment,
) -> None:
    names = ['slow', 'quick-1', 'quick-2', 'pay', 'quick-3']
    sent = _request('GET', f'/shop/x?work={_SLOW_MS}', 'slow')
    sent += _request('GET', '/shop/x', 'quick-1')
    sent += _request('GET', '/shop/x', 'quick-2')
    sent += _request('POST', '/pay/x', 'pay')
    sent += _request('GET', '/shop/x', 'quick-3')
    answered = []
    with _connect(deployment) as client:
        client.sendall(sent)
        with client.makefile('rb') as received:
            for _ in names:
                assert received.readline().startswith(b'HTTP/1.1 200 ')
                headers = parse_headers(received)
                answered.append(headers[REQUEST_ID])
                received.read(int(headers['content-length']))
    assert answered == names
    started_at = _started_at(deployment)
    slow_ends_at = started_at['slow'] + _SLOW_MS / 1000
    assert started_at['quick-1'] < slow_ends_at
    assert started_at['quick-2'] < slow_ends_at
    assert started_at['pay'] >= slow_ends_at
    assert started_at['quick-3'] >= started_at['pay']


def test_requests_at_the_target_are_cancelled_with_the_connection(
    deployment: MeshDeployment,
) -> None:
    (vm,) = deployment.vms
    with _connect(deployment) as client:
        for number in range(3):
            client.sendall(_request('GET', '/shop/x?work=4000', f'n{number}'))
        wait_until(
            lambda: (
                len(_started_at(deployment).keys() & {'n0', 'n1', 'n2'}) == 3
            ),
            'three requests run at once',
        )
    wait_until(
        lambda: deployment.stats(vm)['counts'].get('dropped') == 3,
        'the target drops them',
    )
