"""Builds the replies of a target's node to the entry node of a call."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind
from bluebellsill.http import end_to_end_headers
from bluebellsill.logs import get_logger
from bluebellsill.messages import Answer, Call, Refusal

if TYPE_CHECKING:
    from bluebellsill.admission import Admission, Ticket
    from bluebellsill.breaker import Breaker
    from bluebellsill.clock import Clock
    from bluebellsill.http import Response
    from bluebellsill.metrics import Metrics
    from bluebellsill.slowness_meter import SlownessMeter
    from bluebellsill.target_directives import DirectiveTracker

__all__ = ('ReplyBuilder',)

_MS_PER_SECOND = 1000


class ReplyBuilder:
    """Builds replies that include the load and state of the target."""

    def __init__(
        self,
        admission: Admission,
        slowness_meter: SlownessMeter,
        breaker: Breaker,
        metrics: Metrics,
        clock: Clock,
        directives: DirectiveTracker,
    ) -> None:
        """Create a builder; each reply has the state at its creation.

        Args:
            admission: Provides the load and the concurrency limit.
            slowness_meter: Provides the slowness of the target.
            breaker: Provides the share of failed answers.
            metrics: Counts the refusals.
            clock: Tells the time.
            directives: Provides what the target asks of all nodes.
        """
        self._admission = admission
        self._slowness_meter = slowness_meter
        self._breaker = breaker
        self._metrics = metrics
        self._clock = clock
        self._directives = directives
        self._log = get_logger('runner')

    def refusal(
        self,
        call: Call,
        kind: ErrorKind,
        ticket: Ticket | None = None,
        *,
        has_arrived: bool = False,
    ) -> Refusal:
        """Return a refusal and log the state that led to it.

        Args:
            call: The call, which has not run and will not run.
            kind: The reason.
            ticket: The admission ticket of the call, if it has one.
            has_arrived: Whether the target itself refused the call.
        """
        self._metrics.counts[f'refused_{kind.value}'] += 1
        retry_ms = int(_MS_PER_SECOND * ticket.retry_after) if ticket else 0
        queue_ms = int(_MS_PER_SECOND * ticket.queue_seconds) if ticket else 0
        reason = ticket.refusal_reason if ticket else ''
        if reason and kind is ErrorKind.OVERLOADED:
            self._metrics.counts[f'shed_{reason}'] += 1
        self._log.info(
            'refused',
            correlation=call.correlation,
            kind=kind.value,
            in_flight=self._admission.in_flight,
            load=self._admission.load,
            limit=self._admission.limit,
            slowness=self._slowness_meter.slowness,
            retry_after_ms=retry_ms,
            by_target=has_arrived,
            reason=reason,
            route=call.route,
            team=call.team,
        )
        return Refusal(
            call.id,
            kind.value,
            self._admission.load,
            self._admission.limit,
            retry_ms,
            has_arrived,
            self._slowness_meter.slowness,
            self._breaker.failure_share(self._clock.now()),
            self._directives.note(),
            0 if queue_ms == retry_ms else queue_ms,
        )

    def answer(
        self,
        call: Call,
        response: Response,
        *,
        has_failed_below: bool,
    ) -> Answer:
        """Return an answer with the complete response of the target."""
        return Answer(
            call.id,
            response.status,
            end_to_end_headers(response.headers),
            response.body,
            # The answered call is still counted.
            self._admission.load - 1,
            self._admission.limit,
            has_failed_below,
            self._slowness_meter.slowness,
            self._breaker.failure_share(self._clock.now()),
            self._directives.note(),
        )
