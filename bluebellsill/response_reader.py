"""Reads the response to one request from the bytes of a connection."""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser

from bluebellsill.decoding import parse_whole_number
from bluebellsill.http import MAX_BODY, Headers, Response, is_final_status
from bluebellsill.response_limit import ResponseLimit

if TYPE_CHECKING:
    from bluebellsill.http_exchange import ResponseRules

__all__ = ('ResponseReader',)

_BODYLESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))
# The parser reads a body after the heads of interim responses above this one
# if they state a length, and would take the final response for it.
_LAST_BODILESS_INTERIM = HTTPStatus.EARLY_HINTS
_PART_SIZE = 65536  # bytes from which a part of a body is not appended to
_JOINED = 'another response begins within a line of the head'
# The first bytes of every response (RFC 9112, section 4).
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}')


class _ResponseError(ValueError):
    """The bytes are not a valid response here."""


@dataclass(slots=True)
class _Message:
    """One message in the bytes of a server, as far as it has arrived."""

    status: int = 0
    reason: bytes = b''
    headers: Headers = field(default_factory=list)
    parts: list[bytearray] = field(default_factory=list)
    size: int = 0  # of the body, in bytes
    quotes_response: bool = False  # whether a line contains a status line
    has_length: bool = False
    length: int = 0  # that the head states, in bytes
    is_head_complete: bool = False
    ends_with_connection: bool = False
    keeps_alive: bool = False

    def add(self, chunk: bytes) -> None:
        """Append to the body.

        Many parts of a limited size do not leave holes in the memory, as one
        that grows to megabytes does.
        """
        self.size += len(chunk)
        if self.parts and len(self.parts[-1]) < _PART_SIZE:
            self.parts[-1] += chunk
        else:
            self.parts.append(bytearray(chunk))

    def response(self) -> Response:
        """Return the complete response."""
        return Response(self.status, self.headers, b''.join(self.parts))


class ResponseReader:
    """Finds the response to one request.

    A reader owns its parser and the messages that the parser fills, and is
    dropped with its request. What the parser reads behind the response stays
    in the reader: nothing is handed on while the parser runs.

    Attributes:
        response: The response, None until it is complete.
        fault: Why the bytes cannot contain the response, empty while they can.
        is_too_large: Whether the response exceeds the accepted size.
        has_excess: Whether bytes have arrived behind the response.
    """

    def __init__(
        self,
        rules: ResponseRules,
        request_id: str,
        *,
        is_head: bool,
        is_first: bool,
    ) -> None:
        """Create a reader for a request that is about to be sent.

        Args:
            rules: How responses state which request they belong to.
            request_id: The id of the request, empty if it has none.
            is_head: Whether it is a HEAD request.
            is_first: Whether it is the first request on its connection.
        """
        self.response: Response | None = None
        self.fault = ''
        self.is_too_large = False
        self.has_excess = False
        self._keeps_alive = False
        self._rules = rules
        self._id_header = rules.id_header.lower()
        self._request_id = request_id
        self._is_head = is_head
        self._is_first = is_first
        # Whether a message was read that belongs to another request.
        self._has_skipped = False
        self._limit = ResponseLimit()
        self._has_body_part = False
        self._is_in_message = False
        self._message = _Message()
        self._complete: list[_Message] = []
        self._parser: HttpResponseParser | None = HttpResponseParser(self)

    @property
    def leaves_clean_connection(self) -> bool:
        """Whether the connection can carry another request.

        Nothing that the server has sent belongs to an unknown request, and it
        keeps the connection open.
        """
        return (
            self._keeps_alive and not self.has_excess and not self._has_skipped
        )

    @property
    def held_bytes(self) -> int:
        """The bytes that were read for the request."""
        return self._limit.received

    def feed(self, chunk: bytes) -> None:
        """Read bytes, until there is a response or a fault."""
        self._has_body_part = False
        parser_fault = self._parse(chunk)
        for index, message in enumerate(self._complete):
            self._judge(message)
            if self.response is not None or self.fault:
                self.has_excess = bool(
                    parser_fault
                    or index + 1 < len(self._complete)
                    or self._is_in_message
                )
                return
        self._complete.clear()
        if not self.fault:
            self.fault = parser_fault or self._limit.excess(
                len(chunk), has_body=self._has_body_part
            )

    @property
    def ends_with_connection(self) -> bool:
        """Whether the message goes on until the server ends the connection."""
        return self._message.ends_with_connection and not self.fault

    def end(self) -> None:
        """Complete a message that ends with the connection."""
        self._judge(self._message)

    def close(self) -> None:
        """Free what was read.

        The parser refers to the reader, so that only a collection of garbage
        would free them.
        """
        self._parser = None
        self._message = _Message()
        self._complete.clear()

    # Callbacks of the HTTP parser. They write to the current message only.

    def on_message_begin(self) -> None:
        """Begin a message."""
        self._is_in_message = True
        self._message = _Message()

    def on_status(self, reason: bytes) -> None:
        """Store a part of the text behind the status."""
        self._message.reason += reason

    def on_header(self, name: bytes, text: bytes) -> None:
        """Store a header of a head; trailers are dropped."""
        message = self._message
        if message.is_head_complete:
            return
        message.quotes_response |= _has_status_line(text)
        lower = name.decode('latin-1').lower()
        decoded = text.decode('latin-1')
        if lower == 'content-length':
            message.length = parse_whole_number(decoded) or 0
        message.has_length |= lower in {'content-length', 'transfer-encoding'}
        message.headers.append((lower, decoded))

    def on_headers_complete(self) -> None:
        """Reject an invalid status, or a body that cannot be accepted."""
        message = self._message
        self._check_joined(message)
        message.is_head_complete = True
        if self._parser is not None:
            message.status = self._parser.get_status_code()
        if not is_final_status(message.status):
            _check_interim(message)
            return
        if self._is_head:
            self._complete.append(message)
            return
        if message.status in _BODYLESS:
            return
        self._check_size(message.length)
        if not message.has_length:
            if not self._rules.allows_body_until_close:
                raise _ResponseError(
                    'response has neither content-length nor transfer-encoding'
                )
            message.ends_with_connection = True

    def on_body(self, chunk: bytes) -> None:
        """Store a part of the body."""
        self._has_body_part = True
        message = self._message
        message.add(chunk)
        self._check_size(message.size)

    def on_message_complete(self) -> None:
        """Set a complete message aside, unless it is an interim response."""
        message = self._message
        if self._parser is not None:
            message.keeps_alive = self._parser.should_keep_alive()
        if not self._is_head:
            self._complete.append(message)
        self._is_in_message = False

    def _parse(self, chunk: bytes) -> str:
        """Let the parser read; return why it cannot, or an empty string."""
        if self._parser is None:
            return 'reader is closed'
        try:
            self._parser.feed_data(chunk)
        except HttpParserError as error:
            # The parser wraps the errors of callbacks.
            cause = error.__context__ or error
            return f'malformed response: {cause}'
        except HttpParserUpgrade:
            return 'response switches to another protocol'
        return ''

    def _judge(self, message: _Message) -> None:
        """Decide whether a complete message is the response.

        Without an id, an error may come from an intermediary that does not
        read it, but only if nothing else can have caused it.
        """
        if not is_final_status(message.status):
            return
        found = self._id_of(message)
        if found == self._request_id or not self._request_id:
            self._accept(message)
        elif found:
            # A late response to an earlier request; that to this one is
            # still to come.
            self._has_skipped = True
        else:
            self._judge_unidentified(message)

    def _judge_unidentified(self, message: _Message) -> None:
        if self._has_skipped or not self._is_first:
            self.fault = 'response without an id on a used connection'
        elif message.status >= HTTPStatus.BAD_REQUEST:
            self._accept(message)
        else:
            self._has_skipped = True

    def _accept(self, message: _Message) -> None:
        self.response = message.response()
        self._keeps_alive = message.keeps_alive and not self._is_head

    def _id_of(self, message: _Message) -> str:
        return next(iter(self._ids_of(message)), '')

    def _ids_of(self, message: _Message) -> list[str]:
        header = self._id_header
        return [text for name, text in message.headers if name == header]

    def _check_joined(self, message: _Message) -> None:
        """Reject a head that goes on with the beginning of another one.

        The remainder of an earlier response may end in the middle of a line,
        and so may a response that the server breaks off. What follows in that
        line would lend its id to a status that is not its own. A head that
        only quotes a status line states its id once, in front of that.
        """
        if _has_status_line(message.reason):
            raise _ResponseError(_JOINED)
        if message.quotes_response:
            texts = [text.encode('latin-1') for _, text in message.headers]
            quote = next(filter(_has_status_line, texts))
            in_front = message.headers[: texts.index(quote)]
            is_own = (self._id_header, self._request_id) in in_front
            if not is_own or len(self._ids_of(message)) > 1:
                raise _ResponseError(_JOINED)

    def _check_size(self, size: int) -> None:
        if size > MAX_BODY:
            self.is_too_large = True
            raise _ResponseError(f'response body exceeds {MAX_BODY} bytes')


def _has_status_line(text: bytes) -> bool:
    return b'HTTP/' in text and _STATUS_LINE.search(text) is not None


def _check_interim(message: _Message) -> None:
    status = message.status
    if not HTTPStatus.CONTINUE <= status < HTTPStatus.OK:
        raise _ResponseError(f'status {status:03}')
    if message.has_length and status > _LAST_BODILESS_INTERIM:
        raise _ResponseError(f'interim status {status} with a body')
