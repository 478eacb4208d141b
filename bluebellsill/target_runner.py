"""The only way to the target beside this node."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from result import Err, Result

from bluebellsill.admission import Admission, Decision, Gate, Ticket
from bluebellsill.announcement import Announcement
from bluebellsill.breaker import Breaker
from bluebellsill.errors import ErrorKind
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpFailure
from bluebellsill.measuring import Measuring
from bluebellsill.messages import Answer, Call, Failure, Refusal
from bluebellsill.run_replies import RunReplies
from bluebellsill.runs import Run, TargetOwner, ticket_of
from bluebellsill.target_dialect import OwnDialect, TargetDialect
from bluebellsill.target_watch import TargetWatch
from bluebellsill.watch_events import WatchEvents
from bluebellsill.watch_rules import OWN_WATCH_RULES, WatchRules

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor
    from bluebellsill.timers import Timer

__all__ = ('TargetRunner',)

# The request's time was too short, or there was too much of a load.
_NO_FAULT = frozenset(
    (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.SERVICE_UNAVAILABLE),
)


class TargetRunner:
    """Owns the connections to the target and everything that runs there."""

    def __init__(
        self,
        reactor: Reactor,
        owner: TargetOwner,
        quarantine: Quarantine,
        metrics: Metrics,
        gate: Admission | None = None,
        dialect: TargetDialect | None = None,
        rules: WatchRules = OWN_WATCH_RULES,
    ) -> None:
        """Create a runner that has not heard of a target.

        Args:
            reactor: Waits for the sockets.
            owner: The node.
            quarantine: Knows the requests that crash targets.
            metrics: Count what becomes of calls.
            gate: Decides what runs; by default it finds the limit out.
            dialect: How to speak to the target; the project's by default.
            rules: How the target is watched.
        """
        self.gate: Admission = gate or Gate(1)
        self._dialect: TargetDialect = dialect or OwnDialect()
        self._reactor = reactor
        self._clock = reactor.timers.clock
        self._owner = owner
        self._quarantine = quarantine
        self.breaker = Breaker()
        self.watch = TargetWatch(
            reactor,
            WatchEvents(self, owner),
            metrics,
            self._dialect,
            rules,
        )
        self._runs_by_ticket: dict[Ticket, Run] = {}
        self._start_timer: Timer | None = None
        self._measuring = Measuring(
            reactor.timers,
            self.gate,
            self.watch.measure,
            self.admit,
        )
        self._replies = RunReplies(
            self.gate,
            self._measuring,
            self.breaker,
            metrics,
            self._clock,
        )

    @property
    def announcement(self) -> Announcement | None:
        """The last word of the target, or None without one."""
        return self.watch.announcement

    @property
    def in_flight(self) -> int:
        """The number of calls that run or wait."""
        return self.gate.load

    def announce(self, announcement: Announcement) -> None:
        """Take in a target's word."""
        self.watch.announce(announcement)
        self.gate.resize(announcement.slots or self.watch.service.slots)
        if announcement.is_leaving:
            self.refuse_queue(ErrorKind.LEAVING)

    def on_probed(self, response: Response) -> None:
        """Take in what a probe's answer tells of the target's slowness."""
        self._measuring.observe(self._dialect.slowness(response))
        self._measuring.end()

    # Calls.

    def run(
        self,
        call: Call,
        respond: Callable[[Answer | Refusal | Failure], None],
    ) -> Run | None:
        """Run a call, let it wait or refuse it.

        Args:
            call: The call, whose time budget starts now.
            respond: Called once with what becomes of it.

        Returns:
            The run, to cancel it, or None where it was refused.
        """
        now = self._clock.now()
        kind = self._refusal(call, now)
        if kind is not None:
            respond(self._replies.refusal(call, kind))
            return None
        ticket = ticket_of(call, now)
        run = Run(call, ticket, respond)
        decision, shed = self.gate.offer(ticket, now)
        if shed is not None:
            self._respond_refused(shed, ErrorKind.OVERLOADED)
        if decision is Decision.REFUSE:
            respond(self._replies.refusal(call, ErrorKind.OVERLOADED, ticket))
            return None
        self._runs_by_ticket[ticket] = run
        if decision is Decision.RUN:
            self._dispatch(run)
        else:
            wait = max(0, ticket.leaves_queue_at - now)
            self._reactor.timers.after(wait, self._expire_queue)
            left = max(0, ticket.expires_at - now)
            self._reactor.timers.after(left, self._expire_queue)
            self._wake_for_start(now)
            self._measuring.start()
        return run

    def cancel(self, run: Run) -> None:
        """Stop a call for which nobody waits any more.

        One that runs and is not idempotent goes on: nobody could tell how
        far it has come.
        """
        if run.ticket not in self._runs_by_ticket:
            return
        if self.gate.withdraw(run.ticket):
            del self._runs_by_ticket[run.ticket]
            return
        if not run.call.is_idempotent:
            return
        del self._runs_by_ticket[run.ticket]
        if run.exchange is not None:
            run.exchange.cancel()
        self._free(run.ticket)

    def is_running(self, correlation: str) -> bool:
        """Return whether the target works on a call of that name."""
        return any(
            run.call.correlation == correlation and run.ticket.started_at
            for run in self._runs_by_ticket.values()
        )

    def refuse_queue(self, kind: ErrorKind) -> None:
        """Refuse every call that waits."""
        for ticket in self.gate.drop_queue():
            self._respond_refused(ticket, kind)

    def on_failed_below(self, correlation: str) -> None:
        """A call that the target made for one of its runs has failed.

        Args:
            correlation: Names the run.
        """
        for run in self._runs_by_ticket.values():
            if run.call.correlation == correlation:
                run.has_failed_below = True

    def close(self) -> None:
        """Close every connection to the target."""
        self.watch.close()

    def admit(self) -> None:
        """Start what may start now, and see to it that the rest may."""
        now = self._clock.now()
        for admitted in self.gate.admit(now):
            self._dispatch(self._runs_by_ticket[admitted])
        self._expire_queue()
        self._wake_for_start(now)
        self._measuring.start()

    def document(self) -> dict[str, Any]:
        """Return the state of the target as JSON types."""
        announcement = self.announcement
        return {
            'service': announcement.service if announcement else '',
            'is_ready': self.watch.is_ready,
            'in_flight': self.gate.in_flight,
            'waiting': self.gate.load - self.gate.in_flight,
            'limit': self.gate.limit,
        }

    def _refusal(self, call: Call, now: float) -> ErrorKind | None:
        kind = self._absence(call)
        if kind is not None:
            return kind
        if self._quarantine.is_refused(call.fingerprint, now):
            return ErrorKind.QUARANTINED
        if call.budget_ms <= 0:
            return ErrorKind.EXPIRED
        kind = self._owner.refusal()
        if kind is None and not self.breaker.lets_through(now):
            return ErrorKind.TARGET_FAILING
        return kind

    def _absence(self, call: Call) -> ErrorKind | None:
        """Return why there is no target for a call, if there is none."""
        announcement = self.announcement
        if announcement is None or announcement.service != call.service:
            return ErrorKind.NO_TARGET
        if announcement.is_leaving:
            return ErrorKind.LEAVING
        return None if self.watch.is_ready else ErrorKind.NO_TARGET

    def _respond_refused(self, ticket: Ticket, kind: ErrorKind) -> None:
        run = self._runs_by_ticket.pop(ticket, None)
        if run is not None:
            run.respond(self._replies.refusal(run.call, kind, ticket))

    def _dispatch(self, run: Run) -> None:
        call = run.call
        pool = self.watch.pool
        announcement = self.announcement
        timeout = run.ticket.expires_at - self._clock.now()
        if pool is None or announcement is None or timeout <= 0:
            is_late = timeout <= 0
            kind = ErrorKind.EXPIRED if is_late else ErrorKind.NO_TARGET
            self._runs_by_ticket.pop(run.ticket, None)
            self._free(run.ticket)
            run.respond(self._replies.refusal(call, kind))
            return
        headers = self._dialect.headers(call, timeout, announcement)
        request = Request(call.method, call.path, headers, call.body)
        run.exchange = pool.request(
            request,
            timeout,
            lambda done: self._on_done(run, done),
        )

    def _on_done(
        self,
        run: Run,
        done: Result[Response, HttpFailure],
    ) -> None:
        if self._runs_by_ticket.pop(run.ticket, None) is None:
            return
        if isinstance(done, Err):
            self._on_failed(run, done.err_value)
        else:
            self._on_answered(run, done.ok_value)
        self._free(run.ticket)

    def _on_answered(self, run: Run, response: Response) -> None:
        call = run.call
        self.watch.on_answer()
        self._measuring.observe(self._dialect.slowness(response))
        rejection = self._dialect.rejection(response)
        if rejection is not None:
            if rejection is not ErrorKind.OVERLOADED:
                self.watch.check_soon()
            refusal = self._replies.refusal(call, rejection, has_arrived=True)
            run.respond(refusal)
            return
        has_failed_below = run.has_failed_below and _is_error(response)
        # What a service below sheds says nothing of this target.
        if not has_failed_below:
            self._learn(run.ticket, response)
        if self._quarantine.on_answer(call.fingerprint):
            self._owner.on_cleared(call.fingerprint)
        run.respond(
            self._replies.answer(
                call,
                response,
                has_failed_below=has_failed_below,
            ),
        )

    def _learn(self, ticket: Ticket, response: Response) -> None:
        """Take in what an answer says of how the target does."""
        now = self._clock.now()
        if not _is_error(response):
            self.breaker.on_success(now)
            self.gate.on_answer(ticket, now)
        elif response.status not in _NO_FAULT:
            self.breaker.on_failure(now)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.gate.on_shed()

    def _on_failed(self, run: Run, failure: HttpFailure) -> None:
        call = run.call
        if failure.is_timeout:
            self.gate.on_shed()
            run.respond(Failure(call.id, ErrorKind.TIMED_OUT.value, False))
            return
        if not failure.is_sent:
            # The connection was never established, so nothing ran.
            self.watch.check_soon()
            run.respond(self._replies.refusal(call, ErrorKind.NO_TARGET))
            return
        self.breaker.on_failure(self._clock.now())
        running = [one.call.fingerprint for one in self._running_with(run)]
        self.gate.on_shed()
        # The answer waits until the other nodes have been told of a crash.
        self.watch.on_loss(
            running,
            lambda has_crashed: run.respond(
                Failure(call.id, ErrorKind.TARGET_FAILED.value, has_crashed),
            ),
        )

    def _running_with(self, run: Run) -> list[Run]:
        others = [
            one
            for one in self._runs_by_ticket.values()
            if one.ticket.started_at
        ]
        return [run, *others]

    def _free(self, ticket: Ticket) -> None:
        self.gate.finish(ticket)
        self.admit()

    def _wake_for_start(self, now: float) -> None:
        """Look again once a cold target may be given a waiting call."""
        wait = self.gate.next_start(now)
        if wait is None:
            return
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = self._reactor.timers.after(wait, self.admit)

    def _expire_queue(self) -> None:
        for ticket in self.gate.expire(self._clock.now()):
            self._respond_refused(ticket, ErrorKind.OVERLOADED)


def _is_error(response: Response) -> bool:
    return response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
