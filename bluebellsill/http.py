"""HTTP/1.1 messages and the answers to errors."""

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
    'end_to_end',
    'find_header',
    'json_response',
    'problem_response',
)

MAX_HEAD = 16384  # bytes
MAX_BODY = 4194304  # bytes

Headers = list[tuple[str, str]]

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
_REASONS = {status.value: status.phrase for status in HTTPStatus}


@dataclass(slots=True)
class Request:
    """One whole HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return find_header(self.headers, name)

    def encode(self) -> bytes:
        """Return the bytes to send to a server."""
        lines = [f'{self.method} {self.path} HTTP/1.1']
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        lines.append(f'content-length: {len(self.body)}\r\n\r\n')
        return '\r\n'.join(lines).encode('latin-1') + self.body


@dataclass(slots=True)
class Response:
    """One whole HTTP response; header names are in lower case."""

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        return find_header(self.headers, name)

    def encode(self, *, is_last: bool = False, to_head: bool = False) -> bytes:
        """Return the bytes to send to a client.

        Args:
            is_last: Whether the connection is closed afterwards.
            to_head: Whether the request was a HEAD, so no body follows.
        """
        lines = [f'HTTP/1.1 {self.status} {_REASONS.get(self.status, "-")}']
        lines.extend(f'{name}: {text}' for name, text in self.headers)
        if is_last:
            lines.append('connection: close')
        if self.status != HTTPStatus.NO_CONTENT:
            lines.append(f'content-length: {len(self.body)}')
        head = '\r\n'.join([*lines, '', '']).encode('latin-1')
        return head if to_head else b''.join((head, self.body))

    def encode_chunked(self) -> bytes:
        """Return the bytes of a chunked answer."""
        lines = [f'HTTP/1.1 {self.status} {_REASONS.get(self.status, "-")}']
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


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that a proxy passes on."""
    return [pair for pair in headers if pair[0] not in _HOP_BY_HOP]


def problem_response(
    problem: Problem,
    correlation: str = '',
    run: RunStatus | None = None,
) -> Response:
    """Return the answer that the error table gives for a problem.

    Args:
        problem: What went wrong.
        correlation: Names the request in the logs.
        run: What is known of the run, if it differs from the table.
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
        headers.append(('www-authenticate', 'Bearer'))
    return Response(answer.status.value, headers, body)


def json_response(status: int, document: object) -> Response:
    """Return a response with a JSON body."""
    headers = [('content-type', 'application/json')]
    return Response(status, headers, json.encode(document))


def find_header(headers: Headers, name: str) -> str:
    """Return the first value of a header, or an empty string."""
    for header_name, text in headers:
        if header_name == name:
            return text
    return ''
