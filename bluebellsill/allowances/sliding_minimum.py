"""The minimum of a changing value over a recent period."""

from __future__ import annotations

from collections import deque
from math import inf

__all__ = ('SlidingMinimum',)

_STEPS = 20  # parts of the period; bounds the former values that are kept


class SlidingMinimum:
    """Follows a value down at once, and up only after a period."""

    def __init__(self, period: float) -> None:
        """Create a minimum over ``period`` seconds, without a value."""
        self._period = period
        self._current = inf
        # Former values and until when each was current. Both increase, as a
        # value that is followed by a smaller one has no effect any more.
        self._former: deque[tuple[float, float]] = deque()

    def update(self, current: float, now: float) -> None:
        """Set the value from ``now`` on."""
        ended = self._current
        self._current = current
        if current == ended:
            return
        while self._former and self._former[-1][0] >= min(ended, current):
            self._former.pop()
        if ended >= current:
            return
        step = self._period / _STEPS
        if self._former and now - self._former[-1][1] < step:
            # The smaller one of two values that ended together stands for both.
            ended = self._former.pop()[0]
        self._former.append((ended, now))

    def minimum(self, now: float) -> float:
        """Return the smallest value within the period before ``now``."""
        while self._former and self._former[0][1] < now - self._period:
            self._former.popleft()
        return self._former[0][0] if self._former else self._current
