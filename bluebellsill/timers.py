"""A timer service with one-shot and periodic callbacks."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.clock import Clock

__all__ = ('Timer', 'TimerService')


class Timer:
    """A scheduled callback, which can be cancelled."""

    __slots__ = ('callback', 'due', 'period')

    def __init__(
        self,
        due: float,
        callback: Callable[[], None],
        period: float | None,
    ) -> None:
        """Create a timer that is due at ``due`` on the service's clock."""
        self.due = due
        self.period = period
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; idempotent."""
        self.callback = None


class TimerService:
    """Runs callbacks when they are due."""

    def __init__(self, clock: Clock) -> None:
        """Create a service without timers."""
        self.clock = clock
        self._sequence = count()
        self._heap: list[tuple[float, int, Timer]] = []

    def after(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Run a callback once.

        Args:
            seconds: The delay from now.
            callback: Called without arguments.

        Returns:
            The timer, which can be cancelled.
        """
        return self._push(Timer(self.clock.now() + seconds, callback, None))

    def every(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Run a callback periodically, the first time after one period.

        Args:
            seconds: The period between runs.
            callback: Called without arguments.

        Returns:
            The timer, which can be cancelled.
        """
        due = self.clock.now() + seconds
        return self._push(Timer(due, callback, seconds))

    def run_due(self) -> None:
        """Run every callback that is due."""
        now = self.clock.now()
        while self._heap and self._heap[0][0] <= now:
            timer = heappop(self._heap)[2]
            callback = timer.callback
            if callback is None:
                continue
            if timer.period is not None:
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

    def _push(self, timer: Timer) -> Timer:
        heappush(self._heap, (timer.due, next(self._sequence), timer))
        return timer
