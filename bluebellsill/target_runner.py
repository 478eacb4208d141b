"""Runs calls on the target that this node serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import structs
from result import Err, Result

from bluebellsill.admission import AdaptiveGate, Admission, Decision, Ticket
from bluebellsill.announcement import Announcement
from bluebellsill.breaker import Breaker
from bluebellsill.errors import ErrorKind
from bluebellsill.http import Request, Response
from bluebellsill.http_exchange import HttpFailure
from bluebellsill.messages import Answer, Call, Failure, Refusal
from bluebellsill.outcome_recorder import OutcomeRecorder
from bluebellsill.overload import LoadShedding
from bluebellsill.reply_builder import ReplyBuilder
from bluebellsill.run_table import RunTable
from bluebellsill.runs import Run, TargetOwner, make_ticket
from bluebellsill.slowness_meter import SlownessMeter
from bluebellsill.target_dialect import (
    NativeDialect,
    TargetDialect,
    TargetDirective,
)
from bluebellsill.target_directives import DirectiveTracker
from bluebellsill.target_watch import TargetWatch
from bluebellsill.target_watch_events import TargetWatchEvents
from bluebellsill.watch_rules import DEFAULT_WATCH_RULES, WatchRules

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor
    from bluebellsill.timers import Timer

__all__ = ('TargetRunner',)


class TargetRunner:
    """Admits calls to the target and tracks them until they end.

    All requests to the target pass through its connection pool.
    """

    def __init__(
        self,
        reactor: Reactor,
        owner: TargetOwner,
        quarantine: Quarantine,
        metrics: Metrics,
        gate: Admission | None = None,
        dialect: TargetDialect | None = None,
        rules: WatchRules = DEFAULT_WATCH_RULES,
        shedding: LoadShedding | None = None,
    ) -> None:
        """Create a runner without an announced target.

        Args:
            reactor: Event loop with the sockets and timers.
            owner: The node that the runner is part of.
            quarantine: Identifies requests that have crashed targets.
            metrics: Counters for refused calls and probes.
            gate: Admission control; the default adapts its concurrency
                limit.
            dialect: HTTP conventions of the target; the native ones by
                default.
            rules: Timing of the target's health monitoring.
            shedding: Learns which routes fail below, if the gate uses it.
        """
        self.gate: Admission = gate or AdaptiveGate(1)
        self._dialect: TargetDialect = dialect or NativeDialect()
        self._reactor = reactor
        self._clock = reactor.timers.clock
        self._owner = owner
        self._quarantine = quarantine
        self._metrics = metrics
        self.directives = DirectiveTracker(
            self._dialect, self._clock, self._on_directive
        )
        self.breaker = Breaker()
        self._outcomes = OutcomeRecorder(
            self.gate, self.breaker, shedding or LoadShedding(), self._clock
        )
        self.watch = TargetWatch(
            reactor,
            TargetWatchEvents(self, owner),
            metrics,
            self._dialect,
            rules,
        )
        self.runs = RunTable()
        self._admission_timer: Timer | None = None
        self._slowness_meter = SlownessMeter(
            reactor.timers,
            self._dialect,
            self.gate,
            self.watch.request_probe,
            self.admit,
        )
        self._replies = ReplyBuilder(
            self.gate,
            self._slowness_meter,
            self.breaker,
            metrics,
            self._clock,
            self.directives,
        )

    @property
    def announcement(self) -> Announcement | None:
        """The target's latest announcement, None without a target."""
        return self.watch.announcement

    @property
    def in_flight(self) -> int:
        """The number of calls that run or are queued."""
        return self.gate.load

    def announce(self, announcement: Announcement) -> None:
        """Process an announcement of the target."""
        self.directives.on_announced(announcement)
        if self.directives.current.is_leaving:
            announcement = structs.replace(announcement, is_leaving=True)
        self.watch.announce(announcement)
        self.gate.resize(announcement.slots or self.watch.service.slots)
        if announcement.is_leaving:
            self.refuse_queue(ErrorKind.LEAVING)

    def on_probed(self, response: Response, sent_at: float) -> None:
        """Update the target's state by a probe sent at ``sent_at`` (seconds)."""
        self.directives.observe_probe(response, sent_at)
        has_room = self._slowness_meter.observe(response)
        self._slowness_meter.end()
        if has_room:
            self.admit()

    # Calls.

    def run(
        self,
        call: Call,
        respond: Callable[[Answer | Refusal | Failure], None],
    ) -> Run | None:
        """Run, queue or refuse a call.

        Args:
            call: The call, whose time budget starts now.
            respond: Called once with the outcome.

        Returns:
            The run, which can be cancelled, or None if it was refused.
        """
        now = self._clock.now()
        kind = self._refusal(call, now)
        if kind is not None:
            respond(self._replies.refusal(call, kind))
            return None
        ticket = make_ticket(call, now)
        run = Run(call, ticket, respond)
        decision, shed = self.gate.offer(ticket, now)
        if shed is not None:
            self._respond_refused(shed, ErrorKind.OVERLOADED)
        if decision is Decision.REFUSE:
            respond(self._replies.refusal(call, ErrorKind.OVERLOADED, ticket))
            return None
        self.runs[ticket] = run
        if decision is Decision.RUN:
            self._dispatch(run)
        else:
            run.expire_with(self._reactor.timers.after, self._expire_queue, now)
            self._expire_queue()
            self._schedule_admission(now)
            self._slowness_meter.start()
        return run

    def cancel(self, run: Run) -> None:
        """Cancel a call whose caller no longer waits for the answer.

        A running call that is not idempotent continues, because cancelling
        it would leave unknown how much of it was executed.
        """
        if run not in self.runs:
            return
        if self.gate.withdraw(run.ticket):
            self.runs.pop(run.ticket)
            run.leave_queue()
            return
        if not run.call.is_idempotent and not run.awaits_body:
            return
        self.runs.pop(run.ticket)
        if run.exchange is not None:
            run.exchange.cancel()
        self._release_slot(run.ticket)

    def refuse_waiting(
        self, run: Run, kind: ErrorKind = ErrorKind.EXPIRED
    ) -> None:
        """Refuse a call unless it has started."""
        if run.awaits_body:
            self.refuse_without_body(run, kind)
        elif self.gate.withdraw(run.ticket):
            self._respond_refused(run.ticket, kind)

    def refuse_queue(
        self, kind: ErrorKind, concerns: Callable[[Call], bool] | None = None
    ) -> None:
        """Refuse the calls without a start that ``concerns`` selects, or all."""
        for run in self.runs.selected(concerns):
            self.refuse_waiting(run, kind)

    def on_body(self, run: Run, body: bytes) -> None:
        """Take the body of a call; start the call if it has a slot."""
        if not run.has_slot:
            run.on_body(body)
            return
        wait = self.gate.resume(run.ticket, self._clock.now())
        if wait:
            timers = self._reactor.timers
            timers.after(wait, lambda: self._start_with_body(run, body))
        else:
            self._start_with_body(run, body)

    def refuse_without_body(self, run: Run, kind: ErrorKind) -> None:
        """Refuse a call whose body has not arrived, and free its slot."""
        if run in self.runs:
            self.cancel(run)
            run.respond(self._replies.refusal(run.call, kind))

    def on_downstream_failure(
        self, correlation: str, *, is_refused: bool = False
    ) -> None:
        """Mark a run whose downstream call to another service has failed.

        Args:
            correlation: The correlation id of the run.
            is_refused: Whether the downstream call was refused.
        """
        self.runs.mark_failed_below(correlation, is_refused=is_refused)

    def close(self) -> None:
        """Close every connection to the target."""
        self.watch.close()

    def admit(self) -> None:
        """Start the queued calls that may run, and schedule the others."""
        now = self._clock.now()
        for admitted in self.gate.admit(now):
            self._dispatch(self.runs[admitted])
        self._expire_queue()
        self._schedule_admission(now)
        self._slowness_meter.start()

    def _refusal(self, call: Call, now: float) -> ErrorKind | None:
        if call.note is not None:
            self.directives.adopt(call.note)
        kind = _no_target_reason(call, self.watch)
        if kind is not None:
            return kind
        if self._quarantine.is_refused(call.fingerprint, now):
            return ErrorKind.QUARANTINED
        if call.budget_ms <= 0:
            return ErrorKind.EXPIRED
        kind = self._owner.refusal(call)
        if kind is None and not self.breaker.allows_request(now):
            return ErrorKind.TARGET_FAILING
        return kind

    def _respond_refused(self, ticket: Ticket, kind: ErrorKind) -> None:
        run = self.runs.pop(ticket)
        if run is not None:
            run.leave_queue()
            run.respond(self._replies.refusal(run.call, kind, ticket))

    def _start_with_body(self, run: Run, body: bytes) -> None:
        if run not in self.runs:
            return
        kind = _no_target_reason(run.call, self.watch) or self._owner.refusal(
            run.call
        )
        if kind is not None:
            self.refuse_without_body(run, kind)
            return
        run.on_body(body)
        self._dispatch(run)

    def _dispatch(self, run: Run) -> None:
        run.leave_queue()
        if not run.on_admitted():
            return
        call = run.call
        pool = self.watch.connections.calls
        announcement = self.announcement
        now = self._clock.now()
        timeout = run.ticket.expires_at - now
        kind: ErrorKind | None = None
        if timeout <= 0:
            kind = ErrorKind.EXPIRED
        elif self._quarantine.is_refused(call.fingerprint, now):
            # It may have crashed other targets while it waited here.
            kind = ErrorKind.QUARANTINED
        if pool is None or announcement is None or kind is not None:
            self.runs.pop(run.ticket)
            self._release_slot(run.ticket)
            run.respond(
                self._replies.refusal(call, kind or ErrorKind.NO_TARGET)
            )
            return
        self._metrics.counts['starts'] += 1
        headers = self._dialect.headers(call, timeout, announcement)
        request = Request(call.method, call.path, headers, call.body)
        run.exchange = pool.request(
            request,
            timeout,
            lambda outcome: self._on_done(run, outcome),
        )

    def _on_done(
        self,
        run: Run,
        outcome: Result[Response, HttpFailure],
    ) -> None:
        if self.runs.pop(run.ticket) is None:
            return
        if isinstance(outcome, Err):
            self._on_failed(run, outcome.err_value)
        else:
            self._on_answered(run, outcome.ok_value)
        self._release_slot(run.ticket)

    def _on_answered(self, run: Run, response: Response) -> None:
        call = run.call
        self.watch.on_answer()
        self.directives.observe(response, run.ticket.started_at)
        self._slowness_meter.observe(response)
        rejection = self._dialect.rejection(response)
        if rejection is not None:
            if rejection is not ErrorKind.OVERLOADED:
                self.watch.check_connectivity()
            refusal = self._replies.refusal(call, rejection, has_arrived=True)
            run.respond(refusal)
            return
        has_failed_below = self._outcomes.on_answered(run, response)
        if self._quarantine.on_answer(call.fingerprint):
            self._owner.on_cleared(call.fingerprint)
        run.respond(
            self._replies.answer(
                call,
                response,
                has_failed_below=has_failed_below,
            ),
        )

    def _on_failed(self, run: Run, failure: HttpFailure) -> None:
        call = run.call
        if not failure.is_sent:
            # The target has received nothing, so the call did not run.
            self.watch.check_connectivity()
            run.respond(self._replies.refusal(call, ErrorKind.NO_TARGET))
            return
        if failure.is_timeout:
            self.gate.on_overload()
            run.respond(Failure(call.id, ErrorKind.TIMED_OUT.value, False))
            return
        self.breaker.on_failure(self._clock.now())
        fingerprints = [call.fingerprint, *self.runs.running_fingerprints()]
        self.gate.on_overload()
        # The failure is sent only after the other nodes were told of a crash.
        self.watch.on_loss(
            fingerprints,
            lambda has_crashed: run.respond(
                Failure(call.id, ErrorKind.TARGET_FAILED.value, has_crashed),
            ),
        )

    def _on_directive(self, directive: TargetDirective) -> None:
        self.gate.limit_rate(directive.rate_limit, self._clock.now())
        announcement = self.announcement
        if announcement is not None and directive.is_leaving:
            self.announce(announcement)
        self.admit()

    def _release_slot(self, ticket: Ticket) -> None:
        self.gate.finish(ticket)
        self.admit()

    def _schedule_admission(self, now: float) -> None:
        """Schedule ``admit`` for when a cold target may take a queued call."""
        wait = self.gate.delay_until_start(now)
        if wait is None:
            return
        if self._admission_timer is not None:
            self._admission_timer.cancel()
        self._admission_timer = self._reactor.timers.after(wait, self.admit)

    def _expire_queue(self) -> None:
        for ticket in self.gate.expire(self._clock.now()):
            self._respond_refused(ticket, ErrorKind.OVERLOADED)


def _no_target_reason(call: Call, watch: TargetWatch) -> ErrorKind | None:
    """Return why no target can take the call, or None if one can."""
    announcement = watch.announcement
    if announcement is None or announcement.service != call.service:
        return ErrorKind.NO_TARGET
    if announcement.is_leaving:
        return ErrorKind.LEAVING
    return None if watch.is_ready else ErrorKind.NO_TARGET
