"""Distributes the requests of a route over services by weight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.route import Route, WeightedService

if TYPE_CHECKING:
    from random import Random

__all__ = ('WeightedRoundRobin',)

_Key = tuple[str, tuple[WeightedService, ...]]


class WeightedRoundRobin:
    """Selects the parts of each route by smooth weighted round robin.

    In any sequence of requests each part gets its share, off by one request
    at most. Each node starts at a random point of the rotation, so that
    many nodes with few requests each do not all begin with the part of the
    highest weight.
    """

    def __init__(self, random: Random) -> None:
        """Create rotations that start at points drawn from ``random``."""
        self._random = random
        self._credit_by_route: dict[_Key, list[float]] = {}

    def next(self, route: Route) -> str:
        """Return the service for the next request of a route."""
        parts = route.weighted_services
        if len(parts) == 1:
            return parts[0].service
        key = (route.name, parts)
        credit = self._credit_by_route.get(key)
        if credit is None:
            credit = [float() for _ in parts]
            self._credit_by_route[key] = credit
            total = sum(part.weight for part in parts)
            for _ in range(self._random.randrange(total)):
                self._select_next(parts, credit)
        return parts[self._select_next(parts, credit)].service

    def _select_next(
        self, parts: tuple[WeightedService, ...], credit: list[float]
    ) -> int:
        weights = [part.weight for part in parts]
        for index, weight in enumerate(weights):
            credit[index] += weight
        chosen = max(range(len(parts)), key=credit.__getitem__)
        credit[chosen] -= sum(weights)
        return chosen
