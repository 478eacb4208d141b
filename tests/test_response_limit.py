"""Tests that bytes without end from a server fail the request at once.

A server in trouble may send a head, chunk extensions, trailers, interim
responses or responses to other requests until the client closes. Without a
limit on bytes the node's memory grows until the request times out.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from itertools import repeat
from socket import create_server, socket
from threading import Thread
from time import monotonic

import pytest
from circuits import Component
from result import Err, Ok, Result

from bluebellsill.clock import SystemClock
from bluebellsill.http import MAX_BODY, Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure, ResponseRules
from bluebellsill.reactor import Reactor
from bluebellsill.response_limit import MAX_RECEIVED
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

_TIMEOUT = 20.0  # seconds of a request; no case may last that long
_BLOCK = b'x' * 8192
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_SOUND = b'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 2\r\n\r\nok'
_OTHER = b'HTTP/1.1 200 OK\r\nx-id: other\r\ncontent-length: 8192\r\n\r\n'

# What a server sends first, and then without end.
_ENDLESS = {
    'header value': (b'HTTP/1.1 200 OK\r\nx: ', _BLOCK),
    'headers': (b'HTTP/1.1 200 OK\r\n', b'x: y\r\n' * 1000),
    'interim responses': (b'', b'HTTP/1.1 100 Continue\r\n\r\n' * 300),
    'chunk extension': (_CHUNKED + b'5;', _BLOCK),
    'trailers': (_CHUNKED + b'0\r\n', b'x: y\r\n' * 1000),
    'chunks': (_CHUNKED, b'2000\r\n' + _BLOCK + b'\r\n'),
    'stated body': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n',
        _BLOCK,
    ),
    'body until close': (b'HTTP/1.1 200 OK\r\n\r\n', _BLOCK),
    'no protocol': (b'', b'\0' * 8192),
    'responses to other requests': (b'', _OTHER + _BLOCK),
}


class _Sender:
    """A server that sends a start and then one block until it is cut off.

    Attributes:
        sent: The bytes that the client's side has accepted.
    """

    def __init__(self, listener: socket, start: bytes, block: bytes) -> None:
        self.sent = 0
        self.was_cut_off = False
        self._listener = listener
        self._start = start
        self._block = block

    def serve(self) -> None:
        """Answer one request without end."""
        sock, _ = self._listener.accept()
        with sock:
            sock.settimeout(_TIMEOUT)
            sock.recv(65536)
            try:
                self._send(sock)
            except ConnectionError:
                self.was_cut_off = True

    def _send(self, sock: socket) -> None:
        sock.sendall(self._start)
        for block in repeat(self._block):
            sock.sendall(block)
            self.sent += len(block)


class _Client(Component):
    """Sends one request and stops the event loop at its outcome."""

    channel = 'client'

    def __init__(self, port: int) -> None:
        super().__init__()
        reactor = Reactor(TimerService(SystemClock())).register(self)
        rules = ResponseRules(id_header='x-id', allows_body_until_close=True)
        self.pool = HttpPool(reactor, Address('127.0.0.1', port), rules)
        self.outcome: Result[Response, HttpFailure] | None = None
        self.pool.request(
            Request('GET', '/x', [('x-id', 'own')]), _TIMEOUT, self._on_done
        )

    def _on_done(self, outcome: Result[Response, HttpFailure]) -> None:
        self.outcome = outcome
        self.stop()


@contextmanager
def _server(start: bytes, block: bytes) -> Iterator[tuple[int, _Sender]]:
    with create_server(('127.0.0.1', 0)) as listener:
        sender = _Sender(listener, start, block)
        thread = Thread(target=sender.serve)
        thread.start()
        yield listener.getsockname()[1], sender
        thread.join(_TIMEOUT)


@pytest.mark.parametrize('name', _ENDLESS)
def test_endless_bytes_fail_the_request(name: str) -> None:
    began = monotonic()
    with _server(*_ENDLESS[name]) as (port, sender):
        client = _Client(port)
        client.run()
    assert isinstance(client.outcome, Err)
    assert not client.outcome.err_value.is_timeout
    assert sender.was_cut_off
    # The rest lies in the buffers of the two sockets.
    assert sender.sent < MAX_RECEIVED + 16 * 1024 * 1024
    assert monotonic() - began < _TIMEOUT / 2
    assert client.pool.open_connections == 0


def test_late_response_and_large_body_are_within_the_limit() -> None:
    size = MAX_BODY - 1
    body = b'y' * size
    head = f'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: {size}\r\n\r\n'
    answer = _OTHER + _BLOCK + head.encode() + body
    with _server(answer, b'') as (port, sender):
        sender._block = b'z'
        client = _Client(port)
        client.run()
        client.pool.close()
    assert isinstance(client.outcome, Ok)
    assert client.outcome.ok_value.body == body


def test_body_whose_stated_length_exceeds_the_limit_is_not_read() -> None:
    head = b'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 99999999\r\n\r\n'
    with _server(head, b'') as (port, sender):
        sender._block = b'z'
        client = _Client(port)
        client.run()
    assert isinstance(client.outcome, Err)
    assert client.outcome.err_value.is_too_large
    assert sender.sent < MAX_BODY
