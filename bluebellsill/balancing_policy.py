"""Load-balancing policies: how one target is chosen among several."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.target_view import TargetView

__all__ = (
    'BalancingPolicy',
    'BalancingPolicyName',
    'LeastReported',
    'NearestFree',
    'RandomChoice',
    'RoundRobin',
    'TwoChoices',
    'make_balancing_policy',
)


_MIN_COST_RATIO = 1.3  # smaller differences of cost are treated as noise
_START_BITS = 16  # of a random start index; exceeds any number of targets
# Costs in units of the usual service time of one call:
# For the traffic and latency between availability zones. It is high enough
# that a target in another zone is chosen only if the local ones are known to
# be slow or full.
_OTHER_ZONE_COST = 1.5
_LOAD_WEIGHT = 0.4  # of a target at its limit, compared with an idle one
_COST_TOLERANCE = 0.05  # smaller differences are treated as noise
# Of a target that fails every call; about as bad as one that is slowed.
_FAILURE_WEIGHT = 4


@unique
class BalancingPolicyName(str, Enum):
    """The policies by their names in the settings."""

    TWO_CHOICES = 'two_choices'
    RANDOM = 'random'
    ROUND_ROBIN = 'round_robin'
    LEAST_REPORTED = 'least_reported'


class BalancingPolicy(Protocol):
    """Chooses one of several targets that are eligible for a call."""

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the target for a call at ``now``, in seconds."""

    def cost(self, view: TargetView, now: float) -> float:
        """Return what targets are compared by, 0 if by nothing."""


class TwoChoices:
    """Compares the next target in the own zone with the next one overall.

    Both candidates come from a round-robin rotation, which spreads calls
    more evenly than random draws. The second is chosen only if its cost
    is clearly lower: load reports are too old to act on small differences.
    """

    def __init__(self, random: Random, own_zone: str) -> None:
        """Start at a random target; prefer those in ``own_zone``."""
        self._own_zone = own_zone
        self._local_index = random.getrandbits(_START_BITS)
        self._index = random.getrandbits(_START_BITS)

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the next local target or a clearly cheaper one."""
        local = [view for view in candidates if view.zone == self._own_zone]
        first = self._next_local(local) if local else self._next(candidates)
        second = self._next(candidates)
        is_cheaper = second.cost(now) * _MIN_COST_RATIO < first.cost(now)
        return second if is_cheaper else first

    def cost(self, view: TargetView, now: float) -> float:
        """Return the expected latency of one more call, in seconds."""
        return view.cost(now)

    def _next_local(self, local: list[TargetView]) -> TargetView:
        self._local_index += 1
        return local[self._local_index % len(local)]

    def _next(self, candidates: list[TargetView]) -> TargetView:
        self._index += 1
        return candidates[self._index % len(candidates)]


class RandomChoice:
    """A baseline: chooses a target at random."""

    def __init__(self, random: Random) -> None:
        """Draw targets with ``random``."""
        self._random = random

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return a random target."""
        return self._random.choice(candidates)

    def cost(self, view: TargetView, now: float) -> float:
        """Return 0, as all targets are equal."""
        return 0


class RoundRobin:
    """A baseline: chooses the targets in rotation."""

    def __init__(self) -> None:
        """Start at the beginning of the rotation."""
        self._index = 0

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the next target."""
        self._index += 1
        return candidates[self._index % len(candidates)]

    def cost(self, view: TargetView, now: float) -> float:
        """Return 0, as all targets are equal."""
        return 0


class LeastReported:
    """A baseline: chooses the target that last reported the least load."""

    def __init__(self, random: Random) -> None:
        """Break ties with ``random``."""
        self._random = random

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the target that reported the least load."""
        least = min(view.other_load for view in candidates)
        return self._random.choice(
            [view for view in candidates if view.other_load == least],
        )

    def cost(self, view: TargetView, now: float) -> float:
        """Return the last reported load."""
        return view.other_load


class NearestFree:
    """Chooses the target that is expected to complete the call first.

    It suits targets that report how slow their VM is at the moment: a call
    runs to its end at the speed at which it starts, so a target in another
    zone at its usual speed is better than a local one that is slowed down.
    The own zone is preferred by a lower cost; targets of about equal cost
    take turns.
    """

    def __init__(self, random: Random, own_zone: str) -> None:
        """Start at a random target; prefer those in ``own_zone``."""
        self._own_zone = own_zone
        self._index = random.getrandbits(_START_BITS)

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return one of the targets with the lowest cost."""
        costs = [self.cost(view, now) for view in candidates]
        max_cost = min(costs) + _COST_TOLERANCE
        cheapest = [
            view
            for view, cost in zip(candidates, costs, strict=True)
            if cost <= max_cost
        ]
        self._index += 1
        return cheapest[self._index % len(cheapest)]

    def cost(self, view: TargetView, now: float) -> float:
        """Return the expected time of one more call, in usual service times."""
        load = view.expected_load(now)
        # The wait for a slot, in service times; each frees all slots once.
        wait = max(0, load + 1 - view.limit) / view.limit
        zone_cost = 0 if view.zone == self._own_zone else _OTHER_ZONE_COST
        return (
            view.expected_slowness(now)
            + wait
            + zone_cost
            + _LOAD_WEIGHT * load / view.limit
            + _FAILURE_WEIGHT * view.expected_failure_share(now)
        )


def make_balancing_policy(
    name: BalancingPolicyName, random: Random, own_zone: str
) -> BalancingPolicy:
    """Return the policy that the settings name."""
    if name is BalancingPolicyName.RANDOM:
        return RandomChoice(random)
    if name is BalancingPolicyName.ROUND_ROBIN:
        return RoundRobin()
    if name is BalancingPolicyName.LEAST_REPORTED:
        return LeastReported(random)
    return TwoChoices(random, own_zone)
