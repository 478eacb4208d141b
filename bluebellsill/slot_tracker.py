"""Counts the requests that occupy the slots of a target."""

from __future__ import annotations

from bluebellsill.admission import CallTracker, Ticket
from bluebellsill.start_rate import StartRateLimiter

__all__ = ('SlotTracker',)


class SlotTracker(CallTracker):
    """Keeps the calls of one target, and how many others it has.

    The others are untracked: an earlier process of this node has sent them,
    and not every target stops them when their connection is closed.

    Attributes:
        start_limiter: Limits the starts while the target is cold.
    """

    def __init__(self) -> None:
        """Create a tracker without calls."""
        super().__init__()
        self.start_limiter = StartRateLimiter()
        # None until the target has reported its load.
        self._untracked: int | None = None

    @property
    def untracked(self) -> int:
        """The number of requests that this tracker has not started."""
        return self._untracked or 0

    @property
    def may_have_untracked(self) -> bool:
        """Whether the target may run requests that are not tracked."""
        return self._untracked is None or self._untracked > 0

    @property
    def occupied(self) -> int:
        """The number of requests that the target runs, as far as is known."""
        return self.in_flight + self.untracked

    def resume(self, ticket: Ticket, now: float) -> float:
        """Start an admitted call that had to wait for its body.

        Calls whose bodies arrive together would otherwise exceed the rate of
        a cold target.

        Returns:
            The seconds until it may start.
        """
        wait = self.start_limiter.move_start(ticket.started_at, now)
        ticket.started_at = now + wait
        return wait

    def on_load(self, requests: int) -> bool:
        """Record how many requests the target runs and queues.

        Only the first report raises the number of untracked requests: later
        ones may contain calls whose cancellation the target has not seen yet.

        Returns:
            Whether more calls may run than before.
        """
        untracked = max(0, requests - self.in_flight)
        before = self._untracked
        self._untracked = (
            untracked if before is None else min(before, untracked)
        )
        return before is not None and self._untracked < before

    def on_cold(self) -> None:
        """Forget the untracked requests, which a new target does not have."""
        self._untracked = None
