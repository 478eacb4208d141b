"""Spreads the news that a reader's copy is what the store has."""

from __future__ import annotations

from math import isqrt
from typing import TYPE_CHECKING, Protocol

from bluebellsill.gossip_messages import Confirmation, version_of

if TYPE_CHECKING:
    from bluebellsill.clock import Clock
    from bluebellsill.membership import Members
    from bluebellsill.messages import Message
    from bluebellsill.reading_order import ReadingOrder
    from bluebellsill.revision_replication import Replica
    from bluebellsill.view_age import ViewAge

__all__ = ('Confirmations', 'DatagramSender')

_MAX_RECEIVERS = 64  # nodes of a zone to which one node sends directly
_MIN_GAIN = (
    0.1  # seconds by which a confirmation is newer than the last relayed
)
_MS_PER_SECOND = 1000


class DatagramSender(Protocol):
    """Sends datagrams to other nodes."""

    def send(self, address: str, message: Message) -> None:
        """Send one datagram."""


class Confirmations:
    """Sends and relays confirmations, and notes them in the view's age.

    A reader sends to the nodes of its zone and to the readers of the other
    zones, which relay to theirs. In a large zone the nodes relay once more, so
    that nobody sends more than about twice the square root of its size.
    """

    def __init__(
        self,
        sender: DatagramSender,
        members: Members,
        order: ReadingOrder,
        replica: Replica,
        clock: Clock,
        view: ViewAge,
    ) -> None:
        """Create the task of one node.

        Args:
            sender: Sends the datagrams.
            members: The nodes.
            order: Tells which of them are readers.
            replica: The copy whose version is sent and compared.
            clock: The clock of the view's age.
            view: The age of this node's view.
        """
        self._sender = sender
        self._members = members
        self._order = order
        self._replica = replica
        self._clock = clock
        self._view = view
        self._relayed_until = float('-inf')  # the latest one sent on

    def publish(self, at: float) -> None:
        """Confirm the views of all nodes, as the store has answered this one.

        Args:
            at: When the store is known to have had nothing newer, in seconds.
        """
        own = self._members.own
        if self._view.confirm(at, own.id) and self._is_gain(at):
            others = [one for one in self._order.readers() if one != own.id]
            self._send(own.id, at, [*self._zone_receivers(), *others])

    def on_message(self, message: Confirmation, received_since: float) -> None:
        """Note a confirmation, unless this node lacks what it confirms.

        A reader that is behind this node has missed a change, and cannot
        confirm that there are no others.

        Args:
            message: The confirmation.
            received_since: The earliest time in seconds at which the datagram
                may have arrived. It may have waited while the process was
                paused.
        """
        version = version_of(message)
        is_behind = version.position < self._replica.version.position
        if is_behind or self._replica.lacks(version):
            return
        at = received_since - max(0, message.age_ms) / _MS_PER_SECOND
        if self._view.confirm(at, message.reader_id) and self._is_gain(at):
            self._send(message.reader_id, at, self._relay_receivers(message))

    def _is_gain(self, at: float) -> bool:
        if at - self._relayed_until < _MIN_GAIN:
            return False
        self._relayed_until = at
        return True

    def _send(self, reader_id: str, at: float, receivers: list[str]) -> None:
        version = self._replica.version
        age = self._clock.now() - at
        message = Confirmation(
            self._members.own.id,
            reader_id,
            int(age * _MS_PER_SECOND) + 1,
            version.position.revision,
            version.position.epoch,
            version.document,
        )
        for receiver in receivers:
            self._sender.send(receiver, message)

    def _relay_receivers(self, message: Confirmation) -> list[str]:
        """Return the nodes that rely on this one for a confirmation."""
        own = self._members.own
        reader = self._members.by_id.get(message.reader_id)
        is_of_zone = reader is not None and reader.zone == own.zone
        if self._order.is_reader and not is_of_zone:
            return self._zone_receivers()
        return self._group()

    def _zone_receivers(self) -> list[str]:
        """Return the nodes to which the zone's reader sends."""
        ids, size = self._zone_groups()
        heads = [one for one in ids[::size] if one != self._members.own.id]
        return [*heads, *self._group()]

    def _group(self) -> list[str]:
        """Return the nodes to which this one relays as a head of a group."""
        ids, size = self._zone_groups()
        own_id = self._members.own.id
        if size == 1 or own_id not in ids[::size]:
            return []
        first = ids.index(own_id) + 1
        return ids[first : first + size - 1]

    def _zone_groups(self) -> tuple[list[str], int]:
        """Return the nodes of this zone in order, and the size of a group."""
        live = self._members.live_in_zone(self._members.own.zone)
        ids = sorted(one.id for one in live)
        return ids, 1 if len(ids) <= _MAX_RECEIVERS else isqrt(len(ids))
