"""The UDP socket for membership and revision messages."""

from __future__ import annotations

from socket import AF_INET, SO_RCVBUF, SOCK_DGRAM, SOL_SOCKET, socket
from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.messages import MessageError, decode, encode
from bluebellsill.streams import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.messages import Message
    from bluebellsill.reactor import Reactor
    from bluebellsill.swim import Datagram

__all__ = ('Gossip',)

_MAX_DATAGRAM = 65507  # bytes, the largest UDP payload over IPv4
_RECEIVE_BUFFER = 1048576  # bytes


class Gossip:
    """Sends and receives the datagrams between nodes."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
    ) -> None:
        """Bind the socket; set ``on_message`` before datagrams arrive.

        Raises:
            OSError: The address cannot be bound.
        """
        self.bytes_sent = 0
        self.bytes_received = 0
        self.on_message: Callable[[Message], None] | None = None
        self._log = get_logger('gossip')
        self._socket = socket(AF_INET, SOCK_DGRAM)
        self._socket.setsockopt(SOL_SOCKET, SO_RCVBUF, _RECEIVE_BUFFER)
        self._socket.bind(address)
        self._socket.setblocking(False)
        self._reactor = reactor
        reactor.add(self)

    def fileno(self) -> int:
        """Return the socket's file descriptor."""
        return self._socket.fileno()

    def send_all(self, datagrams: list[Datagram]) -> None:
        """Send datagrams without retransmission.

        Later datagrams repeat what a lost one carried.
        """
        for datagram in datagrams:
            self.send(datagram.address, datagram.message)

    def send(self, address: str, message: Message) -> None:
        """Send one datagram."""
        payload = encode(message)
        try:
            self._socket.sendto(payload, Address.parse(address))
        except (OSError, ValueError) as error:
            self._log.debug('datagram not sent', to=address, reason=str(error))
            return
        self.bytes_sent += len(payload)

    def on_readable(self) -> None:
        """Receive and handle all datagrams in the socket buffer."""
        while True:
            try:
                payload = self._socket.recv(_MAX_DATAGRAM)
            except BlockingIOError:
                return
            except OSError:
                # An ICMP error for an earlier datagram. The failure detector
                # handles unreachable peers.
                continue
            self.bytes_received += len(payload)
            self._handle(payload)

    def on_writable(self) -> None:
        """Do nothing, as datagrams are not queued for sending."""

    def close(self) -> None:
        """Close the socket."""
        self._reactor.remove(self)
        self._socket.close()

    def _handle(self, payload: bytes) -> None:
        try:
            message = decode(payload)
        except MessageError as error:
            self._log.warning('invalid datagram ignored', reason=str(error))
            return
        if self.on_message is not None:
            self.on_message(message)
