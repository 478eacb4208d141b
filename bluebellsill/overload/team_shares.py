"""Measures which share of each team's calls a target serves."""

from __future__ import annotations

from math import exp

__all__ = ('TeamShares',)

_LIFETIME = 10.0  # seconds over which calls are averaged
_STARVED_BELOW = 0.5  # of the share served over all teams
# Calls of a team, after decay, from which on its share is meaningful.
_MIN_CALLS = 2.0
_MAX_TEAMS = 1024  # counted at a time; a routing document has fewer


class _Count:
    """Calls and served calls of one team, with exponential decay."""

    __slots__ = ('calls', 'served', '_updated_at')

    def __init__(self, now: float) -> None:
        self.calls: float = 0
        self.served: float = 0
        self._updated_at = now

    @property
    def share(self) -> float:
        """The share of the calls that were served, 1 without calls."""
        return self.served / self.calls if self.calls else 1

    def decay(self, now: float) -> None:
        """Reduce the weight of older calls."""
        kept = exp(-max(0, now - self._updated_at) / _LIFETIME)
        self.calls *= kept
        self.served *= kept
        self._updated_at = now

    def calls_at(self, now: float) -> float:
        """Return the number of calls after decay."""
        self.decay(now)
        return self.calls

    def add(self, *, is_served: bool, now: float) -> None:
        """Count a call."""
        self.decay(now)
        self.calls += 1
        self.served += is_served


class TeamShares:
    """Counts the calls of teams that have started or were refused for good."""

    def __init__(self) -> None:
        """Create the shares of a target without calls."""
        self._all = _Count(0)
        self._by_team: dict[str, _Count] = {}

    def observe(self, team: str, *, is_served: bool, now: float) -> None:
        """Count a call; one without a team does not count."""
        if not team:
            return
        count = self._by_team.get(team)
        if count is None:
            if len(self._by_team) >= _MAX_TEAMS:
                self._by_team.clear()
            count = _Count(now)
            self._by_team[team] = count
        count.add(is_served=is_served, now=now)
        self._all.add(is_served=is_served, now=now)

    def is_starved(self, team: str) -> bool:
        """Return whether a team gets less than half of the usual share."""
        count = self._by_team.get(team)
        if count is None:
            return False
        # Decay changes no shares, so the latest counts are precise enough.
        return count.calls >= _MIN_CALLS and (
            count.share < _STARVED_BELOW * self._all.share
        )

    def lowest(self, most: int, now: float) -> dict[str, float]:
        """Return the shares of the teams that are served least."""
        known = [
            (round(one.share, 2), team)
            for team, one in self._by_team.items()
            if one.calls_at(now) >= _MIN_CALLS
        ]
        return {team: share for share, team in sorted(known)[:most]}
