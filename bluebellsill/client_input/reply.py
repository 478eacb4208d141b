"""The response to one request, as its handler sees it."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol

from msgspec import json

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.client_input.pipeline import Exchange
    from bluebellsill.http import Response

__all__ = ('Reply', 'ReplyOwner')


class ReplyOwner(Protocol):
    """The connection that a response goes to."""

    def advance(self) -> None:
        """Send the responses that are ready, and proceed."""


class Reply:
    """Sends the response to one request."""

    def __init__(self, owner: ReplyOwner, exchange: Exchange) -> None:
        """Create the reply to a request that came on a connection."""
        self.on_abandoned: Callable[[], None] | None = None
        self.is_done = False
        self._owner = owner
        self._exchange = exchange
        exchange.on_abandoned = self.abandon

    def send(self, response: Response) -> None:
        """Send a complete response; later ones are ignored."""
        if self.is_done:
            return
        omits_body = self._exchange.parsed.request.method == 'HEAD'
        self._complete(
            len(response.body),
            lambda closes: response.encode(
                closes_connection=closes, omits_body=omits_body
            ),
            is_overloaded=response.status == HTTPStatus.SERVICE_UNAVAILABLE,
        )

    def send_truncated(self, response: Response) -> None:
        """Send a response without its last byte and close the connection.

        Simulates a server that fails while it responds.
        """
        self._exchange.closes_connection = True
        self._complete(len(response.body), lambda _: response.encode()[:-1])

    def send_chunked(self, response: Response) -> None:
        """Send a complete response with chunked transfer encoding."""
        self._complete(len(response.body), lambda _: response.encode_chunked())

    def start_stream(self) -> None:
        """Start an open-ended response of JSON lines."""
        self._write(
            b'HTTP/1.1 200 OK\r\ncontent-type: application/jsonl\r\n'
            b'transfer-encoding: chunked\r\n\r\n',
        )

    def send_line(self, document: object) -> None:
        """Send one JSON line of a streamed response."""
        line = json.encode(document)
        size = len(line) + 1
        self._write(b'%x\r\n%b\n\r\n' % (size, line))

    def abandon(self) -> None:
        """Notify the handler that the client has disconnected."""
        if not self.is_done:
            self.is_done = True
            if self.on_abandoned is not None:
                self.on_abandoned()

    def _complete(
        self,
        size: int,
        encode: Callable[[bool], bytes],
        *,
        is_overloaded: bool = False,
    ) -> None:
        self.is_done = True
        self._exchange.complete(size, encode, is_overloaded=is_overloaded)
        self._owner.advance()

    def _write(self, part: bytes) -> None:
        if not self.is_done:
            self._exchange.add(part)
            self._owner.advance()
