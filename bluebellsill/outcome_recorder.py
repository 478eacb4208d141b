"""Updates the state kept about a target from its responses."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.admission import Admission, Ticket
    from bluebellsill.breaker import Breaker
    from bluebellsill.clock import Clock
    from bluebellsill.http import Response

__all__ = ('OutcomeRecorder', 'is_error')

# Statuses that do not count as target failures: the deadline was too short,
# or the target was overloaded.
_NON_FAILURE_STATUSES = frozenset(
    (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.SERVICE_UNAVAILABLE),
)


class OutcomeRecorder:
    """Updates the breaker and admission control of a target."""

    def __init__(self, breaker: Breaker, gate: Admission, clock: Clock) -> None:
        """Create a recorder.

        Args:
            breaker: Counts the failures of the target.
            gate: Admission control of the target.
            clock: Tells when a response is read.
        """
        self._breaker = breaker
        self._gate = gate
        self._clock = clock

    def record(self, ticket: Ticket, response: Response) -> None:
        """Record a complete response to a call.

        Args:
            ticket: The admission ticket of the call.
            response: The response.
        """
        now = self._clock.now()
        if not is_error(response):
            self._breaker.on_success(now)
            self._gate.on_answer(ticket, now)
        elif response.status not in _NON_FAILURE_STATUSES:
            self._breaker.on_failure(now)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self._gate.on_overload()


def is_error(response: Response) -> bool:
    """Return whether a response reports an error of the target."""
    return response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
