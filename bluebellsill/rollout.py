"""Tracks which nodes of an availability zone have a revision in force."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from bluebellsill.gossip_messages import Applied
from bluebellsill.messages import ZoneReport
from bluebellsill.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from bluebellsill.gossip_messages import Member

__all__ = ('RolloutTracker', 'RolloutQuery', 'RolloutStatus', 'readers_of')

READERS_PER_ZONE = 2  # nodes; the zone still has a reader if one fails
_MAX_EXAMPLES = 16  # names of lagging nodes in a report


@dataclass(frozen=True, slots=True)
class RolloutStatus:
    """Whether a revision is in force everywhere.

    Attributes:
        revision: The revision that was queried.
        zones: For each availability zone the number of members, how many
            of them lag, the names of some that lag, and the number of calls
            in flight; None where no reader of the zone answered.
    """

    revision: int
    zones: dict[str, dict[str, Any] | None]

    @property
    def is_in_force(self) -> bool:
        """Whether every member of every zone has the revision in force."""
        return all(
            zone is not None and not zone['lagging']
            for zone in self.zones.values()
        )

    def document(self) -> dict[str, Any]:
        """Return the status as JSON types."""
        lagging = [
            name
            for zone in self.zones.values()
            if zone
            for name in zone['examples']
        ]
        unreachable = [
            name for name, zone in self.zones.items() if zone is None
        ]
        return {
            'condition': 'in_force' if self.is_in_force else 'rolling_out',
            'revision': self.revision,
            'lagging': lagging,
            'unreachable_zones': unreachable,
            'zones': self.zones,
        }


class RolloutQuery(Protocol):
    """Queries the readers of all zones for the progress of a rollout."""

    def query(
        self,
        revision: int,
        on_done: Callable[[RolloutStatus], None],
    ) -> None:
        """Query all zones and pass the combined status to a callback."""


def readers_of(zone: str, member_ids: Collection[str]) -> list[str]:
    """Return the nodes that read the store for an availability zone.

    Each node derives the readers from its own view of the members. The
    nodes need no agreement, as more readers than necessary do no harm.
    """
    return rank(f'reader:{zone}', member_ids, READERS_PER_ZONE)


class RolloutTracker:
    """The revisions that the nodes of one zone reported to this reader."""

    def __init__(self) -> None:
        """Create a rollout without reports from any node."""
        self._applied_by_id: dict[str, Applied] = {}

    def on_applied(self, applied: Applied) -> None:
        """Record the revision of a node, ignoring outdated messages."""
        known = self._applied_by_id.get(applied.member_id)
        if known is None or _report_order(applied) >= _report_order(known):
            self._applied_by_id[applied.member_id] = applied

    def report(
        self,
        request_id: int,
        zone: str,
        revision: int,
        members: Collection[Member],
    ) -> ZoneReport:
        """Report how many members have a revision in force.

        Args:
            request_id: The request that the report answers.
            zone: The availability zone.
            revision: The revision that is queried.
            members: The zone's members that are not gone.
        """
        ids = {member.id for member in members}
        for member_id in tuple(self._applied_by_id):
            if member_id not in ids:
                del self._applied_by_id[member_id]
        lagging = [
            member.id
            for member in members
            if not self._has_applied(member, revision)
        ]
        examples = sorted(lagging)[:_MAX_EXAMPLES]
        in_flight = sum(
            applied.in_flight for applied in self._applied_by_id.values()
        )
        return ZoneReport(
            request_id,
            zone,
            len(ids),
            len(lagging),
            examples,
            in_flight,
        )

    def _has_applied(self, member: Member, revision: int) -> bool:
        applied = self._applied_by_id.get(member.id)
        if applied is None or applied.incarnation != member.incarnation:
            return False
        return applied.revision >= revision


def _report_order(applied: Applied) -> tuple[int, int]:
    return applied.incarnation, applied.revision
