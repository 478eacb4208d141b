"""Non-blocking TCP connections and listeners."""

from __future__ import annotations

from errno import EINPROGRESS
from fcntl import ioctl
from socket import (
    AF_INET,
    IPPROTO_TCP,
    MSG_PEEK,
    SO_ERROR,
    SO_REUSEADDR,
    SOCK_STREAM,
    SOL_SOCKET,
    TCP_NODELAY,
    socket,
)
from struct import Struct
from termios import TIOCOUTQ
from typing import TYPE_CHECKING, NamedTuple, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor

__all__ = ('Address', 'Listener', 'Stream', 'StreamOwner')

_READ_SIZE = 262144  # bytes
# All streams are read one after the other, into the same buffer: to allocate one
# for each read, and to shrink it to what was read, costs more than to copy that.
_buffer = memoryview(bytearray(_READ_SIZE))
_BACKLOG = 512  # connections that the kernel queues until they are accepted
_MAX_PORT = 65535
_INT = Struct('i')  # the result of ``TIOCOUTQ``


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
        is_number = port.isascii() and port.isdecimal()
        if not separator or not host or not is_number:
            raise ValueError(
                f'{text!r} is not an address of the form host:port'
            )
        if int(port) > _MAX_PORT:
            raise ValueError(f'port {port} in {text!r} exceeds {_MAX_PORT}')
        return cls(host, int(port))

    def __str__(self) -> str:
        """Return ``host:port``."""
        return f'{self.host}:{self.port}'


class StreamOwner(Protocol):
    """Callbacks that a stream invokes on its owner."""

    def on_connected(self) -> None:
        """The connection is established."""

    def on_bytes(self, chunk: bytes) -> None:
        """Bytes were received."""

    def on_lost(self, reason: str) -> None:
        """The connection was lost; not called after ``Stream.close``."""


class Stream:
    """A non-blocking TCP connection that reports to one owner.

    Attributes:
        on_drained: Called when all queued bytes are written.
        read_size: Maximum bytes of one read.
    """

    def __init__(self, reactor: Reactor, sock: socket) -> None:
        """Wrap a connected socket; ``owner`` is set before bytes arrive."""
        self.owner: StreamOwner | None = None
        self.is_connected = True
        self.is_closed = False
        self.received_eof = False
        self.on_drained: Callable[[], None] | None = None
        self.read_size = _READ_SIZE
        self._is_paused = False
        self._closes_when_sent = False
        self._reactor = reactor
        self._socket = sock
        self._unsent = bytearray()
        self._queued_bytes = 0
        sock.setblocking(False)
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)

    @classmethod
    def connect(
        cls,
        reactor: Reactor,
        address: Address,
        owner: StreamOwner,
    ) -> Stream:
        """Start to connect; the owner is notified of the outcome later."""
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
        """Set the owner of an accepted connection and start to read."""
        self.owner = owner
        self._reactor.add(self)

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        return self._socket.fileno()

    def send(self, payload: bytes) -> None:
        """Write what the socket accepts immediately and queue the remainder."""
        if self.is_closed:
            return
        self._queued_bytes += len(payload)
        if self._unsent or not self.is_connected:
            self._unsent += payload
            return
        try:
            sent = self._socket.send(payload)
        except BlockingIOError:
            sent = 0
        except OSError as error:
            # Nothing was written: the owner may still ask how much was not.
            self._unsent += payload
            self._schedule_loss(str(error))
            return
        if sent < len(payload):
            self._unsent += payload[sent:]
            self._update_polling()

    @property
    def queued_bytes(self) -> int:
        """The number of bytes that were passed to ``send`` so far."""
        return self._queued_bytes

    @property
    def unsent_bytes(self) -> int:
        """The number of queued bytes."""
        return len(self._unsent)

    @property
    def delivered_bytes(self) -> int:
        """The number of bytes that the other host has acknowledged."""
        if self.is_closed:
            return 0
        buffer = ioctl(self._socket, TIOCOUTQ, bytes(_INT.size))
        unacknowledged = int(_INT.unpack(buffer)[0])
        return self._queued_bytes - len(self._unsent) - unacknowledged

    def has_input(self) -> bool:
        """Whether bytes, or the end of the connection, wait to be read."""
        try:
            self._socket.recv(1, MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # The connection has failed; the next use reports why.
            return True
        return True

    def close(self) -> None:
        """Close without notifying the owner; idempotent."""
        if self.is_closed:
            return
        self.is_closed = True
        self._reactor.remove(self)
        self._socket.close()

    def close_when_sent(self) -> None:
        """Close after writing queued bytes, without notifying the owner."""
        if self._unsent:
            self._closes_when_sent = True
        else:
            self.close()

    def lose(self, reason: str) -> None:
        """Close and notify the owner."""
        if self.is_closed:
            return
        self.close()
        if self.owner is not None:
            self.owner.on_lost(reason)

    def pause_reading(self) -> None:
        """Leave received bytes in the kernel, so that the sender must wait.

        If the other side closes the connection meanwhile, it is lost.
        """
        if not self._is_paused and not self.is_closed:
            self._is_paused = True
            self._update_polling()

    def resume_reading(self) -> None:
        """Read again after ``pause_reading``."""
        if self._is_paused and not self.is_closed:
            self._is_paused = False
            self._update_polling()

    def on_readable(self) -> None:
        """Read available bytes and pass them to the owner."""
        if self._is_paused:
            self.lose('closed by the other side')
            return
        try:
            size = self._socket.recv_into(_buffer, self.read_size)
        except BlockingIOError:
            return
        except OSError as error:
            self.lose(str(error))
            return
        if not size:
            self.received_eof = True
            self.lose('closed by the other side')
        elif self.owner is not None:
            self.owner.on_bytes(bytes(_buffer[:size]))

    def on_writable(self) -> None:
        """Finish connecting, then write queued bytes."""
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
            return
        self._update_polling()
        if self.on_drained is not None:
            self.on_drained()

    def _update_polling(self) -> None:
        self._reactor.want_write(
            self, writable=bool(self._unsent), readable=not self._is_paused
        )

    def _finish_connect(self) -> bool:
        code = self._socket.getsockopt(SOL_SOCKET, SO_ERROR)
        if code:
            self.lose(f'connect failed with errno {code}')
            return False
        self.is_connected = True
        if self.owner is not None:
            self.owner.on_connected()
        return not self.is_closed

    def _schedule_loss(self, reason: str) -> None:
        # ``send`` was called by the owner, which must not be called back before
        # that call returns.
        self._reactor.timers.after(0, lambda: self.lose(reason))


class Listener:
    """Accepts TCP connections."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_accepted: Callable[[Stream], None],
    ) -> None:
        """Bind and listen; port 0 selects a free port.

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
        """Accept every pending connection."""
        while True:
            try:
                sock, _ = self._socket.accept()
            except OSError:
                return
            self._on_accepted(Stream(self._reactor, sock))

    def on_writable(self) -> None:
        """Do nothing: a listener never writes."""

    def close(self) -> None:
        """Accept the pending connections, then stop listening."""
        if self._socket.fileno() >= 0:
            self.on_readable()
            self._reactor.remove(self)
            self._socket.close()
