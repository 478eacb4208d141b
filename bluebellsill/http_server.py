"""A server that hands on whole HTTP/1.1 requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpRequestParser
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

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor

__all__ = ('HttpServer', 'Reply', 'RequestLimits')

_SWEEP_PERIOD = 0.5  # seconds between looks for clients that take too long


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """What clients may send, and how long they may take.

    Attributes:
        max_head: Bytes of a request's head.
        max_body: Bytes of a request's body.
        head_timeout: Seconds in which a head that has begun must be whole,
            None for any.
        idle_timeout: Seconds that a connection may stay without a request,
            None for any.
    """

    max_head: int = MAX_HEAD
    max_body: int = MAX_BODY
    head_timeout: float | None = None
    idle_timeout: float | None = None


_NO_LIMITS = RequestLimits()


class Reply:
    """The way back to the client that sent one request."""

    def __init__(self, connection: _ServerConnection, request: Request) -> None:
        """Create the reply to a request of a connection."""
        self.on_abandoned: Callable[[], None] | None = None
        self.is_done = False
        self._connection = connection
        self._request = request
        self._is_streaming = False

    def send(self, response: Response) -> None:
        """Send the whole answer; a second one is ignored."""
        if self.is_done:
            return
        self.is_done = True
        to_head = self._request.method == 'HEAD'
        self._connection.finish(response, to_head=to_head)

    def cut(self, response: Response) -> None:
        """Send an answer without its last byte and close, as faults do."""
        self.is_done = True
        self._connection.write(response.encode()[:-1])
        self._connection.finish_cut()

    def send_chunked(self, response: Response) -> None:
        """Send the whole answer in chunks, without stating its length."""
        self.is_done = True
        self._connection.finish_chunked(response)

    def start_stream(self) -> None:
        """Start an answer of JSON lines without a known end."""
        self._is_streaming = True
        self._connection.write(
            b'HTTP/1.1 200 OK\r\ncontent-type: application/jsonl\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
        )

    def send_line(self, document: object) -> None:
        """Send one JSON line of a streamed answer."""
        line = json.encode(document)
        size = len(line) + 1
        self._connection.write(b'%x\r\n%b\n\r\n' % (size, line))

    def abandon(self) -> None:
        """Tell whoever works on the answer that nobody waits for it."""
        if not self.is_done:
            self.is_done = True
            if self.on_abandoned is not None:
                self.on_abandoned()


class HttpServer:
    """Serves HTTP/1.1 and hands on whole requests, one at a time each."""

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
        reactor.timers.every(_SWEEP_PERIOD, self._sweep)

    def drain(self) -> None:
        """Answer what is in flight with ``connection: close``."""
        self.is_closing = True
        for connection in tuple(self._connections):
            connection.close_if_idle()

    def stop_accepting(self) -> None:
        """Accept no more connections; those that are open go on."""
        self._listener.close()

    def close(self) -> None:
        """Accept no more connections and drain those that are open."""
        self.stop_accepting()
        self.drain()

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    def discard(self, connection: _ServerConnection) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        """End the connections of clients that take too long."""
        now = self.clock.now()
        for connection in tuple(self._connections):
            connection.check(now)

    def _on_accepted(self, stream: Stream) -> None:
        connection = _ServerConnection(self, stream)
        self._connections.add(connection)
        stream.start(connection)


class _ServerConnection:
    """One client connection: parses requests, answers them in order."""

    def __init__(self, server: HttpServer, stream: Stream) -> None:
        self.stream = stream
        self._server = server
        self._parser = HttpRequestParser(self)
        self._waiting: deque[tuple[Request, bool]] = deque()
        self._reply: Reply | None = None
        self._keep_alive = True
        self._problem: Problem | None = None
        self._head_size = 0
        self._in_head = True
        self._head_since: float = 0
        self._idle_until: float | None = None
        self._rest()
        self._reset()

    def on_connected(self) -> None:
        """Do nothing: accepted connections are established."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a piece of the request stream."""
        if self._problem is not None:
            return
        if self._in_head:
            if not self._head_size:
                self._head_since = self._server.clock.now()
            self._head_size += len(chunk)
        try:
            self._parser.feed_data(chunk)
        except HttpParserError as error:
            self._fail(ErrorKind.BAD_REQUEST, f'malformed HTTP: {error}')
        max_head = self._server.limits.max_head
        if self._in_head and self._head_size > max_head:
            self._fail(
                ErrorKind.HEAD_TOO_LARGE,
                f'request head is above {max_head} bytes',
            )
        self._next()

    def check(self, now: float) -> None:
        """End a connection that is idle, or whose head is, for too long."""
        if self._reply is not None or self._waiting:
            return
        timeout = self._server.limits.head_timeout
        if not self._head_size:
            if self._idle_until is not None and now > self._idle_until:
                self._end()
        elif timeout and self._in_head and now - self._head_since > timeout:
            self._fail(
                ErrorKind.HEAD_TIMEOUT,
                f'request head is not whole after {timeout} s',
            )
            self._next()

    def on_lost(self, reason: str) -> None:
        """Tell the worker that nobody waits any more."""
        self._server.discard(self)
        if self._reply is not None:
            self._reply.abandon()
        self._waiting.clear()

    def write(self, payload: bytes) -> None:
        """Write raw bytes of a streamed answer."""
        self.stream.send(payload)

    def finish(self, response: Response, *, to_head: bool) -> None:
        """Send an answer and turn to the next request."""
        is_last = self._server.is_closing or not self._keep_alive
        self._reply = None
        self._rest()
        self.stream.send(response.encode(is_last=is_last, to_head=to_head))
        if is_last:
            self._end()
        elif self._waiting or self._problem is not None:
            self._next()

    def finish_cut(self) -> None:
        """Close in the middle of an answer."""
        self._reply = None
        self._end()

    def finish_chunked(self, response: Response) -> None:
        """Send an answer in two chunks and turn to the next request."""
        self._reply = None
        self.stream.send(response.encode_chunked())
        self._next()

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        is_idle = self._reply is None and not self._waiting
        if is_idle and not self._head_size:
            self._end()

    # The parser calls these.

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._reset()
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Collect the request target."""
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Collect a header."""
        pair = (name.decode('latin-1').lower(), text.decode('latin-1'))
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Stop counting the head."""
        self._in_head = False
        if find_header(self._headers, 'expect').lower() == '100-continue':
            self.stream.send(b'HTTP/1.1 100 Continue\r\n\r\n')

    def on_body(self, chunk: bytes) -> None:
        """Collect a piece of the body."""
        self._body += chunk
        max_body = self._server.limits.max_body
        if len(self._body) > max_body:
            self._fail(
                ErrorKind.BODY_TOO_LARGE,
                f'request body is above {max_body} bytes',
            )

    def on_message_complete(self) -> None:
        """Queue the whole request."""
        self._head_size = 0
        self._in_head = True
        if self._problem is not None:
            return
        request = Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            self._headers,
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        self._waiting.append((request, keep_alive))

    def _rest(self) -> None:
        """Begin to wait for the next request."""
        timeout = self._server.limits.idle_timeout
        # The limit of that moment holds: callers may know no later one.
        self._idle_until = timeout and self._server.clock.now() + timeout

    def _reset(self) -> None:
        self._url = b''
        self._headers: Headers = []
        self._body = bytearray()

    def _fail(self, kind: ErrorKind, message: str) -> None:
        if self._problem is None:
            self._problem = Problem(kind, message)

    def _next(self) -> None:
        if self._reply is not None or self.stream.is_closed:
            return
        if self._waiting:
            request, self._keep_alive = self._waiting.popleft()
            self._reply = Reply(self, request)
            self._server.on_request(request, self._reply)
        elif self._problem is not None:
            response = problem_response(self._problem)
            self.stream.send(response.encode(is_last=True))
            self._end()

    def _end(self) -> None:
        if self.stream.unsent_bytes:
            self._keep_alive = False
            self.stream.close_when_sent()
        else:
            self.stream.close()
        self._server.discard(self)
