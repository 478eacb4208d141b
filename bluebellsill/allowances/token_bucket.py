"""The token bucket of one team at its grantor."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.teams import Allowance

__all__ = ('Grant', 'TokenBucket', 'capacity', 'spare_tokens')

# Tokens and seconds of the rate that the bucket holds beyond the burst: tokens
# must not be lost while the next request for them is under way. With the tokens
# that entry nodes hold, this stays below the excess that is tolerated.
_EXTRA_TOKENS = 5
_EXTRA_PERIOD = 0.1
# What the platform tolerates in a window beyond the rate and the burst: a share
# of them, and a number of requests.
_WINDOW = 5.0  # seconds
_TOLERATED_SHARE = 0.1
_TOLERATED_REQUESTS = 20
_SPARE_SHARE = 0.5  # of the tolerated excess; the rest covers tokens in use
_TOLERANCE = 1e-6  # tokens; below rounding errors of the clock
_MIN_DELAY = 0.1  # seconds until a node that is denied tokens asks again
_MAX_DELAY = 1.0
# Seconds of the rate that a node gets at least when it asks again.
_TURN_PERIOD = 0.02


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to a request for tokens.

    Attributes:
        granted: The number of tokens.
        delay: Seconds after which to ask for the missing ones, 0 if none are.
    """

    granted: int
    delay: float = 0


def capacity(allowance: Allowance, share: float) -> float:
    """Return the tokens that a bucket holds at most.

    Args:
        allowance: The allowance of the team over all nodes.
        share: The share of the rate that is granted from it.
    """
    extra = _EXTRA_TOKENS + _EXTRA_PERIOD * allowance.rate
    return max(1, share * (allowance.burst + extra))


def spare_tokens(allowance: Allowance) -> float:
    """Return the tokens that a bucket of unknown history may begin with.

    The tolerated excess has room for them, even if another node has just
    granted a whole burst.
    """
    full = _WINDOW * allowance.rate + allowance.burst
    excess = _TOLERATED_SHARE * full + _TOLERATED_REQUESTS
    return max(1, min(_SPARE_SHARE * excess, capacity(allowance, 1)))


class TokenBucket:
    """Grants tokens at a rate that is a share of the team's rate."""

    def __init__(self, allowance: Allowance, tokens: float, now: float) -> None:
        """Create a bucket with some tokens."""
        self.allowance = allowance
        self._tokens = tokens
        self._updated_at = now
        self._scheduled_until: float = 0

    def take(self, wanted: int, now: float, share: float) -> Grant:
        """Grant tokens to a node.

        Args:
            wanted: The number of tokens that it asks for.
            now: The time in seconds.
            share: The share of the rate that may be granted.
        """
        rate = share * self.allowance.rate
        elapsed = max(0, now - self._updated_at)
        self._updated_at = now
        self._tokens = min(
            capacity(self.allowance, share),
            self._tokens + elapsed * rate,
        )
        granted = min(wanted, int(self._tokens + _TOLERANCE))
        self._tokens -= granted
        if granted == wanted:
            return Grant(granted)
        return Grant(granted, self._schedule(wanted - granted, rate, now))

    def _schedule(self, missing: int, rate: float, now: float) -> float:
        """Return when to ask again; nodes are told times that are spread."""
        turn = min(missing, max(1, _TURN_PERIOD * rate)) / rate
        self._scheduled_until = max(now, self._scheduled_until) + turn
        self._scheduled_until = min(self._scheduled_until, now + _MAX_DELAY)
        return max(_MIN_DELAY, self._scheduled_until - now)
