"""The client of the store on slow links, and with answers that stall."""

from __future__ import annotations

import json
import time
from base64 import b64encode
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import create_server, socket
from threading import Thread
from typing import Any

import pytest
from circuits import Component
from result import Err, Ok, Result

from bluebellsill.clock import SystemClock
from bluebellsill.platform.kv_store import ItemWatch, KvFailure, KvStore
from bluebellsill.platform.operator_keys import OperatorKeys
from bluebellsill.reactor import Reactor
from bluebellsill.replica_version import StorePosition
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

_LINK_BYTES_PER_SECOND = 5_000_000 / 8  # the slowest link of the deployments
_DOCUMENT_BYTES = 1_000_000  # the store takes up to 1,048,576
_CHUNK = 31_250  # bytes
_Send = Callable[[socket, bytes], None]


class _Client(Component):
    """Watches the store once and stops the event loop at the outcome."""

    channel = 'client'

    def __init__(self, port: int) -> None:
        super().__init__()
        reactor = Reactor(TimerService(SystemClock())).register(self)
        self.store = KvStore(reactor, Address('127.0.0.1', port))
        self.outcome: Any = None
        self.watch()

    def watch(self) -> None:
        """Send the call."""
        self.store.watch('op/', 1, 0, self._on_done)

    def _on_done(self, outcome: Result[Any, Any]) -> None:
        self.outcome = outcome
        self.stop()


class _FeedClient(_Client):
    """Watches the operators' keys instead."""

    def watch(self) -> None:
        """Send the call."""
        feed = OperatorKeys(self.store)
        feed.watch(StorePosition(0, 1), 0, self._on_done)


@contextmanager
def _store(send: _Send, documents: int = 1) -> Iterator[int]:
    """Serve one watch; ``send`` writes the answer to it."""
    payload = b64encode(b'x' * _DOCUMENT_BYTES).decode()
    items = [
        {'key': 'op/config', 'revision': 2 + one, 'lease': 0, 'value': payload}
        for one in range(documents)
    ]
    body = json.dumps({'events': items, 'current_rev': 9}).encode()
    head = f'HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n'.encode()

    def serve() -> None:
        sock, _ = listener.accept()
        with sock:
            sock.recv(65536)
            try:
                send(sock, head + body)
            except OSError:
                # The client has given the answer up.
                return

    with create_server(('127.0.0.1', 0)) as listener:
        thread = Thread(target=serve)
        thread.start()
        yield listener.getsockname()[1]
        thread.join()


def _send_slowly(sock: socket, answer: bytes) -> None:
    for start in range(0, len(answer), _CHUNK):
        sock.sendall(answer[start : start + _CHUNK])
        time.sleep(_CHUNK / _LINK_BYTES_PER_SECOND)


def _stall(sock: socket, answer: bytes) -> None:
    sock.sendall(answer[:_CHUNK])
    sock.recv(1)


def _trickle(sock: socket, answer: bytes) -> None:
    for start in range(len(answer)):
        sock.sendall(answer[start : start + 1])
        time.sleep(0.05)


def _watch(send: _Send) -> tuple[Result[ItemWatch, KvFailure] | None, float]:
    with _store(send) as port:
        began = time.monotonic()
        client = _Client(port)
        client.run()
        return client.outcome, time.monotonic() - began


def test_large_document_is_read_over_a_slow_link() -> None:
    """It took longer than the timeout, and was given up again and again."""
    outcome, _ = _watch(_send_slowly)
    assert isinstance(outcome, Ok)


def test_answer_that_stalls_is_given_up_within_seconds() -> None:
    outcome, seconds = _watch(_stall)
    assert isinstance(outcome, Err)
    assert seconds < 4


def test_answer_that_trickles_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr('bluebellsill.http_client._MAX_EXTENSION', 2)
    outcome, seconds = _watch(_trickle)
    assert isinstance(outcome, Err)
    assert seconds < 6


def test_changes_that_exceed_one_answer_are_replaced_by_a_snapshot() -> None:
    """The same watch was sent again and again, and got the same answer."""
    with _store(lambda sock, answer: sock.sendall(answer), 4) as port:
        client = _FeedClient(port)
        client.run()
    assert client.outcome.err_value.is_position_lost


def test_answer_that_cannot_be_read_is_replaced_by_a_snapshot() -> None:
    body = b'{"events":[{"key":7}],"current_rev":9}'
    head = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n' % len(body)
    with _store(lambda sock, _: sock.sendall(head + body)) as port:
        client = _FeedClient(port)
        client.run()
    assert client.outcome.err_value.is_position_lost
