"""Who grants the tokens of each team."""

from __future__ import annotations

from bisect import insort
from collections import OrderedDict
from dataclasses import dataclass
from math import inf
from typing import TYPE_CHECKING

from bluebellsill.allowances.population import is_candidate, is_same_run
from bluebellsill.rendezvous import rank, weight

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bluebellsill.allowances.population import Population
    from bluebellsill.gossip_messages import Member

__all__ = ('Grantors', 'Tenure')

_MAX_TEAMS = 4096  # with a kept ranking; those not used for longest are dropped
# Members that are kept of a ranking. When the first ones leave, the next ones
# are known without a new ranking of all members.
_MAX_RANKED = 8
# Seconds after which a new or restarted member may be a grantor. It needs them to learn of
# the other members, and they hide the delay with which these learn of it.
_JOIN_DELAY = 2.0
_CONTEST_MARGIN = 1.0  # seconds by which the nodes' views of that may differ


@dataclass(frozen=True, slots=True)
class Tenure:
    """A node that grants the tokens of a team.

    Attributes:
        grantor: Its id, empty if there is no candidate.
        since: Since when it has been the grantor, at the latest.
        is_contested: Whether a new member is about to take its place, so that
            some nodes may already ask that one.
    """

    grantor: str
    since: float
    is_contested: bool = False


@dataclass(slots=True)
class _Ranking:
    """The first members for a team, without a gap, highest weight first."""

    entries: list[tuple[int, str]]
    since: float
    contested_at: float = -inf


class Grantors:
    """Ranks the live members for each team by rendezvous hashing.

    A change of a member costs one hash for each team with a kept ranking. All
    members are ranked only for a team that has none, or once all members of
    a kept one have left.

    Attributes:
        before_lookup: Called with the time before each look-up, to pass on
            changes of members that are due.
    """

    def __init__(
        self,
        own_id: str,
        members: Callable[[], Iterable[Member]],
        population: Population,
        now: float,
    ) -> None:
        """Create a table without rankings.

        Args:
            own_id: The id of this node.
            members: Returns the records of all members.
            population: Tells when this node knows enough members.
            now: The time in seconds.
        """
        self.before_lookup: Callable[[float], None] | None = None
        self._own_id = own_id
        self._members = members
        self._population = population
        self._rankings: OrderedDict[str, _Ranking] = OrderedDict()
        # When each new member becomes a candidate, in the order of the times.
        # This node becomes one once it has settled.
        self._joins_at_by_id: dict[str, float] = {}
        self._is_settled = False
        self._is_own_candidate = True
        self._own_since = now

    def __len__(self) -> int:
        """Return the number of teams with a kept ranking."""
        return len(self._rankings)

    def on_change(
        self, former: Member | None, record: Member, now: float
    ) -> None:
        """Adapt the rankings to a changed or new record of a member."""
        self._admit_joined(now)
        if record.id == self._own_id:
            self._is_own_candidate = is_candidate(record)
        was_candidate = is_candidate(former)
        is_same = is_same_run(former, record)
        if was_candidate and not (is_candidate(record) and is_same):
            self._remove(record.id, now)
        if not is_candidate(record) or (was_candidate and is_same):
            return
        if is_same or not self._is_settled:
            self._insert(record.id, now)
        else:
            self._delay_join(record.id, now + _JOIN_DELAY)

    def tenure(self, team: str, now: float) -> Tenure:
        """Return the grantor of a team."""
        ranking = self._ranking(team, now)
        first = ranking.entries[0][1] if ranking.entries else ''
        distance = abs(now - ranking.contested_at)
        return Tenure(first, ranking.since, distance < _CONTEST_MARGIN)

    def ranked(self, team: str, count: int, now: float) -> list[str]:
        """Return the grantor of a team and those that would follow it."""
        entries = self._ranking(team, now).entries
        return [member_id for _, member_id in entries[:count]]

    def _ranking(self, team: str, now: float) -> _Ranking:
        if self.before_lookup is not None:
            self.before_lookup(now)
        self._admit_joined(now)
        ranking = self._rankings.get(team)
        if ranking is None:
            entries = self._rank_all(team)
            ranking = _Ranking(entries, self._earliest(team, entries))
            self._rankings[team] = ranking
            if len(self._rankings) > _MAX_TEAMS:
                self._rankings.popitem(last=False)
        elif not ranking.entries:
            ranking.entries = self._rank_all(team)
        self._rankings.move_to_end(team)
        return ranking

    def _rank_all(self, team: str) -> list[tuple[int, str]]:
        candidates = (
            one.id
            for one in self._members()
            if is_candidate(one)
            and one.id not in self._joins_at_by_id
            and (self._is_settled or one.id != self._own_id)
        )
        return [
            (weight(team, one), one)
            for one in rank(team, candidates, _MAX_RANKED)
        ]

    def _earliest(self, team: str, entries: list[tuple[int, str]]) -> float:
        """Return when the first one may have become it, for a new ranking.

        Members that are absent now may have been the grantor before.
        """
        since = self._own_since
        for member_id, absent_since in self._population.absences():
            if not entries or (weight(team, member_id), member_id) > entries[0]:
                since = max(since, absent_since)
        return since

    def _admit_joined(self, now: float) -> None:
        if not self._is_settled:
            settled_at = self._population.settled_at(now)
            if settled_at is None:
                return
            self._is_settled = True
            if self._is_own_candidate:
                self._insert(self._own_id, settled_at)
        while self._joins_at_by_id:
            member_id, joins_at = next(iter(self._joins_at_by_id.items()))
            if joins_at > now:
                return
            del self._joins_at_by_id[member_id]
            self._insert(member_id, joins_at)

    def _delay_join(self, member_id: str, joins_at: float) -> None:
        self._joins_at_by_id[member_id] = joins_at
        for team, ranking in self._rankings.items():
            entry = (weight(team, member_id), member_id)
            if ranking.entries and entry > ranking.entries[0]:
                ranking.contested_at = joins_at

    def _insert(self, member_id: str, now: float) -> None:
        if member_id == self._own_id:
            if not self._is_settled:
                return
            self._own_since = now
        for team, ranking in self._rankings.items():
            entry = (weight(team, member_id), member_id)
            entries = ranking.entries
            if not entries or entry < entries[-1] or entry in entries:
                continue
            if entry > entries[0]:
                ranking.since = now
            insort(entries, entry, key=_descending)
            del entries[_MAX_RANKED:]

    def _remove(self, member_id: str, now: float) -> None:
        self._joins_at_by_id.pop(member_id, None)
        for ranking in self._rankings.values():
            entries = ranking.entries
            if entries and entries[0][1] == member_id:
                ranking.since = now
            ranking.entries = [one for one in entries if one[1] != member_id]


def _descending(entry: tuple[int, str]) -> int:
    return -entry[0]
