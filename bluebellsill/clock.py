"""Clocks that the decisions read time from."""

from __future__ import annotations

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol

__all__ = ('Clock', 'ManualClock', 'SystemClock')


class Clock(Protocol):
    """A source of time that never goes back."""

    def now(self) -> float:
        """Return the time in seconds since an arbitrary start."""


class SystemClock:
    """The machine's clock, which also counts time spent suspended."""

    def now(self) -> float:
        """Return the time in seconds since the machine started."""
        return clock_gettime(CLOCK_BOOTTIME)


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start: float = 0) -> None:
        """Start the clock at ``start`` seconds."""
        self._now = start

    def now(self) -> float:
        """Return the time in seconds since the start."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward.

        Args:
            seconds: How far to move, not negative.
        """
        self._now += seconds
