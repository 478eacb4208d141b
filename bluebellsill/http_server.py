"""An HTTP/1.1 server that passes complete requests to a handler."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.client_input import (
    ClientConnection,
    InputBounds,
    InputBudget,
    InputEvents,
    Reply,
    RequestLimits,
)
from bluebellsill.streams import Address, Listener, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.http import Request
    from bluebellsill.reactor import Reactor

__all__ = ('HttpServer', 'Reply', 'RequestLimits')

_TIMEOUT_CHECK_PERIOD = 0.5  # seconds between checks for timed-out connections
_NO_BOUNDS = InputBounds()


class HttpServer:
    """Serves HTTP/1.1, with responses in the order of the requests.

    Attributes:
        is_closing: Whether connections are closed after their responses.
        limits: The limits on requests.
        timers: Runs callbacks.
        budget: Limits the memory of all connections.
        events: Records refusals and disconnections.
        address: The address of the listener.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_request: Callable[[Request, Reply], None],
        may_overlap: Callable[[Request], bool] | None = None,
        bounds: InputBounds = _NO_BOUNDS,
        events: InputEvents | None = None,
    ) -> None:
        """Bind and listen.

        Args:
            reactor: Polls the sockets.
            address: The address to listen on.
            on_request: Handles a request.
            may_overlap: Returns whether a request may be handled beside others
                of its connection; None if a connection's requests are handled
                one after the other.
            bounds: Bounds on what all connections hold together.
            events: Records refusals and disconnections.

        Raises:
            OSError: The address cannot be bound.
        """
        self._on_request = on_request
        self._may_overlap = may_overlap
        self.is_closing = False
        self.limits = RequestLimits()
        self.timers = reactor.timers
        self.budget = InputBudget(bounds.memory)
        self.events = events or InputEvents()
        self._max_connections = bounds.connections
        self._connections: set[ClientConnection] = set()
        # Those whose last response has not been sent entirely.
        self._ending: set[ClientConnection] = set()
        # Those that do not read until others free memory.
        self._waiting: set[ClientConnection] = set()
        self._listener = Listener(reactor, address, self._on_accepted)
        self.address = self._listener.address
        reactor.timers.every(_TIMEOUT_CHECK_PERIOD, self._check_timeouts)

    def drain(self) -> None:
        """Close idle connections, and the others after their responses.

        The last response of each from now on carries ``connection: close``.
        """
        self.is_closing = True
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Accept no more connections; open ones are still served."""
        self._listener.close()

    def close(self) -> None:
        """Accept no more connections and drain the open ones."""
        self.stop_accepting()
        self.drain()

    @property
    def open_connections(self) -> int:
        """The number of open connections that may still send requests."""
        return len(self._connections)

    # Called by the connections.

    def handle(self, request: Request, reply: Reply) -> None:
        """Pass a request to its handler."""
        self._on_request(request, reply)

    def may_overlap(self, request: Request) -> bool:
        """Return whether a request may be handled beside others."""
        return self._may_overlap is not None and self._may_overlap(request)

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)
        self._ending.discard(connection)
        self._waiting.discard(connection)

    def on_closing(self, connection: ClientConnection) -> None:
        """Note that a connection ends when its last response is sent."""
        self.discard(connection)
        self._ending.add(connection)

    def on_balance(self, connection: ClientConnection, *, waits: bool) -> None:
        """Close connections if memory is short, or let those that wait read.

        Args:
            connection: A connection whose memory has changed.
            waits: Whether it does not read until others free memory.
        """
        if waits:
            self._waiting.add(connection)
        else:
            self._waiting.discard(connection)
        if self.budget.is_exceeded:
            self.budget.relieve()
        if self._waiting and not self.budget.is_tight:
            self._resume_waiting()

    def _resume_waiting(self) -> None:
        waiting = self._waiting
        self._waiting = set()
        for connection in waiting:
            connection.advance()

    def _check_timeouts(self) -> None:
        """Apply the timeouts to every connection."""
        for connection in (*self._connections, *self._ending):
            connection.check()
        # One of them may take the place for a large body.
        self._resume_waiting()

    def _on_accepted(self, stream: Stream) -> None:
        if not self._has_room():
            self.events.closed('connections', 0, 0)
            stream.close()
            return
        connection = ClientConnection(self, stream)
        self._connections.add(connection)
        stream.start(connection)

    def _has_room(self) -> bool:
        """Return whether one more connection may be open.

        Closes one that is idle to make room.
        """
        bound = self._max_connections
        is_open = len(self._connections) + len(self._ending)
        if bound is None or is_open < bound:
            return True
        idle = (one for one in self._connections if one.is_idle)
        oldest = min(idle, key=_rank, default=None)
        if oldest is None:
            return False
        oldest.close_now('connections')
        return True


def _rank(connection: ClientConnection) -> tuple[bool, bool, float]:
    return connection.rank
