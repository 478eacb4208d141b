"""Selects the member records that are piggybacked on datagrams."""

from __future__ import annotations

from heapq import nsmallest
from typing import TYPE_CHECKING

from bluebellsill.membership import MemberState

if TYPE_CHECKING:
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members

__all__ = ('MAX_UPDATES', 'Dissemination')

MAX_UPDATES = 12  # records in one datagram
# Times that each member sends a record. If all that have received it send it to
# this many random members, a share of about exp(-8), 1 in 3,000, never gets it so
# (Demers et al., "Epidemic algorithms for replicated database maintenance",
# 1987), whatever their number; the regular syncs bring it to those.
_RETRANSMISSIONS = 8


class Dissemination:
    """Sends each changed record a limited number of times.

    The records that were sent least often go first.
    """

    def __init__(self, members: Members) -> None:
        """Create a dissemination of ``members`` with no pending records."""
        self._members = members
        self._sent_by_id: dict[str, int] = {}

    @property
    def backlog(self) -> int:
        """The full datagrams it takes to send each pending record once."""
        return len(self._sent_by_id) // MAX_UPDATES

    def add(self, member_id: str) -> None:
        """Start to disseminate a changed record."""
        self._sent_by_id[member_id] = 0

    def take(self, receiver: str) -> list[Member]:
        """Return the records for one datagram and count them as sent.

        Args:
            receiver: The id of the member to send to. If it is suspected or
                gone, its own record is included.
        """
        least_sent = nsmallest(
            MAX_UPDATES,
            self._sent_by_id.items(),
            key=lambda pair: pair[1],
        )
        updates: list[Member] = []
        member = self._members.by_id.get(receiver)
        if member is not None and member.state >= MemberState.SUSPECT:
            # The receiver can only refute a suspicion that it has received.
            updates.append(member)
        for member_id, sent in least_sent:
            record = self._members.by_id.get(member_id)
            if record is None or sent + 1 >= _RETRANSMISSIONS:
                del self._sent_by_id[member_id]
            else:
                self._sent_by_id[member_id] = sent + 1
            if record is not None and record is not member:
                updates.append(record)
        return updates
