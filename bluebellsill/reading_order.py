"""The order in which nodes ask the store, derived from the members."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.rendezvous import rank

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members

__all__ = ('ReadingOrder',)

# Seconds. The first reader keeps the views of all nodes younger than this, the
# others take over one after another. Between them lies the loss of one datagram.
_FIRST_PATIENCE = 0.4
_READER_PATIENCE = 0.9
# Seconds after which a node that is no reader asks. A change has to be in force
# within 2 s although the store stopped answering all readers just before it.
_STANDBY_PATIENCE = 1.2
_STEP = 0.1  # seconds between the turns of two nodes
_READER_STEPS = 2  # readers beyond the second that have a turn of their own
_STANDBY_STEPS = 2  # nodes of a zone beyond its second with a turn of their own
_MAX_JITTER = 0.2  # seconds over which the turns of all others are spread


class ReadingOrder:
    """Ranks the nodes of each zone, and the readers of all zones.

    The first node of a zone is its reader, the first reader asks the store on
    behalf of all nodes. Nodes that have lost the store come last. Everyone
    else waits for its turn, and asks only if nobody before it has been
    answered. No agreement is needed: with different views of the members, two
    nodes ask, or all wait for the turn after.
    """

    def __init__(self, members: Members, random: Random) -> None:
        """Create the order of ``members``."""
        self._members = members
        self._jitter = random.uniform(0, _MAX_JITTER)
        self._zones = {members.own.zone}
        self._ranked_by_zone: dict[str, list[str]] = {}
        self._readers: list[str] | None = None
        members.subscribe(self._on_change)

    @property
    def is_reader(self) -> bool:
        """Whether this node is the reader of its zone."""
        own = self._members.own
        return self.ranked(own.zone)[:1] == [own.id]

    @property
    def is_first_reader(self) -> bool:
        """Whether this node asks the store on behalf of all others."""
        return self.readers()[:1] == [self._members.own.id]

    @property
    def is_store_lost_in_zone(self) -> bool:
        """Whether a node of this node's zone has lost the store."""
        live = self._members.live_in_zone(self._members.own.zone)
        return any(one.is_store_lost for one in live)

    @property
    def patience(self) -> float:
        """The age in seconds of its view at which this node asks the store."""
        own = self._members.own
        readers = self.readers()
        if own.id in readers:
            turn = readers.index(own.id)
            if not turn:
                return _FIRST_PATIENCE
            return _READER_PATIENCE + _STEP * min(turn - 1, _READER_STEPS)
        ranked = self.ranked(own.zone)
        turn = ranked.index(own.id) if own.id in ranked else len(ranked)
        patience = _STANDBY_PATIENCE + _STEP * min(turn - 1, _STANDBY_STEPS)
        return patience + self._jitter if turn > _STANDBY_STEPS else patience

    def ranked(self, zone: str) -> list[str]:
        """Return the live nodes of a zone, its reader first."""
        found = self._ranked_by_zone.get(zone)
        if found is None:
            live = self._members.live_in_zone(zone)
            lost = [one.id for one in live if one.is_store_lost]
            others = [one.id for one in live if not one.is_store_lost]
            found = [
                *rank(zone, others, len(others)),
                *rank(zone, lost, len(lost)),
            ]
            self._ranked_by_zone[zone] = found
        return found

    def readers(self) -> list[str]:
        """Return the readers of all zones, the first one first."""
        if self._readers is None:
            firsts = [self.ranked(zone)[:1] for zone in sorted(self._zones)]
            ids = [first[0] for first in firsts if first]
            known = self._members.by_id
            usable = [one for one in ids if not known[one].is_store_lost]
            lost = [one for one in ids if known[one].is_store_lost]
            self._readers = [
                *rank('', usable, len(usable)),
                *rank('', lost, len(lost)),
            ]
        return self._readers

    def _on_change(self, known: Member | None, record: Member) -> None:
        self._zones.add(record.zone)
        self._ranked_by_zone.pop(record.zone, None)
        self._readers = None
