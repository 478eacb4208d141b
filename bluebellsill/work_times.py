"""How long requests of each route usually take at one target."""

from __future__ import annotations

__all__ = ('WorkTimes',)

_WEIGHT = 0.1  # of a new answer in the average
_MAX_ROUTES = 1024  # remembered at a time


class WorkTimes:
    """A moving average of service times for each route."""

    def __init__(self) -> None:
        """Create an estimator that has seen no answer."""
        self._seconds_by_route: dict[str, float] = {}

    def expected(self, route: str) -> float:
        """Return the usual seconds of a route, 0 before the first answer."""
        return self._seconds_by_route.get(route, 0)

    def observe(self, route: str, seconds: float) -> None:
        """Take in how long the target worked on a request."""
        known = self._seconds_by_route.get(route)
        if known is None:
            if len(self._seconds_by_route) >= _MAX_ROUTES:
                self._seconds_by_route.clear()
            self._seconds_by_route[route] = seconds
        else:
            self._seconds_by_route[route] = known + _WEIGHT * (seconds - known)
