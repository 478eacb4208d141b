"""Updates what a node knows about its target from the target's responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.admission import Admission
    from bluebellsill.breaker import Breaker
    from bluebellsill.clock import Clock
    from bluebellsill.http import Response
    from bluebellsill.overload import LoadShedding
    from bluebellsill.runs import Run

__all__ = ('OutcomeRecorder',)

# Statuses that do not count as target failures: the deadline was too short,
# or the target was overloaded.
_NON_FAILURE_STATUSES = frozenset(
    (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.SERVICE_UNAVAILABLE),
)


class OutcomeRecorder:
    """Tells admission control and the breaker how calls have ended."""

    def __init__(
        self,
        gate: Admission,
        breaker: Breaker,
        shedding: LoadShedding,
        clock: Clock,
    ) -> None:
        """Create a recorder.

        Args:
            gate: Learns service times and overloads.
            breaker: Counts failures of the target.
            shedding: Learns which routes fail because of nested calls.
            clock: Tells the time.
        """
        self._gate = gate
        self._breaker = breaker
        self._shedding = shedding
        self._clock = clock

    def on_answered(self, run: Run, response: Response) -> bool:
        """Record a complete response.

        Returns:
            Whether the call has failed because a nested call has.
        """
        now = self._clock.now()
        is_error = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        self._shedding.on_answer(
            run.ticket, now, has_failed_below=run.is_refused_below and is_error
        )
        if not is_error:
            self._breaker.on_success(now)
            self._gate.on_answer(run.ticket, now)
        elif run.has_failed_below:
            # A failure of a downstream service says nothing about this target.
            return True
        elif response.status not in _NON_FAILURE_STATUSES:
            self._breaker.on_failure(now)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._gate.on_overload()
        return False
