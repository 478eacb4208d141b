"""Parses the requests of one connection, and bounds what it reads."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import Headers, Request, find_header
from bluebellsill.upgrade_offer import head_without_offer

if TYPE_CHECKING:
    from bluebellsill.client_input.limits import RequestLimits

__all__ = ('ParsedRequest', 'ReaderOwner', 'RequestReader')

# Bytes that are parsed at once, except for bodies of stated length. So many
# bytes of further requests may be parsed before the parser stops, since it
# cannot stop between two requests: at most 56 of them.
_PIECE = 1024
# Estimated bytes of a request and of each header line in CPython 3.11: a tuple,
# two strings and a list entry, each with the padding of the allocator.
_REQUEST_COST = 1536
_LINE_COST = 224
_LINE_FRAMING = 3  # bytes of a header line at least, beside name and value


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """A complete request.

    Attributes:
        request: The request.
        keep_alive: Whether the connection stays open after the response.
        head_cost: Estimated bytes of memory that its head takes.
    """

    request: Request
    keep_alive: bool
    head_cost: int

    @property
    def body_size(self) -> int:
        """The bytes of its body."""
        return len(self.request.body)


class ReaderOwner(Protocol):
    """What a reader needs of its connection."""

    @property
    def limits(self) -> RequestLimits:
        """The limits in force."""

    @property
    def may_parse(self) -> bool:
        """Whether the connection can take more requests."""

    def on_begin(self) -> None:
        """The first byte of a request was read."""

    def on_request(self, parsed: ParsedRequest) -> None:
        """A request is complete."""

    def on_continue(self) -> None:
        """The client waits for permission to send the body."""


class RequestReader:
    """Parses requests piece by piece until its owner can take no more.

    Attributes:
        problem: Why no more requests are read, None while they are.
        is_reading_head: Whether the end of a head is awaited.
        has_begun: Whether a part of a request has been read, which is not
            complete; empty lines are no part of a request.
    """

    def __init__(self, owner: ReaderOwner) -> None:
        """Create a reader for a new connection."""
        self.problem: Problem | None = None
        self.is_reading_head = True
        self.has_begun = False
        self._owner = owner
        self._parser = HttpRequestParser(self)
        self._unparsed = memoryview(b'')
        # Bytes since the last part of a body, or the end of a head or message.
        self._framing = 0
        self._makes_progress = False
        self._piece_size = 0
        self._body_length: int | None = None
        self._reset_request()

    def add(self, chunk: bytes) -> None:
        """Add received bytes; ``parse`` parses them."""
        if self.problem is None:
            rest = self._unparsed
            self._unparsed = memoryview(bytes(rest) + chunk if rest else chunk)

    def parse(self) -> None:
        """Parse until nothing is left or the owner can take no more."""
        while self._unparsed and self._owner.may_parse:
            piece = self._unparsed[: self._next_size()]
            self._unparsed = self._unparsed[len(piece) :]
            self._parse_piece(piece)
        if self._unparsed:
            # Frees the bytes that were parsed.
            self._unparsed = memoryview(bytes(self._unparsed))

    @property
    def has_unparsed(self) -> bool:
        """Whether received bytes have not been parsed."""
        return bool(self._unparsed)

    @property
    def body_size(self) -> int:
        """The bytes of the body that have been read."""
        return len(self._body)

    @property
    def head_cost(self) -> int:
        """Estimated bytes of memory that the head being read takes."""
        lines = len(self._headers)
        size = self._head_size or self._framing
        return _REQUEST_COST + _LINE_COST * lines + size

    @property
    def held(self) -> int:
        """Estimated bytes of memory, without those of the body."""
        return self.head_cost + len(self._unparsed)

    def fail(self, problem: Problem) -> None:
        """Read no more; the first reason counts."""
        if self.problem is None:
            self.problem = problem
            self.stop()

    def stop(self) -> None:
        """Free what was read of the next request."""
        self.has_begun = False
        self._unparsed = memoryview(b'')
        self._reset_request()

    # Callbacks of the HTTP parser.

    def on_message_begin(self) -> None:
        """Reset the parsed parts for a new request."""
        self._reset_request()
        self.is_reading_head = True
        self.has_begun = self.problem is None
        self._owner.on_begin()

    def on_url(self, url: bytes) -> None:
        """Store a part of the request target."""
        self._url += url

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header; trailers are dropped."""
        if not self.is_reading_head or self.problem is not None:
            return
        pair = (name.decode('latin-1').lower(), text.decode('latin-1'))
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        """Note the end of the head."""
        if self._parser.should_upgrade() or self.problem is not None:
            return
        # Includes what precedes and follows the head in the same piece.
        self._head_size = self._framing + self._piece_size
        max_head = self._owner.limits.max_head
        if self._head_size > max_head and self._least_head_size() > max_head:
            self._fail_head('head exceeds', max_head)
            return
        self.is_reading_head = False
        self._makes_progress = True
        if find_header(self._headers, 'expect').lower() == '100-continue':
            self._owner.on_continue()

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        if self.problem is not None:
            return
        self._makes_progress = True
        self._body += chunk
        max_body = self._owner.limits.max_body
        if len(self._body) > max_body:
            message = f'request body exceeds {max_body} bytes'
            self.fail(Problem(ErrorKind.BODY_TOO_LARGE, message))

    def on_message_complete(self) -> None:
        """Pass on the complete request, unless it is parsed again."""
        if self._parser.should_upgrade():
            return
        self.is_reading_head = True
        self.has_begun = False
        self._makes_progress = True
        if self.problem is not None:
            return
        request = Request(
            self._parser.get_method().decode('latin-1'),
            self._url.decode('latin-1'),
            self._headers,
            bytes(self._body),
        )
        keep_alive = self._parser.should_keep_alive()
        parsed = ParsedRequest(request, keep_alive, self.head_cost)
        self._reset_request()
        self._owner.on_request(parsed)

    def _next_size(self) -> int:
        if self.is_reading_head:
            return _PIECE
        if self._body_length is None:
            self._body_length = self._stated_length()
        # The piece ends with the body, so that no further request is parsed.
        rest = self._body_length - len(self._body)
        return rest if rest > 0 else _PIECE

    def _stated_length(self) -> int:
        """Return the length that the head states, 0 if it states none."""
        if find_header(self._headers, 'transfer-encoding'):
            return 0
        length = find_header(self._headers, 'content-length')
        return int(length) if length.isdecimal() else 0

    def _parse_piece(self, piece: memoryview) -> None:
        self._makes_progress = False
        self._piece_size = len(piece)
        try:
            self._feed(piece)
        except HttpParserError as error:
            message = f'malformed HTTP: {error}'
            self.fail(Problem(ErrorKind.BAD_REQUEST, message))
        if self._makes_progress:
            self._framing = 0
            return
        self._framing += self._piece_size
        max_head = self._owner.limits.max_head
        if self._framing > max_head:
            part = 'head exceeds' if self.is_reading_head else 'trailers exceed'
            self._fail_head(part, max_head)

    def _feed(self, piece: memoryview) -> None:
        rest = piece
        while self.problem is None:
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
            message = 'CONNECT is not supported'
            self.fail(Problem(ErrorKind.BAD_REQUEST, message))
            return
        version = self._parser.get_http_version()
        head = head_without_offer(method, self._url, version, self._headers)
        self._parser = HttpRequestParser(self)
        self._parser.feed_data(head)

    def _least_head_size(self) -> int:
        """Return the bytes that the head has at least.

        Spaces that the parser drops are not counted. A head that fits must
        not be refused for them, nor for bytes that follow it.
        """
        lines = (
            len(name) + len(text) + _LINE_FRAMING
            for name, text in self._headers
        )
        return len(self._url) + sum(lines)

    def _fail_head(self, what: str, max_head: int) -> None:
        message = f'request {what} {max_head} bytes'
        self.fail(Problem(ErrorKind.HEAD_TOO_LARGE, message))

    def _reset_request(self) -> None:
        self._url = b''
        self._headers: Headers = []
        self._body = bytearray()
        self._head_size = 0
        self._body_length = None
