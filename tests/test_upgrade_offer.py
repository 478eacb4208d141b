"""Requests that offer another protocol are served as if they did not.

The parser ended such a request after its head: it ran without its body, and
its body was parsed as the next request.
"""

from __future__ import annotations

from collections.abc import Iterator
from socket import socket

import pytest
from result import Err

from bluebellsill.http import Response
from tests.test_http_limits import _ServerWorld
from tests.test_kept_connection import _outcomes

_BODY = b'GET /smuggled HTTP/1.1\r\nhost: a\r\n\r\n'
_OFFER = (
    b'Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n'
    b'HTTP2-Settings: AAMAAABkAAQ\r\n'
)
_FRAMINGS = {
    'length': (b'content-length: %d\r\n' % len(_BODY), _BODY),
    'chunks': (
        b'transfer-encoding: chunked\r\n',
        b'%x\r\n%b\r\n0\r\n\r\n' % (len(_BODY), _BODY),
    ),
}


@pytest.fixture
def world() -> Iterator[_ServerWorld]:
    world = _ServerWorld()
    world.server.limits = type(world.server.limits)(10_000, 10_000)
    yield world
    world.server.stop_accepting()


def _request(framing: str) -> bytes:
    header, body = _FRAMINGS[framing]
    return b'PUT /x HTTP/1.1\r\nhost: a\r\n%b%b\r\n%b' % (_OFFER, header, body)


@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('size', (1, 7, 50, 100, 1000))
def test_request_with_an_offer_is_read_whole(
    world: _ServerWorld, framing: str, size: int
) -> None:
    sent = _request(framing) + b'GET /next HTTP/1.1\r\nhost: a\r\n\r\n'
    for start in range(0, len(sent), size):
        world.connection.on_bytes(sent[start : start + size])
    world.replies[0].send(Response(200))
    world.replies[1].send(Response(200))
    paths = [request.path for request in world.requests]
    assert paths == ['/x', '/next']
    assert world.requests[0].body == _BODY
    assert world.requests[0].header('upgrade') == ''
    assert not world.stream.is_closed


def test_many_requests_with_offers_are_read_at_once(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_request('length') * 2000)
    for number in range(2000):
        world.replies[number].send(Response(200))
    assert {request.body for request in world.requests} == {_BODY}


def test_offer_keeps_the_other_options_of_the_connection(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(
        b'GET /x HTTP/1.1\r\nhost: a\r\n'
        b'connection: close, upgrade\r\nupgrade: h2c\r\n\r\n'
    )
    world.replies[0].send(Response(200))
    assert world.stream.is_closed


def test_limit_of_the_body_holds_for_a_request_with_an_offer(
    world: _ServerWorld,
) -> None:
    world.server.limits = type(world.server.limits)(10_000, 10)
    world.connection.on_bytes(_request('length'))
    assert world.stream.sent.startswith(b'HTTP/1.1 413 ')
    assert not world.requests


def test_tunnel_is_refused(world: _ServerWorld) -> None:
    world.connection.on_bytes(
        b'CONNECT a:80 HTTP/1.1\r\nhost: a\r\n\r\n' + _BODY
    )
    assert world.stream.sent.startswith(b'HTTP/1.1 400 ')
    assert not world.requests


def test_response_that_switches_protocols_fails_the_request_at_once() -> None:
    def serve(connection: socket, number: int) -> None:
        with connection:
            connection.recv(65536)
            connection.sendall(
                b'HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\n'
                b'upgrade: h2c\r\n\r\n'
            )
            connection.recv(65536)

    (outcome,) = _outcomes(serve, ['a'])
    assert isinstance(outcome, Err)
    assert not outcome.err_value.is_timeout
