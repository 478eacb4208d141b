"""The only way to the target beside this node."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from result import Err, Result

from bluebellsill.admission import Admission, Decision, Gate, Ticket
from bluebellsill.breaker import Breaker
from bluebellsill.errors import ErrorKind
from bluebellsill.http import Request, Response, end_to_end
from bluebellsill.http_client import Exchange, HttpFailure
from bluebellsill.logs import get_logger
from bluebellsill.measuring import Measuring
from bluebellsill.messages import Answer, Call, Failure, Refusal
from bluebellsill.resources import Service
from bluebellsill.target_dialect import OwnDialect, TargetDialect
from bluebellsill.target_watch import (
    OWN_WATCH_RULES,
    Announcement,
    TargetWatch,
    WatchRules,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor
    from bluebellsill.timers import Timer

__all__ = ('Run', 'TargetOwner', 'TargetRunner')

# The request's time was too short, or there was too much of a load.
_NO_FAULT = frozenset(
    (HTTPStatus.GATEWAY_TIMEOUT, HTTPStatus.SERVICE_UNAVAILABLE),
)


class TargetOwner(Protocol):
    """What the runner asks of the node that it is part of."""

    def refusal(self) -> ErrorKind | None:
        """Return why new work is refused at this node, if it is."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""

    def on_target_changed(self) -> None:
        """The target has come, is leaving or has gone."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """A start of the target has crashed with requests in flight."""

    def on_cleared(self, fingerprint: int) -> None:
        """A suspected request has been answered."""


class Run:
    """One call at the target's node, from offer to answer."""

    __slots__ = ('call', 'exchange', 'has_failed_below', 'respond', 'ticket')

    def __init__(
        self,
        call: Call,
        ticket: Ticket,
        respond: Callable[[Answer | Refusal | Failure], None],
    ) -> None:
        """Create a run that responds once."""
        self.call = call
        self.ticket = ticket
        self.respond = respond
        self.exchange: Exchange | None = None
        self.has_failed_below = False


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
        self._metrics = metrics
        self._watch = TargetWatch(
            reactor,
            self,
            metrics,
            self._dialect,
            rules,
        )
        self._log = get_logger('runner')
        self._runs_by_ticket: dict[Ticket, Run] = {}
        self._start_timer: Timer | None = None
        self._breaker = Breaker()
        self._measuring = Measuring(
            reactor.timers,
            self.gate,
            self._watch.measure,
            self._admit,
        )

    @property
    def announcement(self) -> Announcement | None:
        """The last word of the target, or None without one."""
        return self._watch.announcement

    @property
    def is_ready(self) -> bool:
        """Whether a target is there that wants work."""
        return self._watch.is_ready

    @property
    def opened_connections(self) -> int:
        """The number of connections opened to the present target so far."""
        return self._watch.pool.opened if self._watch.pool else 0

    def doubt_temperature(self) -> None:
        """Take the target for cold until it says otherwise."""
        self._watch.doubt_temperature()

    @property
    def in_flight(self) -> int:
        """The number of calls that run or wait."""
        return self.gate.load

    def announce(self, announcement: Announcement) -> None:
        """Take in a target's word."""
        self._watch.announce(announcement)
        self.gate.resize(announcement.slots or self._watch.service.slots)
        if announcement.is_leaving:
            self.refuse_queue(ErrorKind.LEAVING)

    # The watch asks these.

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""
        return self._owner.service_of(name)

    def on_target_cold(self) -> None:
        """Start to ramp up again."""
        self.gate.on_cold()
        self._breaker.reset()

    def on_target_temperature(self, cold_until: float) -> None:
        """Bound the starts while the target is cold."""
        self.gate.set_cold(cold_until, self._watch.service.cold_per_s)
        self._admit()

    def on_probed(self, response: Response) -> None:
        """Take in what a probe's answer tells of the target's slowness."""
        self._measuring.observe(self._dialect.slowness(response))
        self._measuring.end()

    def on_target_changed(self) -> None:
        """Pass the news on."""
        self._owner.on_target_changed()

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Pass a crash on."""
        self._owner.on_crash(start_id, fingerprints)

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
            respond(self._refuse(call, kind))
            return None
        ticket = _ticket(call, now)
        run = Run(call, ticket, respond)
        decision, shed = self.gate.offer(ticket, now)
        if shed is not None:
            self._respond_refused(shed, ErrorKind.OVERLOADED)
        if decision is Decision.REFUSE:
            respond(self._refuse(call, ErrorKind.OVERLOADED, ticket))
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
        self._watch.close()

    def document(self) -> dict[str, Any]:
        """Return the state of the target as JSON types."""
        announcement = self.announcement
        return {
            'service': announcement.service if announcement else '',
            'is_ready': self._watch.is_ready,
            'in_flight': self.gate.in_flight,
            'waiting': self.gate.load - self.gate.in_flight,
            'limit': self.gate.limit,
        }

    def _refusal(self, call: Call, now: float) -> ErrorKind | None:
        announcement = self.announcement
        if announcement is None or announcement.service != call.service:
            return ErrorKind.NO_TARGET
        if announcement.is_leaving:
            return ErrorKind.LEAVING
        if not self._watch.is_ready:
            return ErrorKind.NO_TARGET
        if self._quarantine.is_refused(call.fingerprint, now):
            return ErrorKind.QUARANTINED
        if call.budget_ms <= 0:
            return ErrorKind.EXPIRED
        kind = self._owner.refusal()
        if kind is None and not self._breaker.lets_through(now):
            return ErrorKind.TARGET_FAILING
        return kind

    def _refuse(
        self,
        call: Call,
        kind: ErrorKind,
        ticket: Ticket | None = None,
        *,
        has_arrived: bool = False,
    ) -> Refusal:
        self._metrics.counts[f'refused_{kind.value}'] += 1
        retry_after = ticket.retry_after if ticket else 0
        self._log.info(
            'refused',
            correlation=call.correlation,
            kind=kind.value,
            in_flight=self.gate.in_flight,
            load=self.gate.load,
            limit=self.gate.limit,
            retry_after_ms=int(retry_after * 1000),
            by_target=has_arrived,
        )
        return Refusal(
            call.id,
            kind.value,
            self.gate.load,
            self.gate.limit,
            int(retry_after * 1000),
            has_arrived,
            self._measuring.slowness,
            self._breaker.share(self._clock.now()),
        )

    def _respond_refused(self, ticket: Ticket, kind: ErrorKind) -> None:
        run = self._runs_by_ticket.pop(ticket, None)
        if run is not None:
            run.respond(self._refuse(run.call, kind, ticket))

    def _dispatch(self, run: Run) -> None:
        call = run.call
        pool = self._watch.pool
        announcement = self.announcement
        timeout = run.ticket.expires_at - self._clock.now()
        if pool is None or announcement is None or timeout <= 0:
            is_late = timeout <= 0
            kind = ErrorKind.EXPIRED if is_late else ErrorKind.NO_TARGET
            self._runs_by_ticket.pop(run.ticket, None)
            self._free(run.ticket)
            run.respond(self._refuse(call, kind))
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
        self._watch.on_answer()
        self._measuring.observe(self._dialect.slowness(response))
        rejection = self._dialect.rejection(response)
        if rejection is not None:
            if rejection is not ErrorKind.OVERLOADED:
                self._watch.check_soon()
            run.respond(self._refuse(call, rejection, has_arrived=True))
            return
        is_error = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        has_failed_below = run.has_failed_below and is_error
        now = self._clock.now()
        if not has_failed_below and response.status not in _NO_FAULT:
            self._note_outcome(is_failure=is_error)
        if not is_error:
            self.gate.on_answer(run.ticket, now)
        elif response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # What a service below sheds says nothing of this target.
            if not has_failed_below:
                self.gate.on_shed()
        if self._quarantine.on_answer(call.fingerprint):
            self._owner.on_cleared(call.fingerprint)
        run.respond(
            Answer(
                call.id,
                response.status,
                end_to_end(response.headers),
                response.body,
                self.gate.load - 1,
                self.gate.limit,
                has_failed_below,
                self._measuring.slowness,
                self._breaker.share(now),
            ),
        )

    def _on_failed(self, run: Run, failure: HttpFailure) -> None:
        call = run.call
        if failure.is_timeout:
            self.gate.on_shed()
            run.respond(Failure(call.id, ErrorKind.TIMED_OUT.value, False))
            return
        if not failure.is_sent:
            # The connection was never established, so nothing ran.
            self._watch.check_soon()
            run.respond(self._refuse(call, ErrorKind.NO_TARGET))
            return
        self._note_outcome(is_failure=True)
        running = [one.call.fingerprint for one in self._running_with(run)]
        self.gate.on_shed()
        # The answer waits until the other nodes have been told of a crash.
        self._watch.on_loss(
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
        self._admit()

    def _admit(self) -> None:
        now = self._clock.now()
        for admitted in self.gate.admit(now):
            self._dispatch(self._runs_by_ticket[admitted])
        self._expire_queue()
        self._wake_for_start(now)
        self._measuring.start()

    def _wake_for_start(self, now: float) -> None:
        """Look again once a cold target may be given a waiting call."""
        wait = self.gate.next_start(now)
        if wait is None:
            return
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._start_timer = self._reactor.timers.after(wait, self._admit)

    def _note_outcome(self, *, is_failure: bool) -> None:
        was_open = self._breaker.is_open
        now = self._clock.now()
        if is_failure:
            self._breaker.on_failure(now)
        else:
            self._breaker.on_success(now)
        if self._breaker.is_open != was_open:
            self._log.warning(
                'breaker opened' if not was_open else 'breaker closed',
                failing=round(self._breaker.share(now), 2),
            )

    def _expire_queue(self) -> None:
        for ticket in self.gate.expire(self._clock.now()):
            self._respond_refused(ticket, ErrorKind.OVERLOADED)


def _ticket(call: Call, now: float) -> Ticket:
    ticket = Ticket(call.priority, now + call.budget_ms / 1000)
    if call.target_latency_ms:
        ticket.wanted_at = now + call.target_latency_ms / 1000
    ticket.route = call.route
    ticket.is_inner = call.is_inner
    ticket.may_wait = call.may_wait
    return ticket
