"""Connections that were forgotten while they rested are not used again."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill import http_client
from bluebellsill.clock import ManualClock
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.idle_trust import IdleTrust
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

_ANSWER = Response(200, [], b'ok').encode()


class _Stream:
    """A connection whose server the test plays."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.is_connected = True
        self.is_closed = False
        self.is_ended = False
        self.sent = 0

    def send(self, payload: bytes) -> None:
        """Count what is sent."""
        self.sent += 1

    def close(self) -> None:
        """Note it."""
        self.is_closed = True

    def lose(self, reason: str) -> None:
        """Close and tell the owner."""
        self.is_closed = True
        self.owner.on_lost(reason)


class _Server:
    """Answers on connections, and may forget those that rested."""

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
        """Make one call; the server answers or resets the connection."""
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


def test_rest_that_was_too_long_is_not_risked_again(
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
    # Short rests were no harm, so their connections are kept.
    assert len(server.streams) == 6


def test_rests_are_trusted_again_after_a_while(
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


def test_loss_without_a_rest_or_after_an_answer_began_shakes_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    server = _Server(monkeypatch)
    server.call(resets=True)
    server.call()
    server.call(resets=True)
    assert server.pool.trust.longest_rest(server.clock.now()) is None
    trust = IdleTrust()
    trust.on_lost(0.6, 1)
    trust.on_lost(0.4, 2)
    assert trust.longest_rest(2) == pytest.approx(0.2)
