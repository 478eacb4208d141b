"""Asks a target how slow and how loaded it is before a call starts there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.slowness import USUAL_SLOWNESS

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.admission import Admission
    from bluebellsill.http import Response
    from bluebellsill.target_dialect import TargetDialect
    from bluebellsill.timers import Timer, TimerService

__all__ = ('SlownessMeter',)

# Seconds that a start waits for the target's report of its slowness; a target
# on the same VM answers in 0.2 ms.
_REPORT_TIMEOUT = 0.01


class SlownessMeter:
    """Requests slowness reports, one at a time, while a start needs one.

    Attributes:
        slowness: The last reported ratio of current to usual service time.
    """

    def __init__(
        self,
        timers: TimerService,
        dialect: TargetDialect,
        gate: Admission,
        request_report: Callable[[], bool],
        on_complete: Callable[[], None],
    ) -> None:
        """Create a meter without a report.

        Args:
            timers: Limit the wait for a report.
            dialect: Reads the reports.
            gate: Tells whether a start needs the slowness.
            request_report: Asks the target; returns whether its answer is
                pending.
            on_complete: Called when the gate can decide.
        """
        self.slowness = USUAL_SLOWNESS
        self._timers = timers
        self._dialect = dialect
        self._gate = gate
        self._request_report = request_report
        self._on_complete = on_complete
        self._is_pending = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Ask the target if a start needs its slowness."""
        now = self._timers.clock.now()
        if self._is_pending or not self._gate.needs_slowness_report(now):
            return
        self._is_pending = True
        self._timer = self._timers.after(_REPORT_TIMEOUT, self.end)
        if not self._request_report():
            self.end()

    def observe(self, response: Response) -> bool:
        """Record the slowness and the load in a response of the target.

        Returns:
            Whether the load shows that more calls may run than before.
        """
        factor = self._dialect.slowness(response)
        if factor is not None:
            self.slowness = factor
            self._gate.on_slowness(factor, self._timers.clock.now())
        requests = self._dialect.load(response)
        return requests is not None and self._gate.on_load(requests)

    def end(self) -> None:
        """End the wait; assume the usual slowness if no report has come."""
        if not self._is_pending:
            return
        self._is_pending = False
        if self._timer is not None:
            self._timer.cancel()
        now = self._timers.clock.now()
        if self._gate.needs_slowness_report(now):
            self._gate.on_slowness(USUAL_SLOWNESS, now)
        self._on_complete()
