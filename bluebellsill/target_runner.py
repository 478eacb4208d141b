"""The only way to the target beside this node."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from result import Err, Result

from bluebellsill.admission import Decision, Gate, Ticket
from bluebellsill.errors import ErrorKind
from bluebellsill.http import Request, Response, end_to_end
from bluebellsill.http_client import Exchange, HttpFailure
from bluebellsill.messages import Answer, Call, Failure, Refusal
from bluebellsill.resources import Service
from bluebellsill.target_watch import Announcement, TargetWatch

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor

__all__ = ('Run', 'TargetOwner', 'TargetRunner')


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
    ) -> None:
        """Create a runner that has not heard of a target."""
        self.gate = Gate(1)
        self._reactor = reactor
        self._clock = reactor.timers.clock
        self._owner = owner
        self._quarantine = quarantine
        self._metrics = metrics
        self._watch = TargetWatch(reactor, self, metrics)
        self._runs_by_ticket: dict[Ticket, Run] = {}

    @property
    def announcement(self) -> Announcement | None:
        """The last word of the target, or None without one."""
        return self._watch.announcement

    @property
    def in_flight(self) -> int:
        """The number of calls that run or wait."""
        return self.gate.load

    def announce(self, announcement: Announcement) -> None:
        """Take in a target's word."""
        self._watch.announce(announcement)
        self.gate.ramp.resize(self._watch.service.slots)

    # The watch asks these.

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""
        return self._owner.service_of(name)

    def on_target_cold(self) -> None:
        """Start to ramp up again."""
        self.gate.ramp.on_cold()

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
        ticket = Ticket(call.priority, now + call.budget_ms / 1000)
        run = Run(call, ticket, respond)
        decision, shed = self.gate.offer(ticket, now)
        if shed is not None:
            self._respond_refused(shed, ErrorKind.OVERLOADED)
        if decision is Decision.REFUSE:
            respond(self._refuse(call, ErrorKind.OVERLOADED))
            return None
        self._runs_by_ticket[ticket] = run
        if decision is Decision.RUN:
            self._dispatch(run)
        else:
            wait = ticket.leaves_queue_at - now
            self._reactor.timers.after(wait, self._expire_queue)
        return run

    def cancel(self, run: Run) -> None:
        """Stop a call for which nobody waits any more."""
        if self._runs_by_ticket.pop(run.ticket, None) is None:
            return
        if self.gate.withdraw(run.ticket):
            return
        if run.exchange is not None:
            run.exchange.cancel()
        self._free(run.ticket)

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
        if self._quarantine.is_refused(call.fingerprint, now):
            return ErrorKind.QUARANTINED
        if call.budget_ms <= 0:
            return ErrorKind.EXPIRED
        return self._owner.refusal()

    def _refuse(self, call: Call, kind: ErrorKind) -> Refusal:
        self._metrics.counts[f'refused_{kind.value}'] += 1
        return Refusal(call.id, kind.value, self.gate.load, self.gate.limit)

    def _respond_refused(self, ticket: Ticket, kind: ErrorKind) -> None:
        run = self._runs_by_ticket.pop(ticket, None)
        if run is not None:
            run.respond(self._refuse(run.call, kind))

    def _dispatch(self, run: Run) -> None:
        call = run.call
        pool = self._watch.pool
        timeout = run.ticket.expires_at - self._clock.now()
        if pool is None or timeout <= 0:
            self._runs_by_ticket.pop(run.ticket, None)
            self._free(run.ticket)
            run.respond(self._refuse(call, ErrorKind.EXPIRED))
            return
        headers = [
            *call.headers,
            ('host', str(pool.address)),
            ('bluebellsill-deadline-ms', str(int(timeout * 1000))),
            ('bluebellsill-correlation', call.correlation),
        ]
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
        now = self._clock.now()
        self._watch.on_answer()
        is_error = response.status >= HTTPStatus.INTERNAL_SERVER_ERROR
        has_failed_below = run.has_failed_below and is_error
        if not is_error:
            latency = now - run.ticket.started_at
            self.gate.ramp.on_answer(latency, self.gate.in_flight)
        elif response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            # What a service below sheds says nothing of this target.
            if not has_failed_below:
                self.gate.ramp.on_shed()
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
            ),
        )

    def _on_failed(self, run: Run, failure: HttpFailure) -> None:
        call = run.call
        if failure.is_timeout:
            self.gate.ramp.on_shed()
            run.respond(Failure(call.id, ErrorKind.TIMED_OUT.value, False))
            return
        if not failure.is_sent:
            # The connection was never established, so nothing ran.
            self._watch.check_soon()
            run.respond(self._refuse(call, ErrorKind.NO_TARGET))
            return
        running = [one.call.fingerprint for one in self._running_with(run)]
        self.gate.ramp.on_shed()
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
        for admitted in self.gate.admit(self._clock.now()):
            self._dispatch(self._runs_by_ticket[admitted])

    def _expire_queue(self) -> None:
        for ticket in self.gate.expire(self._clock.now()):
            self._respond_refused(ticket, ErrorKind.OVERLOADED)
