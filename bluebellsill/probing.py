"""Limits the rate of probes by what they cost the target."""

from __future__ import annotations

__all__ = ('ProbeBudget',)

_MAX_HELD_SECONDS = 1.0  # seconds of budget kept, but at least one probe


class ProbeBudget:
    """Allows a probe when the budget covers its cost, like a token bucket.

    The budget starts empty, so that a node that restarts repeatedly never
    probes more than one that keeps running.
    """

    def __init__(self, cost_ms: float, budget_ms: float, now: float) -> None:
        """Create an empty budget.

        Args:
            cost_ms: Milliseconds of the target's time that one probe takes.
            budget_ms: Milliseconds a second that probes may take.
            now: The time in seconds.
        """
        self._rate = budget_ms / cost_ms
        self._available: float = 0
        self._updated_at = now

    def update(self, cost_ms: float, budget_ms: float) -> None:
        """Change the cost or the budget; what has accumulated stays."""
        self._rate = budget_ms / cost_ms

    def take(self, now: float) -> bool:
        """Return whether a probe is allowed now, and charge its cost."""
        earned = (now - self._updated_at) * self._rate
        self._updated_at = now
        self._available = min(
            max(1, _MAX_HELD_SECONDS * self._rate), self._available + earned
        )
        if self._available < 1:
            return False
        self._available -= 1
        return True
