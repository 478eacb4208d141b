"""Connections between nodes, each with many requests in flight."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import count
from typing import TYPE_CHECKING, Any, NamedTuple

from bluebellsill.frames import CompressedFrames, PlainFrames
from bluebellsill.messages import (
    BodyProgress,
    BodyRequest,
    Heartbeat,
    HeartbeatReply,
    Hello,
    Message,
    MessageError,
)
from bluebellsill.streams import Address, Listener, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.frames import Frames
    from bluebellsill.reactor import Reactor

__all__ = ('LinkLost', 'PeerConnection', 'PeerLinks', 'PeerServer')

_CHECK_PERIOD = 0.1  # seconds between checks of the links
_HEARTBEAT_AFTER = 0.2  # seconds without traffic until a heartbeat is sent
_HEARTBEAT_TIMEOUT = 0.5  # seconds to wait for the reply to a heartbeat
_IDLE_LIFETIME = 60  # seconds without a request until a link is closed
# Messages about a request whose reply is still to come.
_INTERIM = (BodyRequest, BodyProgress)


@dataclass(frozen=True, slots=True)
class LinkLost:
    """A connection ended before a request was answered.

    Attributes:
        reason: A description of the failure for logs and error messages.
        is_sent: Whether the peer may have received the request.
    """

    reason: str
    is_sent: bool


class _PendingRequest(NamedTuple):
    """A request in flight.

    Attributes:
        on_reply: Called once with the reply or ``LinkLost``.
        end: The bytes of its connection up to the end of the request.
    """

    on_reply: Callable[[Message | LinkLost], None]
    end: int


class PeerConnection:
    """Sends and receives messages on one stream."""

    def __init__(
        self,
        on_message: Callable[[PeerConnection, Message], None],
        on_end: Callable[[PeerConnection, str], None],
    ) -> None:
        """Create a connection; the caller sets ``stream`` before using it."""
        self.stream: Stream
        self.member_id = ''
        # Each is called with whether a call that has started goes on.
        self.on_cancel_by_id: dict[int, Callable[[bool], None]] = {}
        self.received_bytes = 0
        self._on_message = on_message
        self._on_end = on_end
        self._received = bytearray()
        self._frames: Frames = PlainFrames()

    def send(self, message: Message) -> None:
        """Send one message."""
        self.stream.send(self._frames.encode(message))

    @property
    def sent_bytes(self) -> int:
        """The number of bytes that the peer may have received."""
        if not self.stream.is_connected:
            return 0
        return self.stream.queued_bytes - self.stream.unsent_bytes

    def compress(self) -> None:
        """Compress the following messages in both directions."""
        self._frames = CompressedFrames()

    def on_connected(self) -> None:
        """Do nothing: the stream sends what was queued."""

    def on_bytes(self, chunk: bytes) -> None:
        """Handle every complete message received so far."""
        self._received += chunk
        self.received_bytes += len(chunk)
        try:
            self._handle_received()
        except MessageError as error:
            self.stream.lose(str(error))

    def on_lost(self, reason: str) -> None:
        """Report the end of the connection."""
        self._on_end(self, reason)

    def _handle_received(self) -> None:
        # A message may change the framing of the next one.
        while not self.stream.is_closed:
            message = self._frames.decode_next(self._received)
            if message is None:
                return
            self._on_message(self, message)


class PeerServer:
    """Accepts connections of other nodes and dispatches their messages.

    Attributes:
        hello: Returns the answer to a ``Hello`` whose sender transfers
            bodies; None if this node does not.
    """

    def __init__(self, reactor: Reactor, address: Address) -> None:
        """Bind and listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self._handlers_by_type: dict[
            type,
            Callable[[PeerConnection, Any], None],
        ] = {}
        self.hello: Callable[[], Hello] | None = None
        self._connections: set[PeerConnection] = set()
        self._listener = Listener(reactor, address, self._on_accepted)
        self.address = self._listener.address

    def on(
        self,
        message_type: type,
        handle: Callable[[PeerConnection, Any], None],
    ) -> None:
        """Register the handler for messages of one type."""
        self._handlers_by_type[message_type] = handle

    def close(self) -> None:
        """Close the listener and every connection."""
        self._listener.close()
        for connection in tuple(self._connections):
            connection.stream.lose('server closed')

    def _on_accepted(self, stream: Stream) -> None:
        connection = PeerConnection(self._on_message, self._on_end)
        connection.stream = stream
        self._connections.add(connection)
        stream.start(connection)

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        if isinstance(message, Heartbeat):
            connection.send(HeartbeatReply(message.id))
            return
        if isinstance(message, Hello):
            connection.member_id = message.member_id
            if message.compresses:
                connection.compress()
            if message.transfers_bodies and self.hello is not None:
                connection.send(self.hello())
            return
        handle = self._handlers_by_type.get(type(message))
        if handle is None:
            name = type(message).__name__
            raise MessageError(f'{name} message has no handler here')
        handle(connection, message)

    def _on_end(self, connection: PeerConnection, reason: str) -> None:
        self._connections.discard(connection)
        for cancel in tuple(connection.on_cancel_by_id.values()):
            cancel(False)
        connection.on_cancel_by_id.clear()


class _Link:
    """A connection to one peer and the requests in flight on it."""

    def __init__(self, address: Address, links: PeerLinks, now: float) -> None:
        self.last_received_at = now
        self.last_used_at = now
        self.heartbeat_sent_at: float | None = None
        # None until the peer has sent its first message.
        self._transfers_bodies: bool | None = None
        self._on_known: list[Callable[[bool | LinkLost], None]] = []
        self._heartbeat_end = 0  # bytes sent up to the latest heartbeat
        self._seen_progress = (0, 0)
        self.pending: dict[int, _PendingRequest] = {}
        self.connection = PeerConnection(self._on_message, self._on_end)
        self._links = links
        self._address = address
        self.connection.stream = Stream.connect(
            links.reactor,
            address,
            self.connection,
        )

    @property
    def is_awaited(self) -> bool:
        """Whether something that the peer has to send is awaited."""
        return bool(self.pending or self._on_known)

    def check(self, now: float) -> None:
        """Send a heartbeat to a quiet peer, close the link to a silent one.

        A link without requests in flight is closed once it was idle too long.
        """
        if not self.is_awaited:
            if now - self.last_used_at > _IDLE_LIFETIME:
                self.connection.stream.lose('idle')
            return
        if self.heartbeat_sent_at is not None:
            if self._makes_progress():
                self.heartbeat_sent_at = now
            elif now - self.heartbeat_sent_at > _HEARTBEAT_TIMEOUT:
                self.connection.stream.lose('silent')
        elif (
            now - max(self.last_received_at, self.last_used_at)
            > _HEARTBEAT_AFTER
        ):
            self._send_heartbeat(now)

    def learn_support(
        self, on_known: Callable[[bool | LinkLost], None], now: float
    ) -> None:
        """Find out whether the peer transfers bodies.

        A node that does answers the ``Hello`` before anything else, so the
        first message of any other kind shows that the peer does not.
        """
        if self._transfers_bodies is not None:
            on_known(self._transfers_bodies)
            return
        self._on_known.append(on_known)
        if self.heartbeat_sent_at is None:
            self._send_heartbeat(now)

    def _send_heartbeat(self, now: float) -> None:
        self.heartbeat_sent_at = now
        self.connection.send(Heartbeat(0))
        self._heartbeat_end = self.connection.stream.queued_bytes
        self._seen_progress = self._progress()

    def _progress(self) -> tuple[int, int]:
        connection = self.connection
        return connection.received_bytes, connection.stream.delivered_bytes

    def _makes_progress(self) -> bool:
        """Return whether the heartbeat or its reply still waits behind data.

        Bytes delivered ahead of the heartbeat count, but not the heartbeat
        itself: the host of a peer that hangs accepts it, too.
        """
        progress = self._progress()
        has_received = progress[0] > self._seen_progress[0]
        has_delivered = progress[1] > self._seen_progress[1]
        self._seen_progress = progress
        is_queued = progress[1] < self._heartbeat_end
        return has_received or (has_delivered and is_queued)

    def _on_message(self, connection: PeerConnection, message: Message) -> None:
        self.last_received_at = self._links.now()
        self.heartbeat_sent_at = None
        if self._transfers_bodies is None:
            self._report_support(
                isinstance(message, Hello) and message.transfers_bodies
            )
        if isinstance(message, Hello | HeartbeatReply):
            return
        request_id = getattr(message, 'id', 0)
        if isinstance(message, _INTERIM):
            request = self.pending.get(request_id)
        else:
            request = self.pending.pop(request_id, None)
        if request is not None:
            request.on_reply(message)

    def _report_support(self, support: bool | LinkLost) -> None:
        self._transfers_bodies = support is True
        waiting = tuple(self._on_known)
        self._on_known.clear()
        for on_known in waiting:
            on_known(support)

    def _on_end(self, connection: PeerConnection, reason: str) -> None:
        self._links.discard(self._address, self)
        sent_bytes = connection.sent_bytes
        pending = tuple(self.pending.values())
        self.pending.clear()
        for request in pending:
            # The peer handles complete messages only.
            is_sent = request.end <= sent_bytes
            request.on_reply(LinkLost(reason, is_sent=is_sent))
        self._report_support(LinkLost(reason, is_sent=False))


class PeerLinks:
    """Manages one connection to each peer that this node sends to."""

    def __init__(
        self,
        reactor: Reactor,
        hello: Callable[[str], Hello],
        on_silent: Callable[[str], None],
    ) -> None:
        """Create links that are opened on first use.

        Args:
            reactor: Polls the sockets.
            hello: Returns the first message to send to a peer.
            on_silent: Called with the id of a peer whose connection was lost
                with requests in flight.
        """
        self.reactor = reactor
        self._hello = hello
        self._on_silent = on_silent
        self._ids = count(1)
        self._links_by_address: dict[Address, _Link] = {}
        reactor.timers.every(_CHECK_PERIOD, self._check)

    def __len__(self) -> int:
        """Return the number of open links."""
        return len(self._links_by_address)

    def now(self) -> float:
        """Return the time in seconds."""
        return self.reactor.timers.clock.now()

    def next_id(self) -> int:
        """Return a new request id."""
        return next(self._ids)

    def request(
        self,
        peer: str,
        message: Any,
        on_reply: Callable[[Any], None],
    ) -> None:
        """Send a request whose ``id`` comes from ``next_id``.

        Args:
            peer: The peer's address.
            message: The request.
            on_reply: Called once with the reply or ``LinkLost``.
        """
        link = self._link(peer)
        link.connection.send(message)
        end = link.connection.stream.queued_bytes
        link.pending[message.id] = _PendingRequest(on_reply, end)

    def learn_support(
        self,
        peer: str,
        on_known: Callable[[bool | LinkLost], None],
    ) -> None:
        """Find out whether a peer transfers bodies.

        Args:
            peer: The peer's address.
            on_known: Called once, now or later, with the finding, or with
                ``LinkLost`` if the connection ends before.
        """
        self._link(peer).learn_support(on_known, self.now())

    def send(self, peer: str, message: Message) -> None:
        """Send a message that has no reply."""
        self._link(peer).connection.send(message)

    def forget(self, peer: str, request_id: int) -> None:
        """Ignore the reply to a request."""
        link = self._links_by_address.get(Address.parse(peer))
        if link is not None:
            link.pending.pop(request_id, None)

    def abort_connecting(self, peer: str) -> None:
        """Give up a link that is not established yet.

        Nothing that was queued on it is sent later, and the requests on it end
        with a ``LinkLost`` that says so.
        """
        link = self._links_by_address.get(Address.parse(peer))
        if link is not None and not link.connection.stream.is_connected:
            link.connection.stream.lose('not connected in time')

    def discard(self, address: Address, link: _Link) -> None:
        """Remove a link that has ended."""
        if self._links_by_address.get(address) is link:
            del self._links_by_address[address]
        if link.is_awaited:
            self._on_silent(str(address))

    def close(self) -> None:
        """Close every link."""
        for link in tuple(self._links_by_address.values()):
            link.connection.stream.lose('closed')

    def _link(self, peer: str) -> _Link:
        address = Address.parse(peer)
        now = self.now()
        link = self._links_by_address.get(address)
        if link is None or link.connection.stream.is_closed:
            link = _Link(address, self, now)
            self._links_by_address[address] = link
            hello = self._hello(peer)
            link.connection.send(hello)
            if hello.compresses:
                link.connection.compress()
        link.last_used_at = now
        return link

    def _check(self) -> None:
        now = self.now()
        for link in tuple(self._links_by_address.values()):
            link.check(now)
