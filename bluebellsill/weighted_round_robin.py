"""Distributes the requests of a route over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.route import Route, Split, WeightedService

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

__all__ = ('WeightedRoundRobin',)

# Work for the random start of a rotation, in steps times parts.
_MAX_START_WORK = 1024
_MIN_START_STEPS = 16


class WeightedRoundRobin:
    """Selects the parts of each route by smooth weighted round robin.

    In any sequence of requests each part gets its share, off by one request
    at most if there are two, and hardly more if there are several. Each node
    starts at a random point of the rotation, so that many nodes with few
    requests each do not all begin with the part of the highest weight.
    """

    def __init__(self, random: Random) -> None:
        """Create rotations that start at points drawn from ``random``."""
        self._random = random
        self._credit_by_split: dict[Split, list[int]] = {}

    def next(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        split = (route.name, parts)
        credit = self._credit_by_split.get(split)
        if credit is None:
            credit = self._start(parts)
            self._credit_by_split[split] = credit
        return parts[self._select_next(parts, credit)].service

    def peek(self, route: Route) -> str | None:
        """Return what ``next`` would return, without moving on.

        None if the rotation has not started: its start is drawn at random.
        """
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        credit = self._credit_by_split.get((route.name, parts))
        if credit is None:
            return None
        return parts[self._select_next(parts, credit.copy())].service

    def retain(self, splits: Collection[Split]) -> None:
        """Forget the rotations of all other routes.

        Args:
            splits: The split routes that are in force.
        """
        self._credit_by_split = {
            split: credit
            for split, credit in self._credit_by_split.items()
            if split in splits
        }

    def _start(self, parts: tuple[WeightedService, ...]) -> list[int]:
        """Return the credits at a random point of the rotation.

        The point is not reached step by step: weights may be as large as
        operators like. It is a random number of steps after a random state in
        which each part has had its share, rounded up or down at random.
        """
        credit = self._random_credit(parts)
        most = max(_MIN_START_STEPS, _MAX_START_WORK // len(parts))
        for _ in range(self._random.randrange(most)):
            self._select_next(parts, credit)
        return credit

    def _random_credit(self, parts: tuple[WeightedService, ...]) -> list[int]:
        """Return what is due to each part at a random number of requests.

        Whose fraction of a request is rounded up is chosen by systematic
        sampling, so that the credits add up to zero and each is zero on average.
        """
        total = sum(part.weight for part in parts)
        requests = self._random.randrange(total)
        order = list(range(len(parts)))
        self._random.shuffle(order)
        credit = [0 for _ in parts]
        position = self._random.randrange(total)
        for index in order:
            fraction = requests * parts[index].weight % total
            position += fraction
            is_rounded_up = position >= total
            position -= total * is_rounded_up
            credit[index] = fraction - total * is_rounded_up
        return credit

    def _select_next(
        self, parts: tuple[WeightedService, ...], credit: list[int]
    ) -> int:
        weights = [part.weight for part in parts]
        for index, weight in enumerate(weights):
            credit[index] += weight
        chosen = max(range(len(parts)), key=credit.__getitem__)
        credit[chosen] -= sum(weights)
        return chosen
