"""How many requests a second may be started at a cold target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

__all__ = ('STRICT', 'ColdRules', 'StartPace')

_SECOND = 1.0  # seconds; cold targets state what they bear a second
# Seconds by which the times of arrival differ at most from those of the
# starts: a new connection takes some milliseconds, a busy node longer.
_JITTER = 0.05
_WINDOW = _SECOND + _JITTER


@dataclass(frozen=True, slots=True)
class ColdRules:
    """By what a platform lets nodes exceed what a cold target states.

    Attributes:
        factor: Times the rate that the target states.
        slack: Requests in a second beside that.
    """

    factor: float = 1
    slack: float = 0

    def per_second(self, stated: float) -> float:
        """Return the starts in a second, by the rate that a target states."""
        return self.factor * stated + self.slack


STRICT = ColdRules()


class StartPace:
    """Bounds the starts in any second while a target is cold."""

    def __init__(self) -> None:
        """Create the pace of a target that is warm."""
        self.cold_until: float = 0
        self.per_second: float = 0
        self._starts: deque[float] = deque()

    def is_cold(self, now: float) -> bool:
        """Return whether starts are bounded now."""
        return now < self.cold_until

    def on_start(self, now: float) -> None:
        """Count a start; those of a warm target count for a cold one."""
        self._starts.append(now)
        self._forget(now)

    def wait(self, now: float) -> float:
        """Return the seconds until another start is allowed."""
        if not self.is_cold(now):
            return 0
        self._forget(now)
        allowed = max(1, int(self.per_second))
        if len(self._starts) < allowed:
            return 0
        due = self._starts[-allowed] + _WINDOW
        return max(0, min(due, self.cold_until) - now)

    def _forget(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - _WINDOW:
            self._starts.popleft()
