"""Limits what a server may send before its response is complete.

A faulty server may send bytes that never become a response: a head, a chunk
extension, a trailer or interim responses without end. The time-out of the
request alone would let it fill the memory of the node.
"""

from __future__ import annotations

from bluebellsill.http import MAX_BODY

__all__ = ('ResponseLimit',)

MAX_OVERHEAD = 65536  # bytes in a row that add nothing to a body
# Bytes; one late response to an earlier request may precede the response.
MAX_RECEIVED = 2 * (MAX_BODY + MAX_OVERHEAD)


class ResponseLimit:
    """Counts the bytes received for one request.

    Attributes:
        received: Their number.
    """

    def __init__(self) -> None:
        """Create the limit of a request without a response."""
        self.received = 0
        self._overhead = 0

    def excess(self, size: int, *, has_body: bool) -> str:
        """Count received bytes.

        Args:
            size: The number of bytes.
            has_body: Whether some of them belong to a response body.

        Returns:
            Which limit they exceed, or an empty string.
        """
        self.received += size
        self._overhead = 0 if has_body else self._overhead + size
        if self._overhead > MAX_OVERHEAD:
            return f'{self._overhead} bytes without a part of a body'
        if self.received > MAX_RECEIVED:
            return f'{self.received} bytes without a complete response'
        return ''
