"""Keeps what probes cost a target within its budget."""

from __future__ import annotations

__all__ = ('ProbeBudget',)

_MAX_SAVED = 1.0  # seconds of savings, but one probe at least


class ProbeBudget:
    """Allows a probe when its cost has been saved up.

    The budget starts empty, so that a node that is restarted again and
    again never probes more than one that runs on.
    """

    def __init__(self, cost_ms: float, budget_ms: float, now: float) -> None:
        """Start without savings.

        Args:
            cost_ms: Milliseconds that one probe costs the target.
            budget_ms: Milliseconds a second that probes may cost it.
            now: The time in seconds.
        """
        self._rate = budget_ms / cost_ms
        self._saved: float = 0
        self._at = now

    def update(self, cost_ms: float, budget_ms: float) -> None:
        """Set another cost or budget; what was saved stays."""
        self._rate = budget_ms / cost_ms

    def take(self, now: float) -> bool:
        """Return whether a probe is allowed now, and pay for it."""
        earned = (now - self._at) * self._rate
        self._at = now
        self._saved = min(max(1, _MAX_SAVED * self._rate), self._saved + earned)
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
