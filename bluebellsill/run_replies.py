"""What a target's node tells the entry node of a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.http import end_to_end
from bluebellsill.logs import get_logger
from bluebellsill.messages import Answer, Call, Refusal

if TYPE_CHECKING:
    from bluebellsill.admission import Admission, Ticket
    from bluebellsill.breaker import Breaker
    from bluebellsill.clock import Clock
    from bluebellsill.errors import ErrorKind
    from bluebellsill.http import Response
    from bluebellsill.measuring import Measuring
    from bluebellsill.metrics import Metrics

__all__ = ('RunReplies',)

_MILLISECONDS = 1000  # in a second


class RunReplies:
    """Makes replies that carry the target's load and state along."""

    def __init__(
        self,
        gate: Admission,
        measuring: Measuring,
        breaker: Breaker,
        metrics: Metrics,
        clock: Clock,
    ) -> None:
        """Create replies that read the state when they are made."""
        self._gate = gate
        self._measuring = measuring
        self._breaker = breaker
        self._metrics = metrics
        self._clock = clock
        self._log = get_logger('runner')

    def refusal(
        self,
        call: Call,
        kind: ErrorKind,
        ticket: Ticket | None = None,
        *,
        has_arrived: bool = False,
    ) -> Refusal:
        """Return a refusal, and log what decided it.

        Args:
            call: The call that has not run and never will.
            kind: Why.
            ticket: Its ticket, if it has one.
            has_arrived: Whether the target itself refused it.
        """
        self._metrics.counts[f'refused_{kind.value}'] += 1
        retry_ms = int(_MILLISECONDS * ticket.retry_after) if ticket else 0
        self._log.info(
            'refused',
            correlation=call.correlation,
            kind=kind.value,
            in_flight=self._gate.in_flight,
            load=self._gate.load,
            limit=self._gate.limit,
            slowness=self._measuring.slowness,
            retry_after_ms=retry_ms,
            by_target=has_arrived,
        )
        return Refusal(
            call.id,
            kind.value,
            self._gate.load,
            self._gate.limit,
            retry_ms,
            has_arrived,
            self._measuring.slowness,
            self._breaker.share(self._clock.now()),
        )

    def answer(
        self,
        call: Call,
        response: Response,
        *,
        has_failed_below: bool,
    ) -> Answer:
        """Return a target's whole answer."""
        return Answer(
            call.id,
            response.status,
            end_to_end(response.headers),
            response.body,
            self._gate.load - 1,
            self._gate.limit,
            has_failed_below,
            self._measuring.slowness,
            self._breaker.share(self._clock.now()),
        )
