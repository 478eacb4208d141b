"""How much longer work takes at a target now, by the target's own word."""

from __future__ import annotations

from collections import deque
from math import exp

__all__ = ('USUAL', 'Slowness')

USUAL = 1.0  # work takes as long as usual
_SLOW = 1.5  # times as long as in a calm moment counts as slow
_FRESH = 0.01  # seconds; spells last some 0.15 s, so few change within it
_FRESH_SLOW = 0.02  # seconds; who waits for the end of a spell asks rarer
# Seconds between two words of the target beyond which nobody knows whether
# one spell lasted all the while.
_MAX_GAP = 0.05
_FIRST_SPELL = 0.15  # seconds; the brief's load shifts in milliseconds
_FIRST_ENDS = 2  # ends of spells that the first guess counts for
_MEMORY = 10.0  # seconds of spells after which an old one counts for a third
_SHARE_LIFETIME = 3.0  # seconds over which the share of slow time is averaged
_CALM_MEMORY = 3.0  # seconds; a calm moment is seen sooner than that


class Slowness:
    """Follows the spells in which neighbours slow a target down.

    Work keeps the pace that it starts with, so what counts is the moment
    of the start: a moment's wait can save several times the work. Slow
    means slower than the target's calm moments: a cold one is slower all
    the time, and waiting for that to end would waste it.
    """

    def __init__(self) -> None:
        """Create the slowness of a target that has not said anything."""
        self.factor = USUAL
        self.share: float = 0
        self._said_at: float | None = None
        self._slow_seconds = _FIRST_ENDS * _FIRST_SPELL
        self._ends: float = _FIRST_ENDS
        self._lately: deque[tuple[float, float]] = deque()

    @property
    def calm_factor(self) -> float:
        """How many times longer than usual work takes in calm moments."""
        return min((factor for _, factor in self._lately), default=USUAL)

    @property
    def excess(self) -> float:
        """How many times longer than in a calm moment work takes now."""
        return self.factor / self.calm_factor

    @property
    def is_slow(self) -> bool:
        """Whether work takes much longer than in a calm moment."""
        return self.excess >= _SLOW

    @property
    def expected_rest(self) -> float:
        """Seconds until a spell ends, whenever it began.

        The time spent in spells over their ends, counted only where the
        target was asked often: its answers alone are too rare to tell when
        a spell began and ended, and make it look several times as long.
        """
        return self._slow_seconds / self._ends

    def is_fresh(self, now: float) -> bool:
        """Return whether what the target said last still holds."""
        if self._said_at is None:
            return False
        lifetime = _FRESH_SLOW if self.is_slow else _FRESH
        return now - self._said_at < lifetime

    def observe(self, factor: float, now: float) -> None:
        """Take in what the target says.

        Args:
            factor: How many times longer than usual work takes.
            now: The time in seconds.
        """
        was_slow = self.is_slow
        gap = 0 if self._said_at is None else max(0, now - self._said_at)
        self.factor = factor
        self._said_at = now
        self._note_calm(factor, now)
        kept = exp(-gap / _SHARE_LIFETIME)
        self.share = kept * self.share + (1 - kept) * was_slow
        if was_slow and gap <= _MAX_GAP:
            self._note_spell(gap)

    def forget_calm(self) -> None:
        """The target has turned cold or warm: its calm pace is another."""
        self._lately.clear()

    @property
    def usual_delay(self) -> float:
        """Seconds for which a slot that is freed waits for a spell's end."""
        return self.share * self.expected_rest

    def gains_by_waiting(self, work: float) -> bool:
        """Return whether work ends sooner if it waits for the spell's end.

        Args:
            work: The seconds that it takes from a calm moment on.
        """
        return self.is_slow and self.costs(work) > self.expected_rest

    def costs(self, work: float) -> float:
        """Return the seconds that a start now takes longer than a calm one.

        Args:
            work: The seconds that it takes from a calm moment on.
        """
        return work * (self.excess - 1)

    def _note_calm(self, factor: float, now: float) -> None:
        while self._lately and self._lately[0][0] < now - _CALM_MEMORY:
            self._lately.popleft()
        while self._lately and self._lately[-1][1] >= factor:
            self._lately.pop()
        self._lately.append((now, factor))

    def _note_spell(self, seconds: float) -> None:
        kept = exp(-seconds / _MEMORY)
        self._slow_seconds = kept * self._slow_seconds + seconds
        self._ends = kept * self._ends + (not self.is_slow)
