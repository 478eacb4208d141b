"""Decides which piece of which body is sent next on a connection."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from bluebellsill.body_transfer.window import LINK_WINDOW, PIECE_SIZE
from bluebellsill.messages import BodyPiece

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.messages import BodyProgress, BodyRequest
    from bluebellsill.peers import LinkLost

__all__ = ('OutgoingBody', 'PieceQueue')


class OutgoingBody:
    """A body that its receiver has asked for.

    Attributes:
        transfer: Identifies the transfer at the receiver.
        size: The bytes of the body.
        sent: The bytes passed to the connection so far.
        received: The bytes that the receiver has confirmed.
    """

    __slots__ = (
        '_body',
        '_limit',
        'on_reply',
        'received',
        'sent',
        'size',
        'transfer',
    )

    def __init__(
        self,
        request: BodyRequest,
        body: bytes,
        on_reply: Callable[[BodyProgress | LinkLost], None],
    ) -> None:
        """Create a transfer that has not begun.

        Args:
            request: The receiver's request.
            body: The complete body.
            on_reply: Called with the progress of the receiver, and if the
                connection for bodies ends.
        """
        self._body = body
        self._limit = request.limit
        self.transfer = request.transfer
        self.on_reply = on_reply
        self.size = len(body)
        self.sent = 0
        self.received = 0

    @property
    def is_sent(self) -> bool:
        """Whether the receiver may have the complete body."""
        return self.sent >= self.size

    @property
    def is_received(self) -> bool:
        """Whether the receiver has confirmed the complete body."""
        return self.received >= self.size

    @property
    def may_send(self) -> bool:
        """Whether the receiver takes another piece now."""
        return self.sent < min(self.size, self._limit)

    def take_piece(self) -> BodyPiece:
        """Return the next piece, which counts as sent."""
        start = self.sent
        self.sent = min(start + PIECE_SIZE, self.size, self._limit)
        return BodyPiece(self.transfer, start, self._body[start : self.sent])

    def on_progress(self, received: int, limit: int) -> None:
        """Record what the receiver has confirmed and how much it takes."""
        self.received = min(max(self.received, received), self.sent)
        self._limit = max(self._limit, limit)


class PieceQueue:
    """Alternates between the bodies that are sent on one connection.

    A small body does not wait for a large one, and each of them makes
    progress, which its receiver waits for.
    """

    def __init__(self) -> None:
        """Create a queue without bodies."""
        self._bodies: deque[OutgoingBody] = deque()

    def __len__(self) -> int:
        """Return the number of bodies that have not been received."""
        return len(self._bodies)

    def add(self, body: OutgoingBody) -> None:
        """Add a body whose transfer begins."""
        self._bodies.append(body)

    def remove(self, body: OutgoingBody) -> None:
        """Remove a body that was received or is given up; idempotent."""
        if body in self._bodies:
            self._bodies.remove(body)

    def next_body(self) -> OutgoingBody | None:
        """Return the body whose next piece is to be sent now, if any."""
        on_the_way = sum(one.sent - one.received for one in self._bodies)
        if on_the_way >= LINK_WINDOW:
            return None
        for body in self._bodies:
            if body.may_send:
                # It is the last one whose turn comes again.
                self._bodies.remove(body)
                self._bodies.append(body)
                return body
        return None
