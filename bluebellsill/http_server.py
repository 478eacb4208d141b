"""An HTTP/1.1 server that passes complete requests to a handler."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from msgspec import json

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import (
    MAX_BODY,
    MAX_HEAD,
    Headers,
    Request,
    Response,
    find_header,
    problem_response,
)
from bluebellsill.streams import Address, Listener, Stream
from bluebellsill.upgrade_offer import head_without_offer

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor

__all__ = ('HttpServer', 'Reply', 'RequestLimits')

_TIMEOUT_CHECK_PERIOD = 0.5  # seconds between checks for timed-out connections


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Size limits and timeouts for the requests of clients.

    Attributes:
        max_head: Maximum bytes of a request's start line and headers.
        max_body: Maximum bytes of a request's body.
        head_timeout: Maximum seconds from the first to the last byte of a
            head, None for no limit.
        idle_timeout: Maximum seconds that a connection may be idle between
            requests, None for no limit.
    """

    max_head: int = MAX_HEAD
    max_body: int = MAX_BODY
    head_timeout: float | None = None
    idle_timeout: float | None = None


_NO_LIMITS = RequestLimits()


class Reply:
    """Sends the response to one request."""

    def __init__(self, connection: _ServerConnection, request: Request) -> None:
        """Create the reply to a request that came on a connection."""
        self.on_abandoned: Callable[[], None] | None = None
        self.is_done = False
        self._connection = connection
        self._request = request
        self._is_streaming = False

    def send(self, response: Response) -> None:
        """Send a complete response; later ones are ignored."""
        if self.is_done:
            return
        self.is_done = True
        omits_body = self._request.method == 'HEAD'
        self._connection.finish(response, omits_body=omits_body)

    def send_truncated(self, response: Response) -> None:
        """Send a response without its last byte and close the connection.

        Simulates a server that fails while it responds.
        """
        self.is_done = True
        self._connection.write(response.encode()[:-1])
        self._connection.finish_truncated()

    def send_chunked(self, response: Response) -> None:
        """Send a complete response with chunked transfer encoding."""
        self.is_done = True
        self._connection.finish_chunked(response)

    def start_stream(self) -> None:
        """Start an open-ended response of JSON lines."""
        self._is_streaming = True
        self._connection.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: application/jsonl\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
        )

    def send_line(self, document: object) -> None:
        """Send one JSON line of a streamed response."""
        line = json.encode(document)
        size = len(line) + 1
        self._connection.write(b'%x\r\n%b\n\r\n' % (size, line))

    def abandon(self) -> None:
        """Notify the handler that the client has disconnected."""
        if not self.is_done:
            self.is_done = True
            if self.on_abandoned is not None:
                self.on_abandoned()


class HttpServer:
    """Serves HTTP/1.1, one request at a time on each connection."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_request: Callable[[Request, Reply], None],
    ) -> None:
        """Bind and listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self.on_request = on_request
        self.is_closing = False
        self.limits = _NO_LIMITS
        self.clock = reactor.timers.clock
        self._connections: set[_ServerConnection] = set()
        self._listener = Listener(reactor, address, self._on_accepted)
        self.address = self._listener.address
        reactor.timers.every(_TIMEOUT_CHECK_PERIOD, self._check_timeouts)

    def drain(self) -> None:
        """Close idle connections, and the others after their current response.

        Responses from now on carry ``connection: close``.
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
        """The number of open connections."""
        return len(self._connections)

    def discard(self, connection: _ServerConnection) -> None:
        """Remove a connection that has ended."""
        self._connections.discard(connection)

    def _check_timeouts(self) -> None:
        """Apply the timeouts to every connection."""
        now = self.clock.now()
        for connection in tuple(self._connections):
            connection.check(now)

    def _on_accepted(self, stream: Stream) -> None:
        connection = _ServerConnection(self, stream)
        self._connections.add(connection)
        stream.start(connection)


class _ServerConnection:
    """A client connection: parses requests and answers them in order."""

    def __init__(self, server: HttpServer, stream: Stream) -> None:
        self.stream = stream
        self._server = server
        self._parser = HttpRequestParser(self)
        self._queued: deque[tuple[Request, bool]] = deque()
        self._reply: Reply | None = None
        self._keep_alive = True
        self._problem: Problem | None = None
        self._head_size = 0
        self._is_reading_head = True
        self._head_started_at: float = 0
        self._idle_until: float | None = None
        self._start_idle_timeout()
        self._reset_request()

    def on_connected(self) -> None:
        """Do nothing: accepted connections are established."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a part of the request stream."""
        if self._problem is not None:
            return
        if self._is_reading_head:
            if not self._head_size:
                self._head_started_at = self._server.clock.now()
            self._head_size += len(chunk)
        try:
            self._parse(chunk)
        except HttpParserError as error:
            self._fail(ErrorKind.BAD_REQUEST, f'malformed HTTP: {error}')
        max_head = self._server.limits.max_head
        if self._is_reading_head and self._head_size > max_head:
            self._fail(
                ErrorKind.HEAD_TOO_LARGE,
                f'request head exceeds {max_head} bytes',
            )
        self._handle_next()

    def check(self, now: float) -> None:
        """Close the connection if its idle or head timeout has passed.

        Timeouts do not apply while a request is being handled.
        """
        if self._reply is not None or self._queued:
            return
        timeout = self._server.limits.head_timeout
        if not self._head_size:
            if self._idle_until is not None and now > self._idle_until:
                self._close()
        elif (
            timeout
            and self._is_reading_head
            and now - self._head_started_at > timeout
        ):
            self._fail(
                ErrorKind.HEAD_TIMEOUT,
                f'request head is incomplete after {timeout} s',
            )
            self._handle_next()

    def on_lost(self, reason: str) -> None:
        """Abandon the request being handled and drop the queued ones."""
        self._server.discard(self)
        if self._reply is not None:
            self._reply.abandon()
        self._queued.clear()

    def write(self, payload: bytes) -> None:
        """Write raw bytes of a response."""
        self.stream.send(payload)

    def finish(self, response: Response, *, omits_body: bool) -> None:
        """Send a response and proceed to the next request."""
        closes_connection = self._server.is_closing or not self._keep_alive
        self._reply = None
        self._start_idle_timeout()
        self.stream.send(
            response.encode(
                closes_connection=closes_connection, omits_body=omits_body
            )
        )
        if closes_connection:
            self._close()
        elif self._queued or self._problem is not None:
            self._handle_next()

    def finish_truncated(self) -> None:
        """Close the connection in the middle of a response."""
        self._reply = None
        self._close()

    def finish_chunked(self, response: Response) -> None:
        """Send a response in chunks and proceed to the next request."""
        self._reply = None
        self.stream.send(response.encode_chunked())
        self._handle_next()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        is_idle = self._reply is None and not self._queued
        if is_idle and not self._head_size:
            self._close()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Reset the parsed parts for a new request."""
        self._reset_request()
        self._is_reading_head = True

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header."""
        pair = (name.decode('latin-1').lower(), text.decode('latin-1'))
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Note the end of the head; send 100 Continue if the client asks."""
        if self._parser.should_upgrade():
            return
        self._is_reading_head = False
        if find_header(self._headers, 'expect').lower() == '100-continue':
            self.stream.send(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._body += chunk
        max_body = self._server.limits.max_body
        if len(self._body) > max_body:
            self._fail(
                ErrorKind.BODY_TOO_LARGE,
                f'request body exceeds {max_body} bytes',
            )

    def on_message_complete(self) -> None:
        """Queue the complete request, unless it is parsed again."""
        if self._parser.should_upgrade():
            return
        self._head_size = 0
        self._is_reading_head = True
        if self._problem is not None:
            return
        request = Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            self._headers,
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._queued.append((request, keep_alive))

    def _parse(self, chunk: bytes) -> None:
        rest = memoryview(chunk)
        while self._problem is None:
            try:
                self._parser.feed_data(rest)
            except HttpParserUpgrade as upgrade:
                rest = rest[upgrade.args[0] :]
            else:
                return
            self._restart_without_offer()

    def _restart_without_offer(self) -> None:
        """Parse the head of a request that offers another protocol again."""
        method = self._parser.get_method().decode('latin-1')
        if method == 'CONNECT':
            self._fail(ErrorKind.BAD_REQUEST, 'CONNECT is not supported')
            return
        version = self._parser.get_http_version()
        head = head_without_offer(method, self._url, version, self._headers)
        self._parser = HttpRequestParser(self)
        self._parser.feed_data(head)

    def _start_idle_timeout(self) -> None:
        """Start the idle timeout."""
        timeout = self._server.limits.idle_timeout
        # The timeout in force now holds for the whole idle time: clients may
        # not know a value that is set later, and reuse the connection by the
        # earlier one.
        self._idle_until = timeout and self._server.clock.now() + timeout

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: Headers = []
        self._body = bytearray()

    def _fail(self, kind: ErrorKind, message: str) -> None:
        if self._problem is None:
            self._problem = Problem(kind, message)

    def _handle_next(self) -> None:
        if self._reply is not None or self.stream.is_closed:
            return
        if self._queued:
            request, self._keep_alive = self._queued.popleft()
            self._reply = Reply(self, request)
            self._server.on_request(request, self._reply)
        elif self._problem is not None:
            response = problem_response(self._problem)
            self.stream.send(response.encode(closes_connection=True))
            self._close()

    def _close(self) -> None:
        if self.stream.unsent_bytes:
            self._keep_alive = False
            self.stream.close_when_sent()
        else:
            self.stream.close()
        self._server.discard(self)
