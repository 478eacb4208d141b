"""Bounds retries to a share of the calls."""

from __future__ import annotations

__all__ = ('RetryBudget',)

_DEPOSIT = 0.2  # for each call
_START = 10.0
_CAP = 50.0
_REFUSED_COST = 0.25  # a refusal costs a target nothing
_DISPATCHED_COST = 1.0


class RetryBudget:
    """Lets a share of calls be tried again, so overload is not multiplied."""

    def __init__(self) -> None:
        """Create a budget with a small start."""
        self._saved = _START

    def on_call(self) -> None:
        """Earn a share of a retry by a new call."""
        self._saved = min(_CAP, self._saved + _DEPOSIT)

    def take(self, *, was_dispatched: bool) -> bool:
        """Return whether a retry is allowed, and pay for it.

        Args:
            was_dispatched: Whether a target may have run the failed try.
        """
        cost = _DISPATCHED_COST if was_dispatched else _REFUSED_COST
        if self._saved < cost:
            return False
        self._saved -= cost
        return True
