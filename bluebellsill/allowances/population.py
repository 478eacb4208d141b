"""How many nodes there are, and which share of them this node can see."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.allowances.sliding_minimum import SlidingMinimum
from bluebellsill.membership import GONE_RETENTION, MemberState

if TYPE_CHECKING:
    from collections.abc import Iterator

    from bluebellsill.gossip_messages import Member

__all__ = ('Population', 'is_candidate', 'is_same_run')

# Seconds after the start of a node in which it knows too few nodes to tell its
# share of them, and seconds for which no further one must have appeared.
_MIN_AGE = 1.5
_QUIET_PERIOD = 1.0
# Seconds after which a higher share counts. When a partition heals, the shares
# of both sides rise before all nodes agree on one grantor.
_RISE_DELAY = 3.0
# Both sides of a partition find the nodes of the other one within some seconds,
# one after the other. While this goes on, none uses more than half of a rate. It
# begins with two nodes, or with 3 in 100 of them, that are lost in the period.
_LOSS_PERIOD = 3.0
_MIN_LOST = 2
_MIN_LOST_SHARE = 0.03
_HALF = 0.5
_PEER_COUNT_LIFETIME = 10.0  # seconds for which the count of a peer is used

_LIVE = frozenset((MemberState.JOINING, MemberState.READY, MemberState.LEAVING))
# A node that rejoins increases its incarnation by one, and a restarted one by
# the milliseconds since its former start.
_MAX_REJOINS = 1000
_CANDIDATES = frozenset((MemberState.JOINING, MemberState.READY))


def is_candidate(record: Member | None) -> bool:
    """Return whether a member may be a grantor."""
    return record is not None and record.state in _CANDIDATES


def is_same_run(former: Member | None, record: Member) -> bool:
    """Return whether a member has not been restarted."""
    return (
        former is not None
        and record.incarnation - former.incarnation < _MAX_REJOINS
    )


class _Absence:
    """A node that is no candidate."""

    __slots__ = ('is_lost', 'since')

    def __init__(self, since: float) -> None:
        """Create the absence of a node that is not lost, but leaves."""
        self.since = since
        self.is_lost = False


class Population:
    """Counts the nodes from the changes of their membership records.

    A node counts as known while it is live, suspected, or gone without a
    graceful leave within the last 900 s. Each side of a partition therefore
    knows the nodes of the other one.
    """

    def __init__(self, now: float) -> None:
        """Start to count at the start of this node."""
        self._started_at = now
        self._grew_at = now
        self._settled_at: float | None = None
        self._live = 0
        self._lost = 0
        self._absences: dict[str, _Absence] = {}
        self._share = SlidingMinimum(_RISE_DELAY)
        self._lost_before = SlidingMinimum(_LOSS_PERIOD)
        self._peer_count = 0
        self._peer_count_at: float = 0

    @property
    def count(self) -> int:
        """The nodes that this node knows of by itself."""
        return self._live + self._lost

    def on_change(
        self, former: Member | None, record: Member, now: float
    ) -> None:
        """Count a changed or new record of a member."""
        count = self.count
        was_live = former is not None and former.state in _LIVE
        self._live += (record.state in _LIVE) - was_live
        if is_candidate(record):
            self._end_absence(record.id)
        else:
            self._note_absence(former, record, now)
        if self.count > count:
            self._grew_at = now
        self._update_share(now)

    def on_peer_count(self, count: int, now: float) -> None:
        """Use the count of a peer if it is higher.

        A node that restarts learns nothing of nodes that were gone before.
        """
        is_old = now - self._peer_count_at > _PEER_COUNT_LIFETIME
        if count >= self._peer_count or is_old:
            self._peer_count = count
            self._peer_count_at = now
            self._update_share(now)

    def settled_at(self, now: float) -> float | None:
        """Return since when this node knows enough nodes, None if not yet."""
        if self._settled_at is None:
            quiet_at = self._grew_at + _QUIET_PERIOD
            settles_at = max(self._started_at + _MIN_AGE, quiet_at)
            if now >= settles_at:
                self._settled_at = settles_at
        return self._settled_at

    def known(self, now: float) -> int:
        """Return the number of known nodes, at least 1."""
        self._purge(now)
        if now - self._peer_count_at > _PEER_COUNT_LIFETIME:
            self._peer_count = 0
        return max(1, self.count, self._peer_count)

    def share(self, now: float) -> float:
        """Return the share of the known nodes that is live.

        A higher share counts after some seconds only. While many nodes are
        being lost, the share is at most a half.
        """
        self._update_share(now)
        share = self._share.minimum(now)
        recently_lost = self._lost - self._lost_before.minimum(now)
        threshold = max(_MIN_LOST, _MIN_LOST_SHARE * self.known(now))
        return min(share, _HALF) if recently_lost >= threshold else share

    def absences(self) -> Iterator[tuple[str, float]]:
        """Return the nodes that are no candidates, and since when."""
        return ((one, gap.since) for one, gap in self._absences.items())

    def _update_share(self, now: float) -> None:
        self._share.update(self._live / self.known(now), now)
        self._lost_before.update(self._lost, now)

    def _note_absence(
        self, former: Member | None, record: Member, now: float
    ) -> None:
        absence = self._absences.get(record.id)
        if absence is None:
            absence = _Absence(now)
            self._absences[record.id] = absence
        is_lost = record.state == MemberState.SUSPECT or (
            record.state == MemberState.GONE and not _has_left(former, record)
        )
        self._lost += is_lost - absence.is_lost
        absence.is_lost = is_lost

    def _end_absence(self, member_id: str) -> None:
        absence = self._absences.pop(member_id, None)
        if absence is not None:
            self._lost -= absence.is_lost

    def _purge(self, now: float) -> None:
        """Drop absences past the retention; the oldest ones come first."""
        while self._absences:
            member_id, absence = next(iter(self._absences.items()))
            if now - absence.since <= GONE_RETENTION:
                return
            self._end_absence(member_id)


def _has_left(former: Member | None, record: Member) -> bool:
    """Return whether a member that is gone has left gracefully.

    Only a member itself increases its version, so it has completed its exit.
    """
    return (
        former is not None
        and former.state == MemberState.LEAVING
        and record.version > former.version
    )
