"""Clients that send what a careful client never sends."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from threading import Thread
from time import monotonic

__all__ = ('crowd', 'idle_crowd')

_SEND_TIMEOUT = 3.0  # seconds without progress after which a client stops
_SEND_SECONDS = 8.0  # after which a client stops in any case
_PIECE = 65536  # bytes of one call of ``send``
_RECEIVE_BUFFER = 4096  # bytes, so that unread responses stay at the node
_JOIN_TIMEOUT = 60.0  # seconds


@contextmanager
def crowd(address: str, count: int, payload: bytes) -> Iterator[None]:
    """Let clients send a payload and then stay connected.

    None of them reads. The block starts when each has sent all of it, was
    disconnected, or has sent for long enough.
    """
    with idle_crowd(address, count) as sockets:
        threads = [Thread(target=_send, args=(one, payload)) for one in sockets]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(_JOIN_TIMEOUT)
        yield


@contextmanager
def idle_crowd(address: str, count: int) -> Iterator[list[socket.socket]]:
    """Connect clients that send nothing."""
    host, _, port = address.partition(':')
    with ExitStack() as stack:
        sockets = []
        for _ in range(count):
            one = stack.enter_context(socket.socket())
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
            one.settimeout(_SEND_TIMEOUT)
            one.connect((host, int(port)))
            sockets.append(one)
        yield sockets


def _send(client: socket.socket, payload: bytes) -> None:
    rest = memoryview(payload)
    ends_at = monotonic() + _SEND_SECONDS
    while rest and monotonic() < ends_at:
        try:
            sent = client.send(rest[:_PIECE])
        except OSError:
            # Disconnected, or the node has stopped reading.
            return
        rest = rest[sent:]
