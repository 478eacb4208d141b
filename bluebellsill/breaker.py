"""Keeps work from a target that fails nearly all of it."""

from __future__ import annotations

from math import exp

from bluebellsill.logs import get_logger

__all__ = ('Breaker',)

_WEIGHT = 0.15  # of a new answer in the share of failures
_FADE = 3.0  # seconds in which old failures lose their weight
# Failures in a row: of a target that fails half of its work, one in 64 runs
# of answers is as long.
_ENOUGH = 6
_FIRST_PAUSE = 0.3  # seconds until a trial; some usual answers
_MAX_PAUSE = 2.0  # seconds between trials
_GROWTH = 2  # of the pause after each failed trial


class Breaker:
    """Opens when a target fails, whatever its health reports say.

    While it is open, one request at a time goes through as a trial, at
    pauses that grow with each failed one. The share of failures tells
    others how far to trust a target that fails only some requests.
    """

    def __init__(self) -> None:
        """Create a closed breaker."""
        self._share: float = 0
        self._at: float = 0
        self._in_a_row = 0
        self._pause: float = 0
        self._trial_at: float = 0
        self._log = get_logger('breaker')

    @property
    def is_open(self) -> bool:
        """Whether only trials go through."""
        return self._pause > 0

    def share(self, now: float) -> float:
        """Return the share of answers that failed of late."""
        return self._share * exp(-max(0, now - self._at) / _FADE)

    def lets_through(self, now: float) -> bool:
        """Return whether a request may go to the target; count a trial."""
        if not self.is_open:
            return True
        if now < self._trial_at:
            return False
        # The next one waits for this trial's end, or for another pause.
        self._trial_at = now + self._pause
        return True

    def on_success(self, now: float) -> None:
        """Take in an answer that was no failure."""
        self._observe(0, now)
        if self.is_open:
            self._log.warning('breaker closed')
        self._in_a_row = 0
        self._pause = 0

    def on_failure(self, now: float) -> None:
        """Take in a failure of the target's own."""
        self._observe(1, now)
        self._in_a_row += 1
        if self.is_open:
            self._pause = min(_MAX_PAUSE, self._pause * _GROWTH)
            self._trial_at = now + self._pause
        elif self._in_a_row >= _ENOUGH:
            self._log.warning('breaker opened', failures=self._in_a_row)
            self._pause = _FIRST_PAUSE
            self._trial_at = now + _FIRST_PAUSE

    def reset(self) -> None:
        """Forget everything: the target has started anew."""
        self._share = 0
        self._in_a_row = 0
        self._pause = 0

    def _observe(self, failed: int, now: float) -> None:
        share = self.share(now)
        self._share = share + _WEIGHT * (failed - share)
        self._at = now
