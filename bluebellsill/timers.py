"""A timer service with one-shot and periodic callbacks."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.clock import Clock

__all__ = ('Timer', 'TimerService')

# Cancelled timers that are kept at least before they are removed, so that
# the removal costs little for each of them.
_MIN_CANCELLED = 256


class Timer:
    """A scheduled callback, which can be cancelled."""

    __slots__ = ('_on_cancelled', 'callback', 'due', 'period')

    def __init__(
        self,
        due: float,
        callback: Callable[[], None],
        period: float | None,
        on_cancelled: Callable[[], None],
    ) -> None:
        """Create a timer that is due at ``due`` on the service's clock."""
        self._on_cancelled = on_cancelled
        self.due = due
        self.period = period
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; idempotent."""
        if self.callback is not None:
            self.callback = None
            self._on_cancelled()


class TimerService:
    """Runs callbacks when they are due."""

    def __init__(self, clock: Clock) -> None:
        """Create a service without timers."""
        self.clock = clock
        self._sequence = count()
        self._cancelled = 0  # timers in the heap, at most
        self._heap: list[tuple[float, int, Timer]] = []

    def after(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Run a callback once.

        Args:
            seconds: The delay from now.
            callback: Called without arguments.

        Returns:
            The timer, which can be cancelled.
        """
        due = self.clock.now() + seconds
        return self._push(Timer(due, callback, None, self._on_cancelled))

    def every(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Run a callback periodically, the first time after one period.

        Args:
            seconds: The period between runs.
            callback: Called without arguments.

        Returns:
            The timer, which can be cancelled.
        """
        due = self.clock.now() + seconds
        return self._push(Timer(due, callback, seconds, self._on_cancelled))

    def run_due(self) -> None:
        """Run every callback that is due."""
        now = self.clock.now()
        while self._heap and self._heap[0][0] <= now:
            timer = heappop(self._heap)[2]
            callback = timer.callback
            if callback is None:
                continue
            if timer.period is None:
                # It is not in the heap if it is cancelled after it has run.
                timer.callback = None
            else:
                # The next period starts now: missed runs are not made up for.
                timer.due = now + timer.period
                self._push(timer)
            callback()

    def seconds_to_next(self) -> float | None:
        """Return the seconds until the next timer, or None without one."""
        while self._heap and self._heap[0][2].callback is None:
            heappop(self._heap)
        if not self._heap:
            return None
        return max(0, self._heap[0][0] - self.clock.now())

    def _on_cancelled(self) -> None:
        """Remove the cancelled timers once they are the most.

        They are due when callers or operators say: a timeout may be long, and
        most are cancelled after milliseconds.
        """
        self._cancelled += 1
        is_worthwhile = 2 * self._cancelled > len(self._heap)
        if self._cancelled >= _MIN_CANCELLED and is_worthwhile:
            self._heap = [one for one in self._heap if one[2].callback]
            heapify(self._heap)
            self._cancelled = 0

    def _push(self, timer: Timer) -> Timer:
        heappush(self._heap, (timer.due, next(self._sequence), timer))
        return timer
