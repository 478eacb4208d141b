"""HTTP/1.1 requests and responses, and the responses for errors."""

from __future__ import annotations

from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

from msgspec import json

if TYPE_CHECKING:
    from bluebellsill.errors import Problem, RunStatus

__all__ = (
    'MAX_BODY',
    'MAX_HEAD',
    'Headers',
    'Request',
    'Response',
    'end_to_end_headers',
    'find_header',
    'is_final_status',
    'json_response',
    'problem_response',
)

MAX_HEAD = 16384  # bytes of the start line and the headers
MAX_BODY = 4194304  # bytes

Headers = list[tuple[str, str]]

# Headers that hold for one connection only and are not forwarded.
_HOP_BY_HOP = frozenset(
    (
        'connection',
        'content-length',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'expect',
    )
)
_MAX_STATUS = 599
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """A complete HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string if absent."""
        return find_header(self.headers, name)

    def encode(self) -> bytes:
        """Return the request in wire format, with its ``content-length``."""
        lines = [f'{self.method} {self.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        lines.append(f'content-length: {len(self.body)}\r\n\r\n')
        return '\r\n'.join(lines).encode('latin-1') + self.body


@dataclass(slots=True)
class Response:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string if absent."""
        return find_header(self.headers, name)

    def encode(
        self, *, closes_connection: bool = False, omits_body: bool = False
    ) -> bytes:
        """Return the response in wire format.

        Args:
            closes_connection: Whether to announce that the connection is
                closed after this response.
            omits_body: Whether to leave out the body, as for a HEAD request.
        """
        lines = [
            f'HTTP/1.1 {self.status} {_REASON_PHRASES.get(self.status, "-")}'
        ]
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        if closes_connection:
            lines.append('connection: close')
        if self.status != HTTPStatus.NO_CONTENT:
            lines.append(f'content-length: {len(self.body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        return head if omits_body else b''.join((head, self.body))

    def encode_chunked(self) -> bytes:
        """Return the response in wire format, with a chunked body."""
        lines = [
            f'HTTP/1.1 {self.status} {_REASON_PHRASES.get(self.status, "-")}'
        ]
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        lines.append('transfer-encoding: chunked')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        middle = len(self.body) // 2
        chunks = [
            b'%x\r\n%b\r\n' % (len(chunk), chunk)
            for chunk in (self.body[:middle], self.body[middle:])
            if chunk
        ]
        return b''.join((head, *chunks, b'0\r\n\r\n'))


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without those that hold for one hop only."""
    return [pair for pair in headers if pair[0] not in _HOP_BY_HOP]


def problem_response(
    problem: Problem,
    correlation: str = '',
    run: RunStatus | None = None,
    *,
    challenge: str = 'Bearer',
) -> Response:
    """Return the response that the error table defines for a problem.

    Args:
        problem: The error to report.
        correlation: The id that identifies the request in the logs.
        run: Whether the request was executed, as far as is known; None
            for the value in the table.
        challenge: The authentication scheme that a client is asked to use.
    """
    answer = problem.response
    known = answer.run if run is None else run
    body = json.encode(
        {
            'error': problem.kind.value,
            'run': known.value,
            'message': problem.message,
            'correlation': correlation,
        }
    )
    headers = [
        ('content-type', 'application/json'),
        ('bluebellsill-error', problem.kind.value),
        ('bluebellsill-run', known.value),
    ]
    if answer.status == HTTPStatus.UNAUTHORIZED:
        headers.append(('www-authenticate', challenge))
    return Response(answer.status.value, headers, body)


def json_response(status: int, document: object) -> Response:
    """Return a response with a JSON body."""
    headers = [('content-type', 'application/json')]
    return Response(status, headers, json.encode(document))


def is_final_status(status: int) -> bool:
    """Return whether a complete response may have a status."""
    return HTTPStatus.OK <= status <= _MAX_STATUS


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string if absent."""
    for header_name, text in headers:
        if header_name == name:
            return text
    return ''
