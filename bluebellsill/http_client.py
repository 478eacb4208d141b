"""A pool of HTTP/1.1 connections to one server."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.decoding import parse_whole_number
from bluebellsill.http import Request, Response
from bluebellsill.http_exchange import Exchange, HttpFailure, ResponseRules
from bluebellsill.idle_limit import IdleLimit
from bluebellsill.logs import get_logger
from bluebellsill.response_budget import ResponseBudget
from bluebellsill.response_reader import ResponseReader
from bluebellsill.streams import Address, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor

__all__ = ('HttpPool',)

# Seconds; below the usual idle timeout of servers, so that the client closes
# an idle connection before the server does.
_IDLE_LIFETIME = 10
# Fraction of the idle timeout in the ``keep-alive`` header of a server for
# which an idle connection is reused.
_KEEP_ALIVE_FRACTION = 0.7
# Seconds beyond its timeout that a response may take while bytes arrive.
_MAX_EXTENSION = 30
_MAX_ANSWERED_IDS = 64  # of a connection; more than one call's attempts
_NO_RULES = ResponseRules()


class HttpPool:
    """Sends requests to one server over persistent connections.

    Attributes:
        address: The address of the server.
        rules: How its responses are accepted.
        budget: Limits what incomplete responses take.
        opened: The number of connections opened so far.
        idle_limit: Limits how long idle connections are kept.
        reactor: Polls the sockets.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        rules: ResponseRules = _NO_RULES,
        budget: ResponseBudget | None = None,
    ) -> None:
        """Create a pool without connections.

        Args:
            reactor: Polls the sockets.
            address: The address of the server.
            rules: How its responses are accepted.
            budget: Limits what incomplete responses take; by default that of
                this pool alone.
        """
        self.budget = budget or ResponseBudget()
        self.address = address
        self.rules = rules
        self.opened = 0
        self._unclean = 0
        self.reactor = reactor
        self.idle_limit = IdleLimit()
        self._idle: list[_ClientConnection] = []
        self._open: set[_ClientConnection] = set()
        self._log = get_logger('http')

    @property
    def unclean(self) -> int:
        """The connections closed for bytes that belong to no request."""
        return self._unclean

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._open)

    def request(
        self,
        request: Request,
        timeout: float,
        on_done: Callable[[Result[Response, HttpFailure]], None],
        *,
        use_new_connection: bool = False,
        stall_timeout: float = 0,
    ) -> Exchange:
        """Send a request.

        Args:
            request: The request to send.
            timeout: Seconds until the exchange fails.
            on_done: Called once with the complete response or a failure.
            use_new_connection: Whether to open a connection even if one is
                idle.
            stall_timeout: Seconds without further bytes after which a response
                that has begun fails; until then it may exceed the timeout,
                because a large body takes long on a slow link. 0 for none.

        Returns:
            The exchange, which can be cancelled.
        """
        id_header = self.rules.id_header
        now = self.reactor.timers.clock.now()
        exchange = Exchange(
            on_done,
            ends_by=now + timeout + _MAX_EXTENSION,
            is_head=request.method == 'HEAD',
            request_id=request.header(id_header) if id_header else '',
        )
        connection = (
            None if use_new_connection else self._take_idle(exchange.request_id)
        )
        if connection is None:
            connection = _ClientConnection(self)
            self._open.add(connection)
            self.opened += 1
        exchange.connection = connection
        exchange.timer = self.reactor.timers.after(
            timeout,
            lambda: self._on_timeout(exchange, timeout, stall_timeout),
        )
        connection.start(exchange, request)
        return exchange

    def close(self) -> None:
        """Close every connection; exchanges in flight fail."""
        for connection in tuple(self._open):
            connection.stream.lose('pool closed')

    def release(self, connection: _ClientConnection) -> None:
        """Return a connection to the pool for the next request."""
        connection.idle_since = self.reactor.timers.clock.now()
        self._idle.append(connection)

    def forget(self, connection: _ClientConnection) -> None:
        """Remove a connection that has ended from the pool."""
        self.budget.release(connection)
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def discard_idle(self) -> None:
        """Close the idle connections, since the network may have lost them."""
        while self._idle:
            connection = self._idle.pop()
            connection.stream.close()
            self._open.discard(connection)

    def on_unclean(self, reason: str) -> None:
        """Note that a connection holds bytes that belong to no request."""
        self._unclean += 1
        self._log.info(
            'connection not reused', reason=reason, server=str(self.address)
        )

    def _take_idle(self, request_id: str) -> _ClientConnection | None:
        """Return the best idle connection for a request, if there is one.

        A request that is sent again gets another connection than before, on
        which a repeated response to its first attempt would look like the
        response to this one.
        """
        now = self.reactor.timers.clock.now()
        # The most recently used connection is the least likely to have been
        # dropped by the server or the network without notice.
        for connection in tuple(reversed(self._idle)):
            if request_id and request_id in connection.answered_ids:
                continue
            self._idle.remove(connection)
            if self._is_reusable(connection, now):
                return connection
            connection.stream.close()
            self._open.discard(connection)
        return None

    def _is_reusable(self, connection: _ClientConnection, now: float) -> bool:
        max_idle_seconds = self.idle_limit.max_idle_seconds(now)
        idle_seconds = now - connection.idle_since
        connection.idle_seconds = idle_seconds
        is_within_limit = (
            max_idle_seconds is None or idle_seconds <= max_idle_seconds
        )
        if not is_within_limit or idle_seconds > connection.idle_lifetime:
            return False
        has_input = connection.stream.has_input()
        if has_input:
            self.on_unclean('input on an idle connection')
        return not has_input

    def _on_timeout(
        self, exchange: Exchange, timeout: float, stall_timeout: float
    ) -> None:
        timers = self.reactor.timers
        left = exchange.seconds_to_stall(stall_timeout, timers.clock.now())
        if left > 0:
            exchange.timer = timers.after(
                left,
                lambda: self._on_timeout(exchange, timeout, stall_timeout),
            )
            return
        connection = exchange.connection
        is_sent = connection is not None and connection.is_sent
        if connection is not None:
            connection.stream.close()
            connection.forget()
        reason = f'no complete response within {timeout:.3f} s'
        failure = HttpFailure(reason, is_sent=is_sent, is_timeout=True)
        exchange.finish(Err(failure))


class _ClientConnection:
    """A connection that carries one request at a time."""

    def __init__(self, pool: HttpPool) -> None:
        self.idle_since: float = 0
        # Seconds that the connection was idle before the request in flight;
        # None for the first request, and once bytes of the response show
        # that the connection survived the idle time.
        self.idle_seconds: float | None = None
        self.idle_lifetime: float = _IDLE_LIFETIME
        # The latest requests that were answered on this connection.
        self.answered_ids: deque[str] = deque(maxlen=_MAX_ANSWERED_IDS)
        self._is_first = True  # whether no request was answered here
        self._pool = pool
        self._request_size = 0  # bytes
        self._queued_before = 0  # bytes of earlier requests
        # The request in flight and the only reader of what the server sends
        # meanwhile; both None between requests.
        self._exchange: Exchange | None = None
        self._reader: ResponseReader | None = None
        self.stream = Stream.connect(pool.reactor, pool.address, self)

    def start(self, exchange: Exchange, request: Request) -> None:
        """Send a request."""
        self._exchange = exchange
        self._reader = ResponseReader(
            self._pool.rules,
            exchange.request_id,
            is_head=exchange.is_head,
            is_first=self._is_first,
        )
        encoded = request.encode()
        self._queued_before = self.stream.queued_bytes
        self._request_size = len(encoded)
        self.stream.send(encoded)

    @property
    def is_sent(self) -> bool:
        """Whether the server may have received a part of the request."""
        unsent = self.stream.unsent_bytes
        return self.stream.is_connected and unsent < self._request_size

    def forget(self) -> None:
        """Remove this connection from the pool."""
        self._pool.forget(self)
        self._drop_reader()

    def on_connected(self) -> None:
        """Do nothing: the stream sends what was queued."""

    def on_bytes(self, chunk: bytes) -> None:
        """Pass bytes to the reader of the request in flight.

        Bytes that arrive before a request can have reached the server belong
        to no request, and what follows them cannot be told apart from them.
        """
        self.idle_seconds = None
        exchange = self._exchange
        reader = self._reader
        if exchange is None or reader is None:
            self._lose_unclean('bytes without a request in flight')
            return
        if self._is_before_request(exchange):
            self._lose_unclean('bytes before the server got the request')
            return
        exchange.received_at = self._pool.reactor.timers.clock.now()
        reader.feed(chunk)
        response = reader.response
        if response:
            self._complete(exchange, reader, response)
        elif reader.fault:
            self.stream.lose(reader.fault)
        else:
            self._pool.budget.hold(self, reader.held_bytes)

    def drop_response(self, reason: str) -> None:
        """Fail the request in flight."""
        self.stream.lose(reason)

    def on_lost(self, reason: str) -> None:
        """Finish the exchange in flight with a failure.

        If the end of the connection marks the end of the response, the
        exchange succeeds instead.
        """
        exchange, reader = self._exchange, self._reader
        if exchange is not None and self.idle_seconds is not None:
            now = self._pool.reactor.timers.clock.now()
            self._pool.idle_limit.on_lost(self.idle_seconds, now)
        if exchange is None or reader is None:
            self.forget()
            return
        if reader.ends_with_connection and self.stream.received_eof:
            reader.end()
        outcome: Result[Response, HttpFailure] = Err(
            HttpFailure(
                reader.fault or reason,
                is_sent=self.is_sent,
                is_too_large=reader.is_too_large,
            )
        )
        if reader.response is not None:
            outcome = Ok(reader.response)
        self.forget()
        exchange.finish(outcome)

    def _is_before_request(self, exchange: Exchange) -> bool:
        """Return whether the server cannot have read the request yet.

        An id tells the same more cheaply.
        """
        if not self.is_sent:
            return True
        has_begun = exchange.received_at is not None
        if self._is_first or exchange.request_id or has_begun:
            return False
        return self.stream.delivered_bytes <= self._queued_before

    def _complete(
        self, exchange: Exchange, reader: ResponseReader, response: Response
    ) -> None:
        """Report the response, and decide whether the connection is kept.

        The reader is dropped first: the callback may send the next request on
        this connection, which gets a reader of its own.
        """
        self._is_first = False
        self.answered_ids.append(exchange.request_id)
        if reader.leaves_clean_connection:
            self.idle_lifetime = _idle_lifetime(response)
            self._drop_reader()
            self._pool.release(self)
        else:
            self.stream.close()
            self.forget()
        if reader.has_excess:
            self._pool.on_unclean('bytes behind a response')
        exchange.finish(Ok(response))

    def _drop_reader(self) -> None:
        """Free what was read; bytes that come later have no reader."""
        reader, self._reader = self._reader, None
        self._exchange = None
        if reader is not None:
            reader.close()
            self._pool.budget.release(self)

    def _lose_unclean(self, reason: str) -> None:
        self._pool.on_unclean(reason)
        self.stream.lose(reason)


def _idle_lifetime(response: Response) -> float:
    """Return the seconds to keep an idle connection, per ``keep-alive``."""
    for part in response.header('keep-alive').split(','):
        name, _, seconds = part.strip().partition('=')
        timeout = parse_whole_number(seconds)
        if name.lower() == 'timeout' and timeout is not None:
            return min(_IDLE_LIFETIME, _KEEP_ALIVE_FRACTION * timeout)
    return _IDLE_LIFETIME
