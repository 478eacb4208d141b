"""The client of the store on slow links, and with answers that stall."""

from __future__ import annotations

import json
import time
from base64 import b64encode
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from socket import create_server, socket
from threading import Thread

import pytest
from circuits import Component
from result import Err, Ok, Result

from bluebellsill.clock import SystemClock
from bluebellsill.platform.kv_store import ItemWatch, KvFailure, KvStore
from bluebellsill.reactor import Reactor
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
        self.outcome: Result[ItemWatch, KvFailure] | None = None
        self.store.watch('op/', 1, 0, self._on_done)

    def _on_done(self, outcome: Result[ItemWatch, KvFailure]) -> None:
        self.outcome = outcome
        self.stop()


@contextmanager
def _store(send: _Send) -> Iterator[int]:
    """Serve one watch; ``send`` writes the answer to it."""
    payload = b64encode(b'x' * _DOCUMENT_BYTES).decode()
    item = {'key': 'op/config', 'revision': 2, 'lease': 0, 'value': payload}
    body = json.dumps({'events': [item], 'current_rev': 2}).encode()
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
