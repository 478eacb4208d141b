"""Monotonic clocks: that of the system, and a manual one."""

from __future__ import annotations

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol

__all__ = ('Clock', 'ManualClock', 'SystemClock')


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> float:
        """Return the seconds since an arbitrary point in time."""


class SystemClock:
    """The system's monotonic clock, including time spent suspended."""

    def now(self) -> float:
        """Return the seconds since the machine booted."""
        return clock_gettime(CLOCK_BOOTTIME)


class ManualClock:
    """A clock that advances only by calls to ``advance``."""

    def __init__(self, start: float = 0) -> None:
        """Start the clock at ``start`` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the current time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the clock.

        Args:
            seconds: The seconds to add; must not be negative.
        """
        self._now += seconds
