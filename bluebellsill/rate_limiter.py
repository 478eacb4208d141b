"""Keeps the starts at a target within the rate that it states."""

from __future__ import annotations

__all__ = ('RateLimiter',)

# Seconds of the stated rate that may be saved up while few calls arrive.
_BURST_PERIOD = 1.0
_MIN_CAPACITY = 1.0  # starts; with less, a low rate would allow none
# Starts a second that are tried at least: a target states the end of its limit
# in a response, which it cannot do without a request.
_MIN_RATE = 0.25
_TOLERANCE = 1e-6  # starts; below rounding errors of the clock
_MAX_WAIT = 30.0  # seconds; no caller waits as long


class RateLimiter:
    """A token bucket with the rate that a target states for all nodes.

    The node beside a target passes on every request to it, so this one
    bucket covers the requests of all nodes.
    """

    def __init__(self) -> None:
        """Create a limiter without a rate."""
        self.rate: float | None = None
        self._tokens: float = 0
        self._updated_at: float = 0

    def change_rate(self, rate: float | None, now: float) -> None:
        """Change the rate.

        The bucket is empty at first: the starts before are not counted, also
        those before a restart of this node.

        Args:
            rate: The starts a second, None for no limit. A lower rate than
                one in four seconds counts as that.
            now: The time in seconds.
        """
        if rate is not None:
            rate = max(_MIN_RATE, rate)
        if rate == self.rate:
            return
        self._refill(now)
        if self.rate is None:
            self._tokens = 0
        self.rate = rate
        self._tokens = min(self._tokens, self._capacity)

    def on_start(self, now: float) -> None:
        """Count a start."""
        self._refill(now)
        self._tokens -= 1

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a start is allowed.

        Args:
            now: The time in seconds.
            ahead: The number of waiting calls that start before it.
        """
        if self.rate is None:
            return 0
        self._refill(now)
        missing = ahead + 1 - self._tokens
        if missing <= _TOLERANCE:
            return 0
        if missing >= self.rate * _MAX_WAIT:
            return _MAX_WAIT
        return missing / self.rate

    @property
    def _capacity(self) -> float:
        return max(_MIN_CAPACITY, (self.rate or 0) * _BURST_PERIOD)

    def _refill(self, now: float) -> None:
        elapsed = max(0, now - self._updated_at)
        self._updated_at = now
        if self.rate is not None:
            added = elapsed * self.rate
            self._tokens = min(self._capacity, self._tokens + added)
