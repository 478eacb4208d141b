"""The tokens of one team at an entry node."""

from __future__ import annotations

from collections import deque
from copy import copy, deepcopy
from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.teams import Allowance

__all__ = ('TokenLedger',)

# Seconds after which a token that was asked for expires. In any window, at most
# the tokens of this period are used beyond those granted within the window.
_LIFETIME = 0.4
_HOLD_PERIOD = 0.2  # seconds of the node's demand for which tokens are held
_REFILL_SHARE = 0.5  # of the tokens to hold, below which more are asked for
_DEMAND_PERIOD = 0.5  # seconds over which the demand is averaged
# The share of the rate that all nodes together use without a grantor.
_OWN_SHARE = 0.3
_MAX_WANTED = 10000  # tokens


class TokenLedger:
    """Holds the tokens of one team at one node, and what it expects to need.

    Attributes:
        allowance: The allowance of the team over all nodes.
        denied_until: Until when the grantor has no tokens for this node.
    """

    def __init__(self, allowance: Allowance, level: float) -> None:
        """Create a ledger without tokens.

        Args:
            allowance: The allowance of the team.
            level: The level of the own bucket. It differs between nodes, so
                that their buckets do not all give a token at the same time.
        """
        self.allowance = allowance
        self.denied_until: float = 0
        self._batches: deque[list[float]] = deque()  # expiry time and count
        self._demand: float = 0  # requests a second
        self._arrived_at: float = 0
        self._level = level
        self._level_at: float | None = None
        self._has_credit = True

    def tokens(self, now: float) -> int:
        """Return the number of tokens that have not expired."""
        while self._batches and self._batches[0][0] <= now:
            self._batches.popleft()
        return int(sum(count for _, count in self._batches))

    def copy(self) -> TokenLedger:
        """Return a copy that changes independently."""
        copied = copy(self)
        copied._batches = deepcopy(self._batches)
        return copied

    def change_allowance(self, allowance: Allowance) -> None:
        """Adopt an allowance; a lower one voids the tokens of the former."""
        is_lower = (
            allowance.rate < self.allowance.rate
            or allowance.burst < self.allowance.burst
        )
        if is_lower:
            self._batches.clear()
        self.allowance = allowance
        self.denied_until = 0

    def on_arrival(self, now: float) -> None:
        """Count a request."""
        kept = exp((self._arrived_at - now) / _DEMAND_PERIOD)
        self._demand = self._demand * kept + 1 / _DEMAND_PERIOD
        self._arrived_at = now

    def take(self, now: float) -> bool:
        """Use a token if there is one."""
        if not self.tokens(now):
            return False
        self._batches[0][1] -= 1
        if not self._batches[0][1]:
            self._batches.popleft()
        return True

    def add(self, count: int, asked_at: float) -> None:
        """Add tokens that were asked for at a time."""
        if count > 0:
            self._batches.append([asked_at + _LIFETIME, count])

    def wanted(self, waiting: int, now: float) -> int:
        """Return how many tokens to ask for, 0 if there are enough.

        Args:
            waiting: The number of requests that wait for tokens.
            now: The time in seconds.
        """
        held = self.tokens(now)
        to_hold = int(self._demand * _HOLD_PERIOD)
        if not waiting and held >= _REFILL_SHARE * to_hold:
            return 0
        return min(_MAX_WANTED, max(0, waiting + to_hold - held))

    def take_own(self, known: int, now: float) -> bool:
        """Use a token of the node's own bucket, if there is one.

        It is filled only in the time without a grantor, at a share of the rate
        that the nodes together never exceed.

        Args:
            known: The number of known nodes.
            now: The time in seconds.
        """
        rate = _OWN_SHARE * self.allowance.rate / known
        elapsed = 0 if self._level_at is None else now - self._level_at
        self._level = min(1, self._level + elapsed * rate)
        self._level_at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def take_credit(self) -> bool:
        """Use the one token that a node has before it knows its peers."""
        has_credit = self._has_credit
        self._has_credit = False
        return has_credit

    def on_grantor(self) -> None:
        """Stop filling the node's own bucket, as a grantor has answered."""
        self._level_at = None
