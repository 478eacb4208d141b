"""A pool of HTTP/1.1 connections to one server."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpResponseParser
from result import Err, Ok, Result

from bluebellsill.http import MAX_BODY, Headers, Request, Response
from bluebellsill.idle_limit import IdleLimit
from bluebellsill.streams import Address, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor
    from bluebellsill.timers import Timer

__all__ = ('AnswerRules', 'Exchange', 'HttpFailure', 'HttpPool')

_IDLE_LIFETIME = 10  # seconds; below the usual idle timeout of servers
_IDLE_SHARE = 0.7  # of the idle timeout that a server states
_BODYLESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


@dataclass(frozen=True, slots=True)
class AnswerRules:
    """What a client asks of answers beside being whole.

    Attributes:
        id_header: A header that answers echo from their request, empty
            for none; an answer with another value is not for the request.
        may_lack_length: Whether an answer may end with its connection.
    """

    id_header: str = ''
    may_lack_length: bool = False


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Why a request has no whole answer.

    Attributes:
        reason: What happened, for a person.
        is_sent: Whether the server may have received the request.
        is_timeout: Whether the deadline passed.
    """

    reason: str
    is_sent: bool
    is_timeout: bool = False


class Exchange:
    """One request and the wait for its answer."""

    __slots__ = ('connection', 'is_head', 'on_done', 'request_id', 'timer')

    def __init__(
        self,
        on_done: Callable[[Result[Response, HttpFailure]], None],
        *,
        is_head: bool,
        request_id: str = '',
    ) -> None:
        """Create an exchange that reports its end once."""
        self.request_id = request_id
        self.on_done: Callable[..., None] | None = on_done
        self.connection: _ClientConnection | None = None
        self.timer: Timer | None = None
        self.is_head = is_head

    def finish(self, outcome: Result[Response, HttpFailure]) -> None:
        """Report the end; a second end is ignored."""
        on_done = self.on_done
        if self.timer is not None:
            self.timer.cancel()
        if on_done is not None:
            self.on_done = None
            on_done(outcome)

    def cancel(self) -> None:
        """Stop waiting and tell the server by closing the connection."""
        if self.on_done is None:
            return
        self.on_done = None
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.stream.close()
            self.connection.forget()


_NO_RULES = AnswerRules()


class HttpPool:
    """Sends requests to one server over kept connections."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        rules: AnswerRules = _NO_RULES,
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
        fresh: bool = False,
    ) -> Exchange:
        """Send a request.

        Args:
            request: The whole request.
            timeout: Seconds until the exchange fails.
            on_done: Called once with the whole answer or a failure.
            fresh: Whether to use a new connection.

        Returns:
            The exchange, to cancel it.
        """
        id_header = self.rules.id_header
        exchange = Exchange(
            on_done,
            is_head=request.method == 'HEAD',
            request_id=request.header(id_header) if id_header else '',
        )
        connection = None if fresh else self._take_idle()
        if connection is None:
            connection = _ClientConnection(self)
            self._open.add(connection)
            self.opened += 1
        exchange.connection = connection
        exchange.timer = self.reactor.timers.after(
            timeout,
            lambda: self._on_timeout(exchange, timeout),
        )
        connection.start(exchange, request)
        return exchange

    def close(self) -> None:
        """Close every connection; exchanges in flight fail."""
        for connection in tuple(self._open):
            connection.stream.lose('pool closed')

    def release(self, connection: _ClientConnection) -> None:
        """Keep a connection for the next request."""
        connection.idle_since = self.reactor.timers.clock.now()
        self._idle.append(connection)

    def forget(self, connection: _ClientConnection) -> None:
        """Forget a connection that has ended."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def _take_idle(self) -> _ClientConnection | None:
        now = self.reactor.timers.clock.now()
        longest = self.idle_limit.max_idle_seconds(now)
        while self._idle:
            # The most recently used is the least likely to have gone silent.
            connection = self._idle.pop()
            rest = now - connection.idle_since
            is_trusted = longest is None or rest <= longest
            if is_trusted and rest <= connection.idle_lifetime:
                connection.rest = rest
                return connection
            connection.stream.close()
            self._open.discard(connection)
        return None

    def _on_timeout(self, exchange: Exchange, timeout: float) -> None:
        connection = exchange.connection
        is_sent = connection is not None and connection.stream.is_connected
        if connection is not None:
            connection.stream.close()
            connection.forget()
        reason = f'no whole answer within {timeout:.3f} s'
        failure = HttpFailure(reason, is_sent=is_sent, is_timeout=True)
        exchange.finish(Err(failure))


class _ClientConnection:
    """One connection: one request at a time."""

    def __init__(self, pool: HttpPool) -> None:
        self.idle_since: float = 0
        # Seconds without use before the exchange in flight, None for the
        # first one; bytes of an answer show that the rest was no harm.
        self.rest: float | None = None
        self.idle_lifetime: float = _IDLE_LIFETIME
        self._is_tainted = False
        self._pool = pool
        self._exchange: Exchange | None = None
        self._reset()
        self.stream = Stream.connect(pool.reactor, pool.address, self)

    def start(self, exchange: Exchange, request: Request) -> None:
        """Send a request."""
        self._exchange = exchange
        self._reset()
        self.stream.send(request.encode())

    def forget(self) -> None:
        """Leave the pool."""
        self._pool.forget(self)

    def on_connected(self) -> None:
        """Do nothing: what was queued is sent by the stream."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a piece of the answer."""
        self.rest = None
        try:
            self._parser.feed_data(chunk)
        except HttpParserError as error:
            self.stream.lose(f'malformed answer: {error}')

    def on_lost(self, reason: str) -> None:
        """End the exchange in flight, which fails unless its answer is whole."""
        self.forget()
        exchange = self._exchange
        if exchange is not None and self.rest is not None:
            now = self._pool.reactor.timers.clock.now()
            self._pool.idle_limit.on_lost(self.rest, now)
        if self._ends_with_connection and self.stream.is_ended:
            response = self._response()
            if exchange is not None and self._is_for(exchange, response):
                self._exchange = None
                exchange.finish(Ok(response))
                return
        self._exchange = None
        if exchange is not None:
            is_sent = self.stream.is_connected
            exchange.finish(Err(HttpFailure(reason, is_sent=is_sent)))

    # The parser calls these.

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        lower = name.decode('latin-1').lower()
        self._has_length |= lower in {'content-length', 'transfer-encoding'}
        self._headers.append((lower, text.decode('latin-1')))

    def on_headers_complete(self) -> None:
        """Refuse bodies whose end nobody can tell."""
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            return
        exchange = self._exchange
        is_bodyless = status in _BODYLESS or (exchange and exchange.is_head)
        if not self._has_length and not is_bodyless:
            if self._pool.rules.may_lack_length:
                self._ends_with_connection = True
            else:
                self._fail_soon('answer has no length')
        elif exchange is not None and exchange.is_head:
            self._complete()

    def on_body(self, chunk: bytes) -> None:
        """Collect a piece of the body."""
        self._body += chunk
        if len(self._body) > MAX_BODY:
            self._fail_soon(f'answer body is above {MAX_BODY} bytes')

    def on_message_complete(self) -> None:
        """Report the whole answer."""
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            self._clear()
        else:
            self._complete()

    def _complete(self) -> None:
        exchange = self._exchange
        self._exchange = None
        if exchange is None:
            # Nobody asked for this answer: never hand it to anybody.
            self._fail_soon('unexpected answer')
            return
        response = self._response()
        if not self._is_for(exchange, response):
            # The late answer to an earlier request; its own is still to come.
            self._is_tainted = True
            self._exchange = exchange
            self._clear()
            return
        keep_alive = self._parser.should_keep_alive()
        if keep_alive and not exchange.is_head and not self._is_tainted:
            self.idle_lifetime = _idle_lifetime(response)
            self._pool.release(self)
        else:
            self.stream.close()
            self.forget()
        exchange.finish(Ok(response))

    def _is_for(self, exchange: Exchange, response: Response) -> bool:
        if not exchange.request_id:
            return True
        found = response.header(self._pool.rules.id_header)
        if not found and response.status >= HTTPStatus.BAD_REQUEST:
            # A refusal may come from a place that has not read the id.
            return True
        return found == exchange.request_id

    def _response(self) -> Response:
        return Response(
            self._parser.get_status_code(),
            self._headers,
            bytes(self._body),
        )

    def _fail_soon(self, reason: str) -> None:
        self._pool.reactor.timers.after(0, lambda: self.stream.lose(reason))

    def _reset(self) -> None:
        # A new parser each time: nothing of an old answer can leak.
        self._parser = HttpResponseParser(self)
        self._clear()

    def _clear(self) -> None:
        self._headers: Headers = []
        self._body = bytearray()
        self._has_length = False
        self._ends_with_connection = False


def _idle_lifetime(response: Response) -> float:
    """Return how long a connection is kept, by what the server states."""
    for part in response.header('keep-alive').split(','):
        name, _, seconds = part.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdecimal():
            return min(_IDLE_LIFETIME, _IDLE_SHARE * int(seconds))
    return _IDLE_LIFETIME
