"""Ways to choose one target among several."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.target_view import TargetView

__all__ = (
    'Choice',
    'ChoiceName',
    'LeastReported',
    'NearestFree',
    'RandomChoice',
    'RoundRobin',
    'TwoChoices',
    'make_choice',
)


_CLEARLY = 1.3  # ratio of costs from which a difference is not chance
_TURN_BITS = 16  # of a random start, more than any number of targets
# In units of one usual answer:
# What the bytes between zones and the way there are worth: a near target is
# left only for a far one if it is known to be slow or full.
_FAR = 1.5
_LOAD_WEIGHT = 0.4  # of a full target against an empty one
_EQUAL = 0.05  # below it a difference of costs is chance
_FAILING_WEIGHT = 4  # of a target that fails everything; a spell is as bad


@unique
class ChoiceName(str, Enum):
    """The ways by their names in the settings."""

    TWO_CHOICES = 'two_choices'
    RANDOM = 'random'
    ROUND_ROBIN = 'round_robin'
    LEAST_REPORTED = 'least_reported'


class Choice(Protocol):
    """Chooses one of several targets that may all take a call."""

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the target for a call at a time in seconds."""


class TwoChoices:
    """Takes targets in turn, the own zone's first, unless one is cheaper.

    Of the next target in the own zone and the next of all, the second is
    taken only if it is clearly cheaper: reports are too old to follow each
    small difference, and an even turn spreads calls better than chance.
    """

    def __init__(self, random: Random, own_zone: str) -> None:
        """Start at a random target and prefer ``own_zone``."""
        self._own_zone = own_zone
        self._near_turn = random.getrandbits(_TURN_BITS)
        self._turn = random.getrandbits(_TURN_BITS)

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the target in turn or a clearly cheaper one."""
        near = [view for view in candidates if view.zone == self._own_zone]
        first = self._next_near(near) if near else self._next(candidates)
        second = self._next(candidates)
        is_cheaper = second.cost(now) * _CLEARLY < first.cost(now)
        return second if is_cheaper else first

    def _next_near(self, near: list[TargetView]) -> TargetView:
        self._near_turn += 1
        return near[self._near_turn % len(near)]

    def _next(self, candidates: list[TargetView]) -> TargetView:
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class RandomChoice:
    """A baseline: any target."""

    def __init__(self, random: Random) -> None:
        """Draw from ``random``."""
        self._random = random

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return a random one."""
        return self._random.choice(candidates)


class RoundRobin:
    """A baseline: each target in turn."""

    def __init__(self) -> None:
        """Start with the first target."""
        self._turn = 0

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the next one."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class LeastReported:
    """A baseline: the target whose last report told the least load."""

    def __init__(self, random: Random) -> None:
        """Break ties by ``random``."""
        self._random = random

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the one that reported the least load."""
        least = min(view.reported for view in candidates)
        return self._random.choice(
            [view for view in candidates if view.reported == least],
        )


class NearestFree:
    """Takes the target that is expected to start and end the call first.

    For targets that say how slow their VM is at the moment: work keeps the
    pace that it starts with, so a far target at its usual pace is better
    than a near one that is slowed. Among equals the own zone comes first,
    then targets in turn.
    """

    def __init__(self, random: Random, own_zone: str) -> None:
        """Start at a random target and prefer ``own_zone``."""
        self._own_zone = own_zone
        self._turn = random.getrandbits(_TURN_BITS)

    def pick(self, candidates: list[TargetView], now: float) -> TargetView:
        """Return the target with the lowest expected time."""
        costs = [self._cost(view, now) for view in candidates]
        enough = min(costs) + _EQUAL
        equals = [
            view
            for view, cost in zip(candidates, costs, strict=True)
            if cost <= enough
        ]
        self._turn += 1
        return equals[self._turn % len(equals)]

    def _cost(self, view: TargetView, now: float) -> float:
        load = view.expected_load(now)
        # Whole rounds of slots that are taken before the call has one.
        rounds = max(0, load + 1 - view.limit) / view.limit
        distance = 0 if view.zone == self._own_zone else _FAR
        return (
            view.expected_slowness(now)
            + rounds
            + distance
            + _LOAD_WEIGHT * load / view.limit
            + _FAILING_WEIGHT * view.expected_failing(now)
        )


def make_choice(name: ChoiceName, random: Random, own_zone: str) -> Choice:
    """Return the way that the settings name."""
    if name is ChoiceName.RANDOM:
        return RandomChoice(random)
    if name is ChoiceName.ROUND_ROBIN:
        return RoundRobin()
    if name is ChoiceName.LEAST_REPORTED:
        return LeastReported(random)
    return TwoChoices(random, own_zone)
