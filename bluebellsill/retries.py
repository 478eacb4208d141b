"""Limits retries to a share of the calls."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp

__all__ = ('DEFAULT_BUDGET_RULES', 'BudgetRules', 'RetryBudget')


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """The parameters of a retry budget, which works like a token bucket.

    Attributes:
        deposit: Retries that each call adds.
        initial: Retries that a new budget holds.
        cap: The most retries that a budget can hold.
        per_second: Retries added each second.
        refused_cost: The cost of a retry after a refusal that no target
            has seen, in retries.
        lifetime: Time constant in seconds of the exponential decay of what
            a budget holds, None for no decay.
    """

    deposit: float = 0.2
    initial: float = 10.0
    cap: float = 50.0
    per_second: float = 0
    refused_cost: float = 0.25
    lifetime: float | None = None


DEFAULT_BUDGET_RULES = BudgetRules()
_DISPATCHED_COST = 1.0  # retries


class RetryBudget:
    """Allows retries for a share of calls, so they do not amplify overload."""

    def __init__(
        self, rules: BudgetRules = DEFAULT_BUDGET_RULES, now: float = 0
    ) -> None:
        """Create a budget with its initial retries at a time in seconds."""
        self.rules = rules
        self._available = rules.initial
        self._updated_at = now

    def on_call(self) -> None:
        """Add the deposit of a new call."""
        self._add(self.rules.deposit)

    def refill(self, now: float) -> None:
        """Apply the decay and the retries added since the last update."""
        seconds = max(0, now - self._updated_at)
        self._updated_at = now
        lifetime = self.rules.lifetime
        if lifetime is not None:
            kept = exp(-seconds / lifetime)
            self._available *= kept
            # The retries added in this time decay too.
            seconds = lifetime * (1 - kept)
        self._add(self.rules.per_second * seconds)

    def take(self, *, was_dispatched: bool) -> bool:
        """Return whether a retry is allowed, and charge its cost.

        Args:
            was_dispatched: Whether a target may have seen the failed attempt.
        """
        cost = _DISPATCHED_COST if was_dispatched else self.rules.refused_cost
        if self._available < cost:
            return False
        self._available -= cost
        return True

    def _add(self, retries: float) -> None:
        self._available = min(self.rules.cap, self._available + retries)
