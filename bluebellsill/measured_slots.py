"""Estimates how long the calls at a target take, and how many may run."""

from __future__ import annotations

from heapq import heapify
from typing import TYPE_CHECKING

from bluebellsill.concurrency import ConcurrencyEstimator
from bluebellsill.service_times import ServiceTimes
from bluebellsill.slot_tracker import SlotTracker
from bluebellsill.slowness import SlownessTracker

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bluebellsill.admission import Ticket

__all__ = ('MeasuredSlots',)

# A call that has exceeded its expected service time is assumed to need this
# fraction of it more.
_OVERRUN_FRACTION = 0.5
_DEFAULT_SERVICE_TIME = 0.05  # seconds; for routes without an answer so far


class MeasuredSlots(SlotTracker):
    """Measures the service times of one target's calls.

    Attributes:
        slowness: What the target reports of its slow periods.
    """

    def __init__(self) -> None:
        """Create the estimates for a target that has not reported anything."""
        super().__init__()
        self.slowness = SlownessTracker()
        self._concurrency = ConcurrencyEstimator(1)
        self._service_times = ServiceTimes()

    @property
    def limit(self) -> int:
        """The number of calls that may run at a time."""
        return self._concurrency.best_concurrency

    @property
    def slots(self) -> int:
        """The number of calls that the target states it can run at a time."""
        return self._concurrency.slots

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Record a complete answer."""
        seconds = (now - ticket.started_at) / ticket.slowness
        usual = self._service_times.expected(ticket.route)
        if not usual or self._concurrency.is_reference(ticket.concurrency):
            self._service_times.observe(ticket.route, seconds)
        else:
            self._concurrency.observe(ticket.concurrency, seconds / usual)

    def on_overload(self) -> None:
        """Do nothing: the target states its slots itself."""

    def on_slowness(self, factor: float, now: float) -> None:
        """Record the ratio of current to usual service time."""
        self.slowness.observe(factor, now)

    def resize(self, slots: int) -> None:
        """Set how many requests the target can run at a time."""
        if slots != self._concurrency.slots:
            self._concurrency = ConcurrencyEstimator(max(1, slots))

    def _free_in(
        self, free: int, running: Iterable[Ticket], now: float
    ) -> list[float]:
        """Return a heap of the seconds until slots are free.

        Each waiting call takes one at most, so no more are listed, whatever
        number the target states.
        """
        most = len(self._queue) + 1
        free_in = [float() for _ in range(min(most, free))]
        untracked = min(most, self.untracked)
        free_in += [_DEFAULT_SERVICE_TIME for _ in range(untracked)]
        free_in += [self._remaining_time(one, now) for one in running]
        heapify(free_in)
        return free_in

    def _remaining_time(self, ticket: Ticket, now: float) -> float:
        """Return the seconds that a running call is expected to need still."""
        service_time = self._usual_service_time(ticket) * ticket.slowness
        remaining = ticket.started_at + service_time - now
        return remaining if remaining > 0 else service_time * _OVERRUN_FRACTION

    def _service_time(self, ticket: Ticket) -> float:
        """Return the service time in seconds while the target is not slow."""
        return self._usual_service_time(ticket) * self.slowness.baseline_factor

    def _usual_service_time(self, ticket: Ticket) -> float:
        return (
            self._service_times.expected(ticket.route) or _DEFAULT_SERVICE_TIME
        )
