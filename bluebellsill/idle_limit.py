"""Limits how long idle connections to a server are kept for reuse.

Some servers and intermediaries drop idle connections without closing them.
The next request on such a connection is reset, and it is unknown whether a
request that is not idempotent was executed.
"""

from __future__ import annotations

__all__ = ('IdleLimit',)

_LIMIT_DURATION = 10.0  # seconds after the last such loss; then no limit
_SAFE_FRACTION = 0.5  # of the shortest idle time that led to a loss
# Seconds; a connection that was idle for less was lost for another reason.
_MIN_IDLE = 0.05


class IdleLimit:
    """Derives an idle limit from connections that were lost on reuse."""

    def __init__(self) -> None:
        """Create a tracker that imposes no limit."""
        self._max_idle: float | None = None
        self._limited_until: float = 0

    def max_idle_seconds(self, now: float) -> float | None:
        """Return how many seconds a connection may have been idle for reuse.

        Args:
            now: The time in seconds.

        Returns:
            None if only the usual idle timeout applies.
        """
        if self._max_idle is not None and now >= self._limited_until:
            self._max_idle = None
        return self._max_idle

    def on_lost(self, idle_seconds: float, now: float) -> None:
        """Record the loss of a connection at its first use after idling.

        Args:
            idle_seconds: How long it had been idle.
            now: The time in seconds.
        """
        if idle_seconds < _MIN_IDLE:
            return
        max_idle = _SAFE_FRACTION * idle_seconds
        known = self.max_idle_seconds(now)
        self._max_idle = max_idle if known is None else min(known, max_idle)
        self._limited_until = now + _LIMIT_DURATION
