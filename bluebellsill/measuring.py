"""Asks a target how slow it is, right before work is started there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.slowness import USUAL

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.admission import Admission
    from bluebellsill.timers import Timer, TimerService

__all__ = ('Measuring',)

# Seconds for which a start waits for the target's word on its slowness; a
# target on the same VM answers in a fifth of a millisecond.
_WAIT = 0.01


class Measuring:
    """Keeps one question at a time open while a start hangs on it.

    Attributes:
        slowness: How many times longer than usual work took at last.
    """

    def __init__(
        self,
        timers: TimerService,
        gate: Admission,
        ask: Callable[[], bool],
        on_known: Callable[[], None],
    ) -> None:
        """Create a meter.

        Args:
            timers: Bound the wait for an answer.
            gate: Says whether a start hangs on the slowness.
            ask: Asks the target; returns whether it is being asked.
            on_known: Called when the gate can decide.
        """
        self.slowness = USUAL
        self._timers = timers
        self._gate = gate
        self._ask = ask
        self._on_known = on_known
        self._is_asking = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Ask the target, if a start hangs on its answer."""
        now = self._timers.clock.now()
        if self._is_asking or not self._gate.wants_measure(now):
            return
        self._is_asking = True
        self._timer = self._timers.after(_WAIT, self.end)
        if not self._ask():
            self.end()

    def observe(self, factor: float | None) -> None:
        """Take in what an answer of the target says, if it does."""
        if factor is not None:
            self.slowness = factor
            self._gate.on_slowness(factor, self._timers.clock.now())

    def end(self) -> None:
        """Go on, with a guess if the target has not answered at once."""
        if not self._is_asking:
            return
        self._is_asking = False
        if self._timer is not None:
            self._timer.cancel()
        now = self._timers.clock.now()
        if self._gate.wants_measure(now):
            self._gate.on_slowness(USUAL, now)
        self._on_known()
