"""Limits the rate at which requests are started at a cold target."""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass

__all__ = ('STRICT_COLD_RATE', 'ColdRateAllowance', 'StartRateLimiter')

_SECOND = 1.0  # seconds; cold targets state their rate in requests a second
# Seconds by which the delay between a start and its arrival at the target
# varies at most: a new connection takes some milliseconds, a busy node longer.
_JITTER = 0.05
_WINDOW = _SECOND + _JITTER  # seconds
# Seconds for which starts are limited after the stated end of a cold period.
# Targets state the time left in whole milliseconds, rounded down, and calls that
# wait for the end start together.
_END_MARGIN = 0.01


@dataclass(frozen=True, slots=True)
class ColdRateAllowance:
    """How far a platform lets nodes exceed the rate a cold target states.

    Attributes:
        factor: Multiplies the stated rate.
        slack: Requests a second allowed in addition.
    """

    factor: float = 1
    slack: float = 0

    def per_second(self, stated: float) -> float:
        """Return the starts a second that a stated rate allows."""
        return self.factor * stated + self.slack


STRICT_COLD_RATE = ColdRateAllowance()


class StartRateLimiter:
    """Limits the starts in any one second while a target is cold."""

    def __init__(self) -> None:
        """Create the limiter of a warm target."""
        self.cold_until: float = 0
        self.per_second: float = 0
        self._starts: deque[float] = deque()

    def limit_until(self, cold_until: float, per_second: float) -> None:
        """Limit the starts until the stated end of a cold period.

        Args:
            cold_until: When the target is warm as it states, in seconds.
            per_second: The starts a second until then.
        """
        self.cold_until = cold_until + _END_MARGIN
        self.per_second = per_second

    def is_cold(self, now: float) -> bool:
        """Return whether starts are limited now."""
        return now < self.cold_until

    def on_start(self, now: float) -> None:
        """Count a start, also while warm: the target may turn cold next."""
        insort(self._starts, now)
        self._drop_old_starts(now)

    def move_start(self, counted_at: float, now: float) -> float:
        """Count a start anew that did not take place when it was counted.

        It is counted at once, also if it is later than now, so that no other
        call takes its turn.

        Args:
            counted_at: When it was counted, in seconds.
            now: The time in seconds.

        Returns:
            The seconds until it is allowed.
        """
        if counted_at in self._starts:
            self._starts.remove(counted_at)
        wait = self.wait(now)
        self.on_start(now + wait)
        return wait

    def wait(self, now: float) -> float:
        """Return the seconds until another start is allowed."""
        if not self.is_cold(now):
            return 0
        self._drop_old_starts(now)
        allowed = max(1, int(self.per_second))
        if len(self._starts) < allowed:
            return 0
        due = self._starts[-allowed] + _WINDOW
        return max(0, min(due, self.cold_until) - now)

    def _drop_old_starts(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - _WINDOW:
            self._starts.popleft()
