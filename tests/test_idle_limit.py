"""Tests that connections aren't reused after idle times that led to resets.

A server that drops idle connections silently resets the next request on
them, and a request that is not idempotent then has an unknown outcome.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill import http_client
from bluebellsill.clock import ManualClock
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.idle_limit import IdleLimit
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

_ANSWER = Response(200, [], b'ok').encode()


class _Stream:
    """A connection whose server side is simulated by the test."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.is_connected = True
        self.is_closed = False
        self.received_eof = False
        self.sent = 0
        self.unsent_bytes = 0
        self.queued_bytes = 0

    def send(self, payload: bytes) -> None:
        """Count the sent payloads."""
        self.sent += 1
        self.queued_bytes += len(payload)

    @property
    def delivered_bytes(self) -> int:
        """The bytes sent so far: all have arrived."""
        return self.queued_bytes

    def has_input(self) -> bool:
        """Return that nothing waits: input is handled when it is played."""
        return False

    def close(self) -> None:
        """Mark the connection as closed."""
        self.is_closed = True

    def lose(self, reason: str) -> None:
        """Close the connection and notify its owner."""
        self.is_closed = True
        self.owner.on_lost(reason)


class _Server:
    """Answers requests, and can reset a reused connection."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.clock = ManualClock()
        self.streams: list[_Stream] = []
        self.results: list[bool] = []
        monkeypatch.setattr(
            http_client, 'Stream', SimpleNamespace(connect=self._connect)
        )
        reactor = SimpleNamespace(timers=TimerService(self.clock))
        self.pool = HttpPool(reactor, Address('127.0.0.1', 1))

    def _connect(self, reactor: Any, address: Address, owner: Any) -> _Stream:
        self.streams.append(_Stream(owner))
        return self.streams[-1]

    def call(self, *, resets: bool = False) -> None:
        """Make one request; the server answers or resets the connection."""
        counts = [stream.sent for stream in self.streams]
        self.pool.request(
            Request('POST', '/x'),
            5,
            lambda done: self.results.append(done.is_ok()),
        )
        counts += [0]
        used = next(
            stream
            for stream, count in zip(self.streams, counts, strict=False)
            if stream.sent > count
        )
        if resets:
            used.lose('reset')
        else:
            used.owner.on_bytes(_ANSWER)


def test_idle_time_that_led_to_a_reset_is_not_repeated(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = _Server(monkeypatch)
    server.call()
    server.clock.advance(0.4)
    server.call(resets=True)
    assert server.results == [True, False]
    for _ in range(5):
        server.clock.advance(0.4)
        server.call()
    assert len(server.streams) == 6
    assert server.results[2:] == [True] * 5
    for _ in range(5):
        server.clock.advance(0.1)
        server.call()
    # Connections with short idle times are still reused.
    assert len(server.streams) == 6


def test_idle_limit_expires(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = _Server(monkeypatch)
    server.call()
    server.clock.advance(0.4)
    server.call(resets=True)
    server.call()
    server.clock.advance(11)
    server.call()
    server.clock.advance(0.4)
    server.call()
    assert len(server.streams) == 3


def test_loss_without_idle_time_sets_no_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = _Server(monkeypatch)
    server.call(resets=True)
    server.call()
    server.call(resets=True)
    assert server.pool.idle_limit.max_idle_seconds(server.clock.now()) is None
    idle_limit = IdleLimit()
    idle_limit.on_lost(0.6, 1)
    idle_limit.on_lost(0.4, 2)
    assert idle_limit.max_idle_seconds(2) == pytest.approx(0.2)
