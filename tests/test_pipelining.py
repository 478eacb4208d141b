"""Requests that are sent ahead on a connection.

A slow request delayed all that were sent behind it, although they could be
handled beside it.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bluebellsill.http import Request, Response
from bluebellsill.http_server import RequestLimits
from tests.test_http_limits import _ServerWorld

_MAX_AT_ONCE = 16


def _get(path: str, *lines: str) -> bytes:
    return '\r\n'.join((f'GET {path} HTTP/1.1', *lines, '', '')).encode()


def _post(path: str) -> bytes:
    return f'POST {path} HTTP/1.1\r\ncontent-length: 1\r\n\r\nx'.encode()


def _is_get(request: Request) -> bool:
    return request.method != 'POST'


@pytest.fixture
def world() -> Iterator[_ServerWorld]:
    world = _ServerWorld()
    world.server.limits = RequestLimits(idle_timeout=15.0)
    world.server._may_overlap = _is_get
    yield world
    world.server.stop_accepting()


def _paths(world: _ServerWorld) -> list[str]:
    return [request.path for request in world.requests]


def _answer(world: _ServerWorld, path: str) -> None:
    number = _paths(world).index(path)
    world.replies[number].send(Response(200, [('path', path)]))


def _answered(world: _ServerWorld) -> list[str]:
    lines = world.stream.sent.decode().split('\r\n')
    return [one[6:] for one in lines if one.startswith('path: ')]


def test_responses_are_sent_in_the_order_of_the_requests(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_get('/a') + _get('/b') + _get('/c'))
    assert _paths(world) == ['/a', '/b', '/c']
    _answer(world, '/c')
    _answer(world, '/b')
    assert not world.stream.sent
    _answer(world, '/a')
    assert _answered(world) == ['/a', '/b', '/c']


def test_at_most_16_requests_are_handled_at_once(world: _ServerWorld) -> None:
    paths = [f'/{number}' for number in range(40)]
    world.connection.on_bytes(b''.join(map(_get, paths)))
    assert _paths(world) == paths[:_MAX_AT_ONCE]
    # Responses that wait for their turn count as well.
    _answer(world, '/5')
    assert _paths(world) == paths[:_MAX_AT_ONCE]
    _answer(world, '/0')
    assert _paths(world) == paths[: _MAX_AT_ONCE + 1]
    for path in paths[1:]:
        if path != '/5':
            _answer(world, path)
    assert _answered(world) == paths


def test_refusals_reduce_the_requests_that_are_handled_at_once(
    world: _ServerWorld,
) -> None:
    # A crowd that sends requests ahead took all capacity of a target, so that
    # an ordinary client was not served within 20 s.
    paths = [f'/{number}' for number in range(60)]
    world.connection.on_bytes(b''.join(map(_get, paths)))
    for number in range(16):
        world.replies[number].send(Response(503))
    assert len(world.requests) == 17
    for number in range(16, 20):
        world.replies[number].send(Response(200))
    # One, and one more for each of the four responses.
    assert len(world.requests) == 20 + 5


def test_other_request_runs_alone(world: _ServerWorld) -> None:
    # A request that runs at most once must not overtake what it depends on.
    sent = _get('/a') + _get('/b') + _post('/pay') + _get('/c') + _get('/d')
    world.connection.on_bytes(sent)
    assert _paths(world) == ['/a', '/b']
    _answer(world, '/b')
    assert _paths(world) == ['/a', '/b']
    _answer(world, '/a')
    assert _paths(world) == ['/a', '/b', '/pay']
    _answer(world, '/pay')
    assert _paths(world) == ['/a', '/b', '/pay', '/c', '/d']


def test_nothing_overlaps_without_a_classification(world: _ServerWorld) -> None:
    world.server._may_overlap = None
    world.connection.on_bytes(_get('/a') + _get('/b'))
    assert _paths(world) == ['/a']
    _answer(world, '/a')
    assert _paths(world) == ['/a', '/b']


def test_nothing_behind_a_closing_request_is_handled(
    world: _ServerWorld,
) -> None:
    last = _get('/b', 'connection: close')
    world.connection.on_bytes(_get('/a') + last + _get('/c'))
    assert _paths(world) == ['/a', '/b']
    _answer(world, '/b')
    assert not world.stream.is_closed
    _answer(world, '/a')
    assert _answered(world) == ['/a', '/b']
    assert world.stream.sent.count(b'connection: close') == 1
    assert world.stream.is_closed
    assert _paths(world) == ['/a', '/b']


def test_all_requests_are_abandoned_with_the_connection(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_get('/a') + _get('/b') + _get('/c'))
    abandoned: list[str] = []
    for path, reply in zip(_paths(world), world.replies, strict=True):
        reply.on_abandoned = lambda path=path: abandoned.append(path)
    _answer(world, '/b')
    world.connection.on_lost('reset')
    assert abandoned == ['/a', '/c']
    _answer(world, '/a')
    assert not world.stream.sent


def test_truncated_response_abandons_the_requests_behind_it(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_get('/a') + _get('/b'))
    abandoned: list[str] = []
    world.replies[1].on_abandoned = lambda: abandoned.append('/b')
    world.replies[0].send_truncated(Response(200, [], b'text'))
    assert world.stream.is_closed
    assert abandoned == ['/b']


def test_planned_close_comes_after_the_requests_that_were_started(
    world: _ServerWorld,
) -> None:
    paths = [f'/{number}' for number in range(20)]
    world.connection.on_bytes(b''.join(map(_get, paths)))
    world.server.drain()
    for path in paths[:_MAX_AT_ONCE]:
        assert not world.stream.is_closed
        _answer(world, path)
    assert world.stream.is_closed
    assert world.stream.sent.count(b'connection: close') == 1
    assert _answered(world) == _paths(world) == paths[:_MAX_AT_ONCE]


def test_waiting_responses_count_towards_the_memory(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_get('/a') + _get('/b'))
    world.replies[1].send(Response(200, [], bytes(100_000)))
    assert world.server.budget.used > 100_000
    _answer(world, '/a')
    assert world.server.budget.used < 10_000


def test_malformed_input_is_answered_after_earlier_requests(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_get('/a') + _get('/b') + b'nonsense\r\n\r\n')
    _answer(world, '/b')
    assert not world.stream.sent
    _answer(world, '/a')
    assert _answered(world) == ['/a', '/b']
    assert b'HTTP/1.1 400 ' in world.stream.sent
    assert world.stream.is_closed


def test_permission_to_send_a_body_waits_for_earlier_responses(
    world: _ServerWorld,
) -> None:
    # 100 Continue before the response to /a would be taken as one to /a.
    head = b'PUT /b HTTP/1.1\r\ncontent-length: 1\r\nexpect: 100-continue\r\n'
    world.connection.on_bytes(_get('/a') + head + b'\r\n')
    assert not world.stream.sent
    _answer(world, '/a')
    assert world.stream.sent.endswith(b'HTTP/1.1 100 Continue\r\n\r\n')
    world.connection.on_bytes(b'x')
    assert _paths(world) == ['/a', '/b']


def test_streamed_response_waits_for_its_turn(world: _ServerWorld) -> None:
    world.connection.on_bytes(_get('/a') + _get('/b'))
    world.replies[1].start_stream()
    world.replies[1].send_line({'number': 1})
    assert not world.stream.sent
    _answer(world, '/a')
    assert b'{"number":1}' in world.stream.sent
    world.replies[1].send_line({'number': 2})
    assert b'{"number":2}' in world.stream.sent
