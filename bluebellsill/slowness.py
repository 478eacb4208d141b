"""How much longer work takes at a target now, by the target's own word."""

from __future__ import annotations

from math import exp

__all__ = ('USUAL', 'Slowness')

USUAL = 1.0  # work takes as long as usual
_SLOW = 1.5  # times as long as usual counts as slow
_FRESH = 0.01  # seconds; spells last some 0.15 s, so few change within it
_FRESH_SLOW = 0.02  # seconds; who waits for the end of a spell asks rarer
_FIRST_SPELL = 0.15  # seconds; the brief's load shifts in milliseconds
_SPELL_WEIGHT = 0.2  # of a new spell in the average
_SHARE_LIFETIME = 3.0  # seconds over which the share of slow time is averaged


class Slowness:
    """Follows the spells in which neighbours slow a target down.

    Work keeps the pace that it starts with, so what counts is the moment
    of the start: a moment's wait can save several times the work.
    """

    def __init__(self) -> None:
        """Create the slowness of a target that has not said anything."""
        self.factor = USUAL
        self.spell = _FIRST_SPELL
        self.share: float = 0
        self._said_at: float | None = None
        self._slow_since: float | None = None

    @property
    def is_slow(self) -> bool:
        """Whether work takes much longer than usual."""
        return self.factor >= _SLOW

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
        if self._said_at is not None:
            kept = exp(-max(0, now - self._said_at) / _SHARE_LIFETIME)
            self.share = kept * self.share + (1 - kept) * self.is_slow
        self.factor = factor
        self._said_at = now
        if self.is_slow:
            if self._slow_since is None:
                self._slow_since = now
        elif self._slow_since is not None:
            length = now - self._slow_since
            self.spell += _SPELL_WEIGHT * (length - self.spell)
            self._slow_since = None

    @property
    def usual_delay(self) -> float:
        """Seconds for which a slot that is freed waits for a spell's end."""
        return self.share * self.spell

    def gains_by_waiting(self, work: float) -> bool:
        """Return whether work ends sooner if it waits for the spell's end.

        Args:
            work: The seconds that it usually takes.
        """
        return self.is_slow and work * self.factor > self.spell + work
