"""Bounds retries to a share of the calls."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

__all__ = ('OWN_BUDGET', 'BudgetRules', 'RetryBudget')


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """What a budget earns and what retries cost.

    Attributes:
        deposit: Retries earned by each call.
        start: Retries that a new budget holds.
        cap: Retries that a budget holds at most.
        per_second: Retries earned by time.
        refused_cost: Of a retry after a refusal that no target has seen.
        lifetime: Seconds over which what was saved fades, None for never.
    """

    deposit: float = 0.2
    start: float = 10.0
    cap: float = 50.0
    per_second: float = 0
    refused_cost: float = 0.25
    lifetime: float | None = None


OWN_BUDGET = BudgetRules()
_DISPATCHED_COST = 1.0  # retries


class RetryBudget:
    """Lets a share of calls be tried again, so overload is not multiplied."""

    def __init__(self, rules: BudgetRules = OWN_BUDGET, now: float = 0) -> None:
        """Create a budget with a small start at a time in seconds."""
        self.rules = rules
        self._saved = rules.start
        self._at = now

    def on_call(self) -> None:
        """Earn a share of a retry by a new call."""
        self._earn(self.rules.deposit)

    def on_time(self, now: float) -> None:
        """Take in the time: some is earned by it, some of the saved fades."""
        seconds = max(0, now - self._at)
        self._at = now
        lifetime = self.rules.lifetime
        if lifetime is not None:
            kept = exp(-seconds / lifetime)
            self._saved *= kept
            # What is earned meanwhile fades too.
            seconds = lifetime * (1 - kept)
        self._earn(self.rules.per_second * seconds)

    def take(self, *, was_dispatched: bool) -> bool:
        """Return whether a retry is allowed, and pay for it.

        Args:
            was_dispatched: Whether a target may have seen the failed try.
        """
        cost = _DISPATCHED_COST if was_dispatched else self.rules.refused_cost
        if self._saved < cost:
            return False
        self._saved -= cost
        return True

    def _earn(self, retries: float) -> None:
        self._saved = min(self.rules.cap, self._saved + retries)
