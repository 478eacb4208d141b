"""Receives the bodies of calls that this node has accepted."""

from __future__ import annotations

from dataclasses import dataclass
from secrets import randbits
from typing import TYPE_CHECKING

from bluebellsill.body_transfer.window import BODY_WINDOW
from bluebellsill.logs import get_logger
from bluebellsill.messages import (
    BodyPiece,
    BodyProgress,
    BodyRequest,
    MessageError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.messages import Call
    from bluebellsill.metrics import Metrics
    from bluebellsill.peers import PeerConnection
    from bluebellsill.timers import Timer, TimerService

__all__ = ('BodyReceiver', 'IncomingBody')

# Seconds without a piece after which a body is given up. A VM that fails
# without closing its connections is noticed only by this; meanwhile its calls
# hold slots. A lost packet delays a piece by 0.2 to 0.6 s.
_STALL_TIMEOUT = 2.0
_TRANSFER_BITS = 63


class IncomingBody:
    """A body that arrives in pieces."""

    def __init__(self, size: int) -> None:
        """Expect a body of a size in bytes."""
        self.size = size
        self._received = bytearray()

    @property
    def received(self) -> int:
        """The number of bytes that have arrived."""
        return len(self._received)

    @property
    def is_complete(self) -> bool:
        """Whether all bytes have arrived."""
        return self.received == self.size

    def add(self, piece: BodyPiece) -> None:
        """Append a piece.

        Raises:
            MessageError: It does not follow the previous one, or ends beyond
                the size of the body.
        """
        end = piece.offset + len(piece.piece)
        if piece.offset != self.received or end > self.size:
            raise MessageError(
                f'piece from {piece.offset} to {end} after {self.received}'
                f' of {self.size} bytes of a body'
            )
        self._received += piece.piece

    def take(self) -> bytes:
        """Return the complete body and free it here."""
        body = bytes(self._received)
        self._received = bytearray()
        return body


@dataclass(eq=False, slots=True)
class _Transfer:
    """A body that was requested from a peer.

    Attributes:
        id: Identifies the transfer on all connections.
        peer: The entry node of the call.
        call: The call without its body.
        body: What has arrived of the body.
        expires_at: The deadline of the call, in seconds.
        on_complete: Called with the complete body.
        on_missing: Called if the body is given up.
        connection: The connection that carries the body, None before its
            first piece.
        progressed_at: When the latest piece arrived, in seconds.
        timer: Due when the body may have to be given up.
    """

    id: int
    peer: str
    call: Call
    body: IncomingBody
    expires_at: float
    on_complete: Callable[[bytes], None]
    on_missing: Callable[[], None]
    connection: PeerConnection | None = None
    progressed_at: float = 0
    timer: Timer | None = None


class BodyReceiver:
    """Requests bodies, and collects them or reports that they do not come."""

    def __init__(self, timers: TimerService, metrics: Metrics) -> None:
        """Create a receiver.

        Args:
            timers: Limit the wait for bodies.
            metrics: Counts the bodies that have arrived or are missing.
        """
        self._timers = timers
        self._metrics = metrics
        # The ids are random: a peer may still send a body that it was asked
        # for by an earlier process of this node.
        self._transfers_by_id: dict[int, _Transfer] = {}
        self._log = get_logger('bodies')

    @property
    def held_bytes(self) -> int:
        """The bytes of bodies that have not arrived completely."""
        transfers = self._transfers_by_id.values()
        return sum(transfer.body.received for transfer in transfers)

    def request(
        self,
        connection: PeerConnection,
        call: Call,
        expires_at: float,
        on_complete: Callable[[bytes], None],
        on_missing: Callable[[], None],
    ) -> int:
        """Request the body of a call from its entry node.

        Args:
            connection: The connection that the call came on.
            call: The call.
            expires_at: The deadline of the call, in seconds.
            on_complete: Called with the body, unless it is dropped before.
            on_missing: Called if it does not arrive in time or its connection
                ends, unless it is dropped before.

        Returns:
            The id of the transfer, for ``drop``.
        """
        transfer = _Transfer(
            randbits(_TRANSFER_BITS),
            connection.member_id,
            call,
            IncomingBody(call.body_size),
            expires_at,
            on_complete,
            on_missing,
            progressed_at=self._timers.clock.now(),
        )
        self._transfers_by_id[transfer.id] = transfer
        self._schedule_check(transfer)
        connection.send(BodyRequest(call.id, transfer.id, BODY_WINDOW))
        return transfer.id

    def drop(self, transfer_id: int) -> None:
        """Stop to expect a body; idempotent. Later pieces are ignored."""
        transfer = self._transfers_by_id.pop(transfer_id, None)
        if transfer is None:
            return
        if transfer.timer is not None:
            transfer.timer.cancel()
        if transfer.connection is not None:
            transfer.connection.on_cancel_by_id.pop(transfer_id, None)

    def on_piece(self, connection: PeerConnection, piece: BodyPiece) -> None:
        """Add a piece to its body.

        Raises:
            MessageError: The piece does not fit there.
        """
        transfer = self._transfers_by_id.get(piece.id)
        if transfer is None or connection.member_id != transfer.peer:
            return
        if transfer.connection is None:
            transfer.connection = connection
            connection.on_cancel_by_id[piece.id] = lambda _: self._give_up(
                transfer, 'connection ended'
            )
        if transfer.connection is not connection:
            raise MessageError('body continues on another connection')
        body = transfer.body
        body.add(piece)
        transfer.progressed_at = self._timers.clock.now()
        connection.send(
            BodyProgress(piece.id, body.received, body.received + BODY_WINDOW)
        )
        if body.is_complete:
            self.drop(transfer.id)
            self._metrics.counts['bodies_received'] += 1
            transfer.on_complete(body.take())

    def _schedule_check(self, transfer: _Transfer) -> None:
        left = self._seconds_left(transfer)
        transfer.timer = self._timers.after(
            max(0, left), lambda: self._check(transfer)
        )

    def _check(self, transfer: _Transfer) -> None:
        if self._seconds_left(transfer) > 0:
            self._schedule_check(transfer)
        else:
            self._give_up(transfer, 'late')

    def _seconds_left(self, transfer: _Transfer) -> float:
        """Return the seconds until a body without progress is given up."""
        stalls_at = transfer.progressed_at + _STALL_TIMEOUT
        return min(transfer.expires_at, stalls_at) - self._timers.clock.now()

    def _give_up(self, transfer: _Transfer, reason: str) -> None:
        if transfer.id not in self._transfers_by_id:
            return
        self.drop(transfer.id)
        self._metrics.counts['bodies_missing'] += 1
        self._log.info(
            'body not received',
            correlation=transfer.call.correlation,
            node=transfer.peer,
            received=transfer.body.received,
            size=transfer.body.size,
            reason=reason,
        )
        transfer.on_missing()
