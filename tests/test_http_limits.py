"""Clients that send too much or take too long lose their connection."""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from types import SimpleNamespace

import pytest

from bluebellsill.clock import ManualClock
from bluebellsill.http import Request, Response
from bluebellsill.http_server import HttpServer, Reply, RequestLimits
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

_LIMITS = RequestLimits(
    max_head=200,
    max_body=100,
    head_timeout=2.0,
    idle_timeout=5.0,
)
_GET = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'


class _Stream:
    """A connection that notes what is written to it."""

    def __init__(self) -> None:
        self.sent = b''
        self.is_closed = False
        self.unsent_bytes = 0

    def start(self, owner: object) -> None:
        """Do nothing."""

    def send(self, payload: bytes) -> None:
        """Note it."""
        self.sent += payload

    def close(self) -> None:
        """Note it."""
        self.is_closed = True


class _Played:
    """A server and one connection of it."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        reactor = SimpleNamespace(
            timers=self.timers,
            add=lambda *_, **__: None,
            remove=lambda _: None,
        )
        self.replies: list[Reply] = []
        self.server = HttpServer(
            reactor,
            Address('127.0.0.1', 0),
            self._on_request,
        )
        self.server.limits = _LIMITS
        self.stream = _Stream()
        self.server._on_accepted(self.stream)
        (self.connection,) = self.server._connections

    def _on_request(self, request: Request, reply: Reply) -> None:
        self.replies.append(reply)

    def let_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(ceil(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()


@pytest.fixture
def played() -> Iterator[_Played]:
    played = _Played()
    yield played
    played.server.stop_accepting()


def test_connection_without_a_request_ends_after_its_limit(
    played: _Played,
) -> None:
    # Callers use connections that were idle for four fifths of it.
    played.let_pass(0.8 * 5.0)
    assert not played.stream.is_closed
    played.let_pass(2)
    assert played.stream.is_closed


def test_request_starts_the_idle_time_anew(played: _Played) -> None:
    played.let_pass(4)
    played.connection.on_bytes(_GET)
    played.let_pass(10)
    assert not played.stream.is_closed
    played.replies[0].send(Response(200))
    played.let_pass(4)
    assert not played.stream.is_closed
    played.let_pass(2)
    assert played.stream.is_closed


def test_shorter_limit_does_not_end_a_connection_that_rests(
    played: _Played,
) -> None:
    played.server.limits = RequestLimits(idle_timeout=1.0)
    played.let_pass(4)
    assert not played.stream.is_closed


def test_head_that_is_not_whole_in_time_is_refused(played: _Played) -> None:
    played.connection.on_bytes(_GET[:10])
    played.let_pass(1.5)
    assert not played.stream.sent
    played.let_pass(1.5)
    assert played.stream.sent.startswith(b'HTTP/1.1 408 ')
    assert played.stream.is_closed


def test_sizes_of_the_version_in_force_hold(played: _Played) -> None:
    body = b'POST /x HTTP/1.1\r\ncontent-length: 101\r\n\r\n' + bytes(101)
    played.connection.on_bytes(body)
    assert played.stream.sent.startswith(b'HTTP/1.1 413 ')
    other = _Played()
    other.connection.on_bytes(b'GET /x HTTP/1.1\r\na: ' + b'x' * 200)
    assert other.stream.sent.startswith(b'HTTP/1.1 431 ')
    other.server.stop_accepting()


def test_body_beside_a_head_does_not_count_for_it(played: _Played) -> None:
    head = b'POST /x HTTP/1.1\r\ncontent-length: 90\r\n\r\n'
    filler = b'a: ' + b'x' * 100 + b'\r\n\r\n'
    played.connection.on_bytes(head[:-2] + filler + bytes(90))
    assert len(played.replies) == 1
