"""Chooses the target for a call from what answers told of load.

Mitzenmacher, "The power of two choices in randomized load balancing",
2001: of two random candidates the one with the lower estimate is taken,
so that old reports do not send a herd to one target.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import exp
from typing import TYPE_CHECKING

from bluebellsill.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from bluebellsill.messages import Member

__all__ = ('Router', 'TargetView')

SUBSET_SIZE = 16  # targets of one service that an entry node uses
_OWN_ZONE_SIZE = 8
_REPORT_LIFETIME = 0.05  # seconds in which a report loses most of its weight
_PEAK_LIFETIME = 1.0  # seconds in which a latency peak loses most of its weight
_FADE_LIFETIME = 2.0  # seconds in which an unconfirmed latency fades
_KEPT_SHARE = 0.9  # of an old latency at an answer right after it
_FIRST_LATENCY = 0.01  # seconds
_FIRST_PENALTY = 0.1  # seconds
_MAX_PENALTY = 2.0  # seconds


@dataclass(slots=True)
class TargetView:
    """What an entry node believes of one target.

    Attributes:
        id: The node beside the target.
        zone: The target's availability zone.
        started: When each call of this node to it began, oldest first.
        limit: The last reported limit.
        reported: The last reported load, this node's own part included.
        reported_at: When that was reported.
        latency: A moving average that jumps to peaks, in seconds.
        latency_at: When the latency was last observed.
        failures: Failures in a row.
        avoided_until: Until when the target is a last resort.
    """

    id: str
    zone: str
    started: deque[float] = field(default_factory=deque)
    limit: int = 1
    reported: int = 0
    reported_at: float = 0
    latency: float = _FIRST_LATENCY
    latency_at: float = 0
    failures: int = 0
    avoided_until: float = 0

    def cost(self, now: float) -> float:
        """Return the expected time of one more call, in seconds."""
        own = len(self.started)
        age = max(0, now - self.reported_at)
        others = max(0, self.reported - own) * exp(-age / _REPORT_LIFETIME)
        # Old observations fade, so that a target that was slow is tried again.
        faded = exp(-max(0, now - self.latency_at) / _FADE_LIFETIME)
        latency = _FIRST_LATENCY + (self.latency - _FIRST_LATENCY) * faded
        if self.started:
            # A call that is still out has taken at least this long.
            latency = max(latency, now - self.started[0])
        return latency * (own + others + 1) / self.limit

    def on_report(self, load: int, limit: int, now: float) -> None:
        """Take in the load that came with an answer or a refusal."""
        self.reported = load
        self.limit = max(1, limit)
        self.reported_at = now

    def on_latency(self, seconds: float, now: float) -> None:
        """Take in the latency of an answer: up at once, down slowly."""
        self.failures = 0
        if seconds >= self.latency:
            self.latency = seconds
        else:
            age = max(0, now - self.latency_at)
            kept = exp(-age / _PEAK_LIFETIME)
            blended = _KEPT_SHARE * kept
            self.latency = blended * self.latency + (1 - blended) * seconds
        self.latency_at = now

    def on_failure(self, now: float) -> None:
        """Avoid the target for a time that doubles with each failure."""
        penalty = min(_MAX_PENALTY, _FIRST_PENALTY * 2**self.failures)
        self.failures += 1
        self.avoided_until = now + penalty


class Router:
    """The targets of one service that this entry node uses."""

    def __init__(self, own_id: str, own_zone: str, random: Random) -> None:
        """Create a router without targets.

        Args:
            own_id: Spreads the subsets of entry nodes evenly.
            own_zone: Preferred while it is not the more loaded one.
            random: Draws the candidates.
        """
        self.views_by_id: dict[str, TargetView] = {}
        self._own_id = own_id
        self._own_zone = own_zone
        self._random = random

    def update(self, members: Collection[Member]) -> None:
        """Choose the subset among the targets that are ready.

        Args:
            members: Ready targets whose availability zones are in service.
        """
        near = [one for one in members if one.zone == self._own_zone]
        far = [one for one in members if one.zone != self._own_zone]
        chosen = self._take(near, _OWN_ZONE_SIZE)
        chosen += self._take(far, SUBSET_SIZE - len(chosen))
        old = self.views_by_id
        self.views_by_id = {
            one.id: old.get(one.id) or TargetView(one.id, one.zone)
            for one in chosen
        }

    def choose(self, tried: Collection[str], now: float) -> TargetView | None:
        """Choose the target for a call.

        Args:
            tried: Nodes that have refused or failed this call.
            now: The time in seconds.

        Returns:
            The target, or None if all have been tried.
        """
        views = [
            view for view in self.views_by_id.values() if view.id not in tried
        ]
        good = [view for view in views if view.avoided_until <= now]
        candidates = good or views
        if not candidates:
            return None
        near = [view for view in candidates if view.zone == self._own_zone]
        first = self._random.choice(near or candidates)
        second = self._random.choice(candidates)
        return second if second.cost(now) < first.cost(now) else first

    def _take(self, members: list[Member], count: int) -> list[Member]:
        if len(members) <= count:
            return members
        by_id = {member.id: member for member in members}
        return [by_id[one] for one in rank(self._own_id, by_id, count)]
