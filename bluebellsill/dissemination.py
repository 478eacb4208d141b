"""Which records of members are passed on with the next datagram."""

from __future__ import annotations

from heapq import nsmallest
from math import ceil, log2
from typing import TYPE_CHECKING

from bluebellsill.membership import MemberState

if TYPE_CHECKING:
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members

__all__ = ('MAX_UPDATES', 'Dissemination')

MAX_UPDATES = 12  # records in one datagram
_RETRANSMIT_FACTOR = 3  # times the logarithm of the members, as SWIM has it


class Dissemination:
    """Passes each record on a few times, the least often sent ones first."""

    def __init__(self, members: Members) -> None:
        """Create a dissemination of ``members`` with nothing to pass on."""
        self._members = members
        self._sent_by_id: dict[str, int] = {}

    @property
    def backlog(self) -> int:
        """The datagrams that would take all records once."""
        return len(self._sent_by_id) // MAX_UPDATES

    def add(self, member_id: str) -> None:
        """Pass a member's record on from now."""
        self._sent_by_id[member_id] = 0

    def take(self, about: str) -> list[Member]:
        """Return the records for one datagram and count them as sent.

        Args:
            about: The receiver; it hears of it if it is suspected.
        """
        limit = _RETRANSMIT_FACTOR * ceil(log2(len(self._members.by_id) + 1))
        fresh = nsmallest(
            MAX_UPDATES,
            self._sent_by_id.items(),
            key=lambda pair: pair[1],
        )
        updates: list[Member] = []
        subject = self._members.by_id.get(about)
        if subject is not None and subject.state >= MemberState.SUSPECT:
            # A suspected member must hear of it to refute it.
            updates.append(subject)
        for member_id, sent in fresh:
            record = self._members.by_id.get(member_id)
            if record is None or sent + 1 >= limit:
                del self._sent_by_id[member_id]
            else:
                self._sent_by_id[member_id] = sent + 1
            if record is not None and record is not subject:
                updates.append(record)
        return updates
