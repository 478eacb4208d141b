"""A stream that is not read notices that its other side has gone.

Without that, a client that sent many requests ahead and left would keep its
requests running until their deadlines.
"""

from __future__ import annotations

from collections.abc import Iterator
from socket import SO_LINGER, SOL_SOCKET, create_connection, socket
from struct import pack

import pytest

from bluebellsill.clock import SystemClock
from bluebellsill.reactor import Reactor
from bluebellsill.streams import Address, Listener, Stream
from bluebellsill.timers import TimerService

_WAIT = 2.0  # seconds


class _World:
    """An accepted connection, and the socket of its other side."""

    def __init__(self) -> None:
        self.reactor = Reactor(TimerService(SystemClock()))
        self.streams: list[Stream] = []
        self.received = b''
        self.losses: list[str] = []
        self.listener = Listener(
            self.reactor, Address('127.0.0.1', 0), self.streams.append
        )
        self.client: socket = create_connection(self.listener.address, _WAIT)
        self.poll()
        (self.stream,) = self.streams
        self.stream.start(self)

    def poll(self, wait: float = _WAIT) -> None:
        """Dispatch the events of one poll."""
        for fd, mask in self.reactor._epoll.poll(wait):
            self.reactor._dispatch(fd, mask)

    def on_connected(self) -> None:
        """Do nothing."""

    def on_bytes(self, chunk: bytes) -> None:
        """Record what was received."""
        self.received += chunk

    def on_lost(self, reason: str) -> None:
        """Record the loss."""
        self.losses.append(reason)


@pytest.fixture
def world() -> Iterator[_World]:
    world = _World()
    yield world
    world.client.close()
    world.stream.close()
    world.listener.close()


def test_paused_stream_reads_nothing_until_it_resumes(world: _World) -> None:
    world.stream.pause_reading()
    world.client.sendall(b'text')
    world.poll(0.1)
    assert not world.received
    world.stream.resume_reading()
    world.poll()
    assert world.received == b'text'
    assert not world.losses


def test_data_found_by_the_same_poll_is_not_a_loss(world: _World) -> None:
    # Another stream of the poll may be handled first, and pause this one.
    world.client.sendall(b'text')
    ready = world.reactor._epoll.poll(_WAIT)
    world.stream.pause_reading()
    for fd, mask in ready:
        world.reactor._dispatch(fd, mask)
    assert not world.losses
    assert not world.received


@pytest.mark.parametrize('is_reset', (False, True))
def test_paused_stream_notices_the_end(world: _World, is_reset: bool) -> None:
    world.stream.pause_reading()
    world.client.sendall(b'text')
    if is_reset:
        world.client.setsockopt(SOL_SOCKET, SO_LINGER, pack('ii', 1, 0))
    world.client.close()
    world.poll()
    assert len(world.losses) == 1
    assert world.stream.is_closed


def test_paused_stream_writes(world: _World) -> None:
    world.stream.pause_reading()
    drained: list[bool] = []
    world.stream.on_drained = lambda: drained.append(True)
    size = 8_000_000
    world.stream.send(bytes(size))
    assert world.stream.unsent_bytes
    while size:
        size -= len(world.client.recv(1_000_000))
        world.poll(0)
    assert drained == [True]
    assert not world.losses
