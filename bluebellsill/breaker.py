"""A circuit breaker for a target that fails nearly all of its requests."""

from __future__ import annotations

from math import exp

from bluebellsill.logs import get_logger

__all__ = ('Breaker',)

_SHARE_WEIGHT = 0.15  # of a new answer in the average share of failures
_SHARE_LIFETIME = 3.0  # seconds; time constant of the decay of that share
# Consecutive failures: where half of the requests fail, six of them in a row
# all fail with a chance of 1 in 64.
_FAILURES_TO_OPEN = 6
_INITIAL_PAUSE = 0.3  # seconds until the first trial; a few usual latencies
_MAX_PAUSE = 2.0  # seconds between two trials at most
_PAUSE_GROWTH = 2  # factor of the pause after each failed trial


class Breaker:
    """Opens after consecutive failures, whatever the health checks report.

    While it is open, one request at a time is allowed as a trial, after a
    pause that grows with each failed trial. The share of failures is
    reported to other nodes, which use it to choose between targets that
    fail only some requests.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self._failure_share: float = 0
        self._share_updated_at: float = 0
        self._consecutive_failures = 0
        self._pause: float = 0
        self._next_trial_at: float = 0
        self._log = get_logger('breaker')

    @property
    def is_open(self) -> bool:
        """Whether only trials are allowed."""
        return self._pause > 0

    def failure_share(self, now: float) -> float:
        """Return the recent share of requests that failed."""
        return self._failure_share * exp(
            -max(0, now - self._share_updated_at) / _SHARE_LIFETIME
        )

    def allows_request(self, now: float) -> bool:
        """Return whether a request may be sent; record it if it is a trial."""
        if not self.is_open:
            return True
        if now < self._next_trial_at:
            return False
        # Another trial must wait for the result of this one, or for a pause.
        self._next_trial_at = now + self._pause
        return True

    def on_success(self, now: float) -> None:
        """Record a successful answer; close the breaker."""
        self._observe(0, now)
        if self.is_open:
            self._log.warning('breaker closed')
        self._consecutive_failures = 0
        self._pause = 0

    def on_failure(self, now: float) -> None:
        """Record a failure caused by the target itself."""
        self._observe(1, now)
        self._consecutive_failures += 1
        if self.is_open:
            self._pause = min(_MAX_PAUSE, self._pause * _PAUSE_GROWTH)
            self._next_trial_at = now + self._pause
        elif self._consecutive_failures >= _FAILURES_TO_OPEN:
            self._log.warning(
                'breaker opened', failures=self._consecutive_failures
            )
            self._pause = _INITIAL_PAUSE
            self._next_trial_at = now + _INITIAL_PAUSE

    def reset(self) -> None:
        """Close the breaker and clear its history: the target has restarted."""
        self._failure_share = 0
        self._consecutive_failures = 0
        self._pause = 0

    def _observe(self, failed: int, now: float) -> None:
        share = self.failure_share(now)
        self._failure_share = share + _SHARE_WEIGHT * (failed - share)
        self._share_updated_at = now
