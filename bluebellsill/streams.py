"""Non-blocking TCP connections and listeners."""

from __future__ import annotations

from errno import EINPROGRESS
from socket import (
    AF_INET,
    IPPROTO_TCP,
    SO_ERROR,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor

__all__ = ('Address', 'Listener', 'Stream', 'StreamOwner')

_READ_SIZE = 262144  # bytes
_BACKLOG = 512
_MAX_PORT = 65535


class Address(NamedTuple):
    """An IPv4 address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse ``host:port``.

        Args:
            text: The address, for example ``10.0.0.7:7000``.

        Returns:
            The address.

        Raises:
            ValueError: The text is not a host and a port.
        """
        host, separator, port = text.rpartition(':')
        if not separator or not host or not port.isdecimal():
            raise ValueError(f'{text!r} is not an address like 10.0.0.7:7000')
        if int(port) > _MAX_PORT:
            raise ValueError(f'port {port} of {text!r} is above {_MAX_PORT}')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class StreamOwner(Protocol):
    """What a stream tells its owner."""

    def on_connected(self) -> None:
        """The connection is established."""

    def on_bytes(self, chunk: bytes) -> None:
        """Bytes have arrived."""

    def on_lost(self, reason: str) -> None:
        """The connection has ended, but not by ``close``."""


class Stream:
    """One TCP connection, owned by one task."""

    def __init__(self, reactor: Reactor, sock: socket) -> None:
        """Wrap a connected socket; set ``owner`` before any bytes arrive."""
        self.owner: StreamOwner | None = None
        self.is_connected = True
        self.is_closed = False
        self.is_ended = False
        self._closes_when_sent = False
        self._reactor = reactor
        self._socket = sock
        self._unsent = bytearray()
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    @classmethod
    def connect(
        cls,
        reactor: Reactor,
        address: Address,
        owner: StreamOwner,
    ) -> Stream:
        """Start to connect; the owner hears of success or loss later."""
        sock = socket(AF_INET, SOCK_STREAM)
        stream = cls(reactor, sock)
        stream.owner = owner
        stream.is_connected = False
        code = sock.connect_ex(address)
        if code not in {0, EINPROGRESS}:
            reactor.timers.after(0, lambda: stream.lose('connect failed'))
            return stream
        reactor.add(stream, writable=True)
        return stream

    def start(self, owner: StreamOwner) -> None:
        """Hand an accepted connection to its owner."""
        self.owner = owner
        self._reactor.add(self)

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        return self._socket.fileno()

    def send(self, payload: bytes) -> None:
        """Write at once as far as the socket takes it, queue the rest."""
        if self.is_closed:
            return
        if self._unsent or not self.is_connected:
            self._unsent += payload
            return
        try:
            sent = self._socket.send(payload)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            self._lose_soon(str(error))
            return
        if sent < len(payload):
            self._unsent += payload[sent:]
            self._reactor.want_write(self, writable=True)

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes that the socket has not taken yet."""
        return len(self._unsent)

    def close(self) -> None:
        """Close without telling the owner; closing twice does no harm."""
        if self.is_closed:
            return
        self.is_closed = True
        self._reactor.remove(self)
        self._socket.close()

    def close_when_sent(self) -> None:
        """Close without telling the owner once all is written."""
        if self._unsent:
            self._closes_when_sent = True
        else:
            self.close()

    def lose(self, reason: str) -> None:
        """Close and tell the owner."""
        if self.is_closed:
            return
        self.close()
        if self.owner is not None:
            self.owner.on_lost(reason)

    def on_readable(self) -> None:
        """Pass what has arrived to the owner."""
        try:
            chunk = self._socket.recv(_READ_SIZE)
        except BlockingIOError:
            return
        except OSError as error:
            self.lose(str(error))
            return
        if not chunk:
            self.is_ended = True
            self.lose('closed by the other side')
        elif self.owner is not None:
            self.owner.on_bytes(chunk)

    def on_writable(self) -> None:
        """Finish connecting, then write what is queued."""
        if not self.is_connected and not self._finish_connect():
            return
        try:
            sent = self._socket.send(self._unsent) if self._unsent else 0
        except BlockingIOError:
            return
        except OSError as error:
            self.lose(str(error))
            return
        del self._unsent[:sent]
        if self._unsent:
            return
        if self._closes_when_sent:
            self.close()
        else:
            self._reactor.want_write(self, writable=False)

    def _finish_connect(self) -> bool:
        code = self._socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            self.lose(f'connect failed with errno {code}')
            return False
        self.is_connected = True
        if self.owner is not None:
            self.owner.on_connected()
        return not self.is_closed

    def _lose_soon(self, reason: str) -> None:
        # The owner is in the middle of a call; it hears of it afterwards.
        self._reactor.timers.after(0, lambda: self.lose(reason))


class Listener:
    """Accepts TCP connections."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_accepted: Callable[[Stream], None],
    ) -> None:
        """Bind and listen; port 0 takes a free port.

        Raises:
            OSError: The address cannot be bound.
        """
        self._reactor = reactor
        self._on_accepted = on_accepted
        self._socket = socket(AF_INET, SOCK_STREAM)
        self._socket.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.listen(_BACKLOG)
        self._socket.setblocking(False)
        self.address = Address(*self._socket.getsockname())
        reactor.add(self)

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        return self._socket.fileno()

    def on_readable(self) -> None:
        """Accept every connection that waits."""
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            self._on_accepted(Stream(self._reactor, sock))

    def on_writable(self) -> None:
        """Do nothing: a listener never writes."""

    def close(self) -> None:
        """Accept what waits, then no more."""
        if self._socket.fileno() >= 0:
            self.on_readable()
            self._reactor.remove(self)
            self._socket.close()
