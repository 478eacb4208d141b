"""Requests that exceed a size limit or a timeout end the connection."""

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
    """A fake connection that records what is written to it."""

    def __init__(self) -> None:
        self.sent = b''
        self.is_closed = False
        self.unsent_bytes = 0
        self.is_paused = False

    def start(self, owner: object) -> None:
        """Do nothing."""

    def send(self, payload: bytes) -> None:
        """Record the payload."""
        self.sent += payload

    def pause_reading(self) -> None:
        """Record that nothing is read."""
        self.is_paused = True

    def resume_reading(self) -> None:
        """Record that the connection is read."""
        self.is_paused = False

    def close(self) -> None:
        """Record that the connection is closed."""
        self.is_closed = True


class _ServerWorld:
    """A server with one connection and a manual clock."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        reactor = SimpleNamespace(
            timers=self.timers,
            add=lambda *_, **__: None,
            remove=lambda _: None,
        )
        self.replies: list[Reply] = []
        self.requests: list[Request] = []
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
        self.requests.append(request)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of 0.1 s and run due timers."""
        for _ in range(ceil(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()


@pytest.fixture
def world() -> Iterator[_ServerWorld]:
    world = _ServerWorld()
    yield world
    world.server.stop_accepting()


def test_idle_connection_is_closed_after_the_idle_timeout(
    world: _ServerWorld,
) -> None:
    # Callers reuse connections that were idle for up to 80% of the timeout.
    world.advance(0.8 * 5.0)
    assert not world.stream.is_closed
    world.advance(2)
    assert world.stream.is_closed


def test_request_restarts_the_idle_timeout(world: _ServerWorld) -> None:
    world.advance(4)
    world.connection.on_bytes(_GET)
    world.advance(10)
    assert not world.stream.is_closed
    world.replies[0].send(Response(200))
    world.advance(4)
    assert not world.stream.is_closed
    world.advance(2)
    assert world.stream.is_closed


def test_shorter_idle_timeout_does_not_apply_to_an_idle_connection(
    world: _ServerWorld,
) -> None:
    world.server.limits = RequestLimits(idle_timeout=1.0)
    world.advance(4)
    assert not world.stream.is_closed


def test_incomplete_head_is_rejected_after_the_head_timeout(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_GET[:10])
    world.advance(1.5)
    assert not world.stream.sent
    world.advance(1.5)
    assert world.stream.sent.startswith(b'HTTP/1.1 408 ')
    assert world.stream.is_closed


def test_size_limits_in_force_apply(world: _ServerWorld) -> None:
    body = b'POST /x HTTP/1.1\r\ncontent-length: 101\r\n\r\n' + bytes(101)
    world.connection.on_bytes(body)
    assert world.stream.sent.startswith(b'HTTP/1.1 413 ')
    other = _ServerWorld()
    other.connection.on_bytes(b'GET /x HTTP/1.1\r\na: ' + b'x' * 200)
    assert other.stream.sent.startswith(b'HTTP/1.1 431 ')
    other.server.stop_accepting()


def test_body_in_the_same_chunk_does_not_count_towards_the_head(
    world: _ServerWorld,
) -> None:
    head = b'POST /x HTTP/1.1\r\ncontent-length: 90\r\n\r\n'
    filler = b'a: ' + b'x' * 100 + b'\r\n\r\n'
    world.connection.on_bytes(head[:-2] + filler + bytes(90))
    assert len(world.replies) == 1
