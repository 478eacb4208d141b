"""A pool of HTTP/1.1 connections to one server."""

from __future__ import annotations

from collections import deque
from http import HTTPStatus
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from result import Err, Ok, Result

from bluebellsill.decoding import parse_whole_number
from bluebellsill.http import (
    MAX_BODY,
    Headers,
    Request,
    Response,
    is_final_status,
)
from bluebellsill.http_exchange import Exchange, HttpFailure, ResponseRules
from bluebellsill.idle_limit import IdleLimit
from bluebellsill.response_limit import ResponseLimit
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
_BODYLESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
# The parser reads a body after the heads of interim responses above this one
# if they state a length, and would take the final response for it.
_LAST_BODILESS_INTERIM = HTTPStatus.EARLY_HINTS
_NO_RULES = ResponseRules()


class _StatusError(ValueError):
    """A response has a status that no valid response has there."""


class HttpPool:
    """Sends requests to one server over persistent connections."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        rules: ResponseRules = _NO_RULES,
    ) -> None:
        """Create a pool without connections."""
        self.address = address
        self.rules = rules
        self.opened = 0
        self.reactor = reactor
        self.idle_limit = IdleLimit()
        self._idle: list[_ClientConnection] = []
        self._open: set[_ClientConnection] = set()

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
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def discard_idle(self) -> None:
        """Close the idle connections, since the network may have lost them."""
        while self._idle:
            connection = self._idle.pop()
            connection.stream.close()
            self._open.discard(connection)

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
        return is_within_limit and idle_seconds <= connection.idle_lifetime

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
        self._got_stale_response = False
        self._is_too_large = False
        self._pool = pool
        self._request_size = 0  # bytes
        self._exchange: Exchange | None = None
        self._reset()
        # The parser of the bytes that are being read.
        self._fed_parser = self._parser
        self.stream = Stream.connect(pool.reactor, pool.address, self)

    def start(self, exchange: Exchange, request: Request) -> None:
        """Send a request."""
        self._exchange = exchange
        self._reset()
        encoded = request.encode()
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

    def on_connected(self) -> None:
        """Do nothing: the stream sends what was queued."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a part of the response."""
        self.idle_seconds = None
        exchange = self._exchange
        if exchange is None:
            self.stream.lose('bytes without a request in flight')
            return
        exchange.received_at = self._pool.reactor.timers.clock.now()
        self._has_body_part = False
        self._fed_parser = self._parser
        try:
            self._fed_parser.feed_data(chunk)
        except HttpParserError as error:
            # The parser wraps the errors of callbacks.
            cause = error.__context__ or error
            self.stream.lose(f'malformed response: {cause}')
            return
        except HttpParserUpgrade:
            self.stream.lose('response switches to another protocol')
            return
        if self._exchange is not exchange:
            # The response is complete; the next request has a new limit.
            return
        excess = self._limit.excess(len(chunk), has_body=self._has_body_part)
        if excess:
            self.stream.lose(f'response without end: {excess}')

    def on_lost(self, reason: str) -> None:
        """Finish the exchange in flight with a failure.

        If the end of the connection marks the end of the response, the
        exchange succeeds instead.
        """
        self.forget()
        exchange = self._exchange
        if exchange is not None and self.idle_seconds is not None:
            now = self._pool.reactor.timers.clock.now()
            self._pool.idle_limit.on_lost(self.idle_seconds, now)
        if self._ends_with_connection and self.stream.received_eof:
            response = self._response()
            if exchange is not None and self._matches(exchange, response):
                self._exchange = None
                exchange.finish(Ok(response))
                return
        self._exchange = None
        if exchange is not None:
            is_sent = self.is_sent
            failure = HttpFailure(
                reason, is_sent=is_sent, is_too_large=self._is_too_large
            )
            exchange.finish(Err(failure))

    # Callbacks of the HTTP parser.

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        lower = name.decode('latin-1').lower()
        if lower == 'content-length':
            self._length = parse_whole_number(text.decode('latin-1')) or 0
        self._has_length |= lower in {'content-length', 'transfer-encoding'}
        self._headers.append((lower, text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Reject an invalid status, or a body of unknown length."""
        if self._fed_parser is not self._parser:
            # Bytes behind a complete response whose callback has sent the next
            # request; the new parser has no status yet.
            return
        status = self._parser.get_status_code()
        if is_final_status(status):
            self._on_final_head(status)
        else:
            self._check_interim(status)

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._has_body_part = True
        self._body += chunk
        self._check_size(len(self._body))

    def on_message_complete(self) -> None:
        """Report the complete response; skip one with a 1xx status."""
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            self._clear()
        else:
            self._complete()

    def _on_final_head(self, status: int) -> None:
        exchange = self._exchange
        is_bodyless = status in _BODYLESS or (exchange and exchange.is_head)
        if not is_bodyless:
            self._check_size(self._length)
        if not self._has_length and not is_bodyless:
            if self._pool.rules.allows_body_until_close:
                self._ends_with_connection = True
            else:
                self._schedule_failure(
                    'response has neither content-length nor transfer-encoding'
                )
        elif exchange is not None and exchange.is_head:
            self._complete()

    def _complete(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is None:
            # No request is in flight: the response must not be delivered as the
            # response to a later one.
            self._schedule_failure('response without a request')
            return
        response = self._response()
        if self._is_of_unknown_request(exchange, response):
            self._exchange = exchange
            self._schedule_failure('error without an id on a used connection')
            return
        if not self._matches(exchange, response):
            # A late response to an earlier request; the response to this one
            # is still to come.
            self._got_stale_response = True
            self._exchange = exchange
            self._clear()
            return
        self.answered_ids.append(exchange.request_id)
        keep_alive = self._parser.should_keep_alive()
        if keep_alive and not exchange.is_head and not self._got_stale_response:
            self.idle_lifetime = _idle_lifetime(response)
            self._pool.release(self)
        else:
            self.stream.close()
            self.forget()
        exchange.finish(Ok(response))

    def _is_of_unknown_request(
        self, exchange: Exchange, response: Response
    ) -> bool:
        """Return whether an error may belong to an earlier request.

        Without an id, it may be one that the server repeats.
        """
        has_id = response.header(self._pool.rules.id_header)
        is_used = bool(self.answered_ids)
        return bool(exchange.request_id) and is_used and not has_id

    def _matches(self, exchange: Exchange, response: Response) -> bool:
        if not exchange.request_id:
            return True
        found = response.header(self._pool.rules.id_header)
        if not found and response.status >= HTTPStatus.BAD_REQUEST:
            # An error may come from an intermediary that does not read the id.
            return True
        return found == exchange.request_id

    def _response(self) -> Response:
        return Response(
            self._parser.get_status_code(),
            self._headers,
            bytes(self._body),
        )

    def _check_interim(self, status: int) -> None:
        if not HTTPStatus.CONTINUE <= status < HTTPStatus.OK:
            raise _StatusError(f'status {status:03}')
        if self._has_length and status > _LAST_BODILESS_INTERIM:
            raise _StatusError(f'interim status {status} with a body')

    def _check_size(self, size: int) -> None:
        if size > MAX_BODY and not self._is_too_large:
            self._is_too_large = True
            self._schedule_failure(f'response body exceeds {MAX_BODY} bytes')

    def _schedule_failure(self, reason: str) -> None:
        self._pool.reactor.timers.after(0, lambda: self.stream.lose(reason))

    def _reset(self) -> None:
        # A new parser for each request, so that no state of an earlier response
        # is carried over.
        self._parser = HttpResponseParser(self)
        self._limit = ResponseLimit()
        self._has_body_part = False
        self._is_too_large = False
        self._clear()

    def _clear(self) -> None:
        self._headers: Headers = []
        self._body = bytearray()
        self._has_length = False
        self._length = 0  # that the head states, in bytes
        self._ends_with_connection = False


def _idle_lifetime(response: Response) -> float:
    """Return the seconds to keep an idle connection, per ``keep-alive``."""
    for part in response.header('keep-alive').split(','):
        name, _, seconds = part.strip().partition('=')
        timeout = parse_whole_number(seconds)
        if name.lower() == 'timeout' and timeout is not None:
            return min(_IDLE_LIFETIME, _KEEP_ALIVE_FRACTION * timeout)
    return _IDLE_LIFETIME
