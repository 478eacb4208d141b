"""Estimates the service time of each route at one target."""

from __future__ import annotations

__all__ = ('ServiceTimes',)

_AVERAGE_WEIGHT = 0.1  # of a new answer in the moving average
_MAX_ROUTES = 1024  # averages kept at a time


class ServiceTimes:
    """Keeps a moving average of the service time of each route."""

    def __init__(self) -> None:
        """Create an estimator without answers."""
        self._seconds_by_route: dict[str, float] = {}

    def expected(self, route: str) -> float:
        """Return the average seconds of a route, 0 before the first answer."""
        return self._seconds_by_route.get(route, 0)

    def observe(self, route: str, seconds: float) -> None:
        """Record how long the target worked on a request."""
        average = self._seconds_by_route.get(route)
        if average is None:
            if len(self._seconds_by_route) >= _MAX_ROUTES:
                self._seconds_by_route.clear()
            self._seconds_by_route[route] = seconds
        else:
            self._seconds_by_route[route] = average + _AVERAGE_WEIGHT * (
                seconds - average
            )
