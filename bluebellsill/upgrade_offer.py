"""Requests that offer to continue in another protocol.

A server may ignore such an offer (RFC 9110, 7.8). The parser of the HTTP
library takes it as accepted: it ends the message after its head, and leaves
the body unread.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.http import Headers

__all__ = ('head_without_offer',)

_CONNECTION = 'connection'
_UPGRADE = 'upgrade'


def head_without_offer(
    method: str, url: bytes, version: str, headers: Headers
) -> bytes:
    """Return the head of a request as if it offered no other protocol.

    Args:
        method: The method.
        url: The request target.
        version: The version of HTTP, such as ``1.1``.
        headers: The headers, with names in lower case.
    """
    lines = [f'{method} {url.decode("latin-1")} HTTP/{version}']
    for name, text in headers:
        if name == _CONNECTION:
            lines.append(f'{name}: {_other_options(text)}')
        elif name != _UPGRADE:
            lines.append(f'{name}: {text}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1')


def _other_options(text: str) -> str:
    options = [option.strip() for option in text.split(',')]
    return ', '.join(one for one in options if one.lower() != _UPGRADE)
