"""Learns which routes fail because their nested calls are refused."""

from __future__ import annotations

from collections import deque

__all__ = ('NestedFailures',)

_MAX_OUTCOMES = 8  # remembered for each route
_MIN_OUTCOMES = 4  # from which on a route is judged
_OUTCOME_LIFETIME = 3.0  # seconds
# Share of failures from which on a refusal is better than the attempt. At a busy
# target, another request can use the slot; at one with free slots, an attempt
# costs nothing but the second attempt that a refused client could make. With
# 0.5 for both, clients got up to 7 in 100 less than without any refusal.
_REFUSED_FROM_BUSY = 0.5
_REFUSED_FROM_FREE = 0.85
# Seconds between two requests that run although they would be refused, so
# that eight outcomes, a new estimate, take two seconds.
_TRIAL_PERIOD = 0.25
_MAX_ROUTES = 1024  # remembered at a time


class _Route:
    """The latest outcomes of one route."""

    __slots__ = ('outcomes', 'trial_at')

    def __init__(self) -> None:
        self.outcomes: deque[tuple[float, bool]] = deque(maxlen=_MAX_OUTCOMES)
        self.trial_at: float = 0

    def failing(self, now: float) -> float:
        """Return the share of failures, 0 if too few outcomes are known."""
        while self.outcomes and now - self.outcomes[0][0] > _OUTCOME_LIFETIME:
            self.outcomes.popleft()
        if len(self.outcomes) < _MIN_OUTCOMES:
            return 0
        return sum(failed for _, failed in self.outcomes) / len(self.outcomes)


class NestedFailures:
    """Decides which new requests of a route would only fail.

    A request whose nested call is refused fails after it has used its target
    and, unless it is idempotent, cannot be sent again. While that is usual for
    a route, its requests are refused before they run.
    """

    def __init__(self) -> None:
        """Create an estimator without outcomes."""
        self._by_route: dict[str, _Route] = {}

    def observe(self, route: str, *, has_failed: bool, now: float) -> None:
        """Record the answer of a target.

        Args:
            route: The route of the request.
            has_failed: Whether it failed because a nested call was refused.
            now: The time in seconds.
        """
        known = self._by_route.get(route)
        if known is None:
            if not has_failed:
                return
            if len(self._by_route) >= _MAX_ROUTES:
                self._by_route.clear()
            known = _Route()
            self._by_route[route] = known
        known.outcomes.append((now, has_failed))

    def success_share(self, route: str, now: float) -> float:
        """Return the share of a route's requests that do not fail below."""
        known = self._by_route.get(route)
        return 1 - known.failing(now) if known else 1

    def refuses(self, route: str, now: float, *, is_busy: bool) -> bool:
        """Return whether a new request would probably fail.

        It returns False for one request in each trial period, whose outcome
        shows whether the called service has recovered.

        Args:
            route: The route of the request.
            now: The time in seconds.
            is_busy: Whether the target has no free slot for the request.
        """
        known = self._by_route.get(route)
        refused_from = _REFUSED_FROM_BUSY if is_busy else _REFUSED_FROM_FREE
        if known is None or known.failing(now) < refused_from:
            return False
        if now >= known.trial_at:
            known.trial_at = now + _TRIAL_PERIOD
            return False
        return True
