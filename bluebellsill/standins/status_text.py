"""Responses with a status that no valid response has."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from bluebellsill.http import Response

if TYPE_CHECKING:
    from bluebellsill.http import Headers

__all__ = ('StatusTextResponse',)


class StatusTextResponse(Response):
    """A response whose status is any text."""

    def __init__(self, text: str, headers: Headers, body: bytes) -> None:
        """Create a response that is sent with ``text`` as its status."""
        super().__init__(HTTPStatus.OK.value, headers, body)
        self._text = text.encode()

    def encode(
        self, *, closes_connection: bool = False, omits_body: bool = False
    ) -> bytes:
        """Return the response in wire format."""
        encoded = super().encode(
            closes_connection=closes_connection, omits_body=omits_body
        )
        return encoded.replace(b'200 OK', b'%b -' % self._text, 1)
