"""The only way to the target beside this node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Protocol

from msgspec import Struct
from result import Err, Result

from bluebellsill.admission import Decision, Gate, Ticket
from bluebellsill.errors import ErrorKind
from bluebellsill.http import Request, Response, end_to_end
from bluebellsill.http_client import Exchange, HttpFailure, HttpPool
from bluebellsill.logs import get_logger
from bluebellsill.messages import Answer, Call, Failure, Refusal
from bluebellsill.probing import ProbeBudget
from bluebellsill.resources import Service
from bluebellsill.streams import Address, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor

__all__ = ('Announcement', 'Run', 'TargetOwner', 'TargetRunner')

ANNOUNCEMENT_LIFETIME = 3.0  # seconds
_EXPIRE_PERIOD = 0.1  # seconds
_MAX_LOSSES = 16
_LOSS_MEMORY = 3.0  # seconds
_QUIET_BEFORE_PROBE = 1.0  # seconds without an answer
_PROBE_TIMEOUT = 1.0  # seconds
_MAX_FAILED_PROBES = 2


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """What a target tells the node beside it, once a second.

    Attributes:
        service: The service that the target belongs to.
        address: Where the target answers, ``host:port``.
        start_id: Differs after each start of the target.
        is_leaving: Whether the target wants no new work.
    """

    service: str
    address: str
    start_id: str
    is_leaving: bool = False


class TargetOwner(Protocol):
    """What the runner asks of the node that it is part of."""

    def refusal(self, service: str) -> ErrorKind | None:
        """Return why new work is refused at this node, if it is."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""

    def on_target_changed(self) -> None:
        """The target has come, is leaving or has gone."""

    def on_crash(self, crash_id: str, fingerprints: list[int]) -> None:
        """The target has crashed with requests in flight."""

    def on_cleared(self, fingerprint: int) -> None:
        """A suspected request has been answered."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """A connection that ended before its answer, and what ran beside it."""

    at: float
    fingerprints: list[int]


class Run:
    """One call at the target's node, from offer to answer."""

    __slots__ = ('call', 'exchange', 'respond', 'ticket')

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
        self.announcement: Announcement | None = None
        self.gate = Gate(1)
        self._reactor = reactor
        self._clock = reactor.timers.clock
        self._owner = owner
        self._quarantine = quarantine
        self._metrics = metrics
        self._pool: HttpPool | None = None
        self._announced_at: float = 0
        self._answered_at: float = 0
        self._runs_by_ticket: dict[Ticket, Run] = {}
        self._losses: deque[_Loss] = deque(maxlen=_MAX_LOSSES)
        self._is_checking = False
        self._probe_budget: ProbeBudget | None = None
        self._failed_probes = 0
        self._log = get_logger('target')
        reactor.timers.every(_EXPIRE_PERIOD, self._check_target)

    @property
    def is_ready(self) -> bool:
        """Whether a target is there that wants work."""
        return self.announcement is not None and (
            not self.announcement.is_leaving
        )

    @property
    def in_flight(self) -> int:
        """The number of calls that run or wait."""
        return self.gate.load

    def announce(self, announcement: Announcement) -> None:
        """Take in a target's word."""
        known = self.announcement
        self._announced_at = self._clock.now()
        self.announcement = announcement
        if known is None or known.start_id != announcement.start_id:
            self._on_started(announcement, has_restarted=known is not None)
        self._apply_service()
        if known is None or known != announcement:
            self._owner.on_target_changed()

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

    def close(self) -> None:
        """Close every connection to the target."""
        if self._pool is not None:
            self._pool.close()

    def document(self) -> dict[str, Any]:
        """Return the state of the target as JSON types."""
        announcement = self.announcement
        return {
            'service': announcement.service if announcement else '',
            'is_ready': self.is_ready,
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
        return self._owner.refusal(call.service)

    def _refuse(self, call: Call, kind: ErrorKind) -> Refusal:
        self._metrics.counts[f'refused_{kind.value}'] += 1
        return Refusal(call.id, kind.value, self.gate.load, self.gate.limit)

    def _respond_refused(self, ticket: Ticket, kind: ErrorKind) -> None:
        run = self._runs_by_ticket.pop(ticket, None)
        if run is not None:
            run.respond(self._refuse(run.call, kind))

    def _dispatch(self, run: Run) -> None:
        call = run.call
        pool = self._pool
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
        self._answered_at = now
        self._failed_probes = 0
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.gate.ramp.on_shed()
        elif response.status < HTTPStatus.INTERNAL_SERVER_ERROR:
            latency = now - run.ticket.started_at
            self.gate.ramp.on_answer(latency, self.gate.in_flight)
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
            self._check_soon()
            run.respond(self._refuse(call, ErrorKind.NO_TARGET))
            return
        running = [one.call.fingerprint for one in self._running_with(run)]
        self._losses.append(_Loss(self._clock.now(), running))
        self.gate.ramp.on_cold()
        self._check_soon()
        run.respond(Failure(call.id, ErrorKind.TARGET_FAILED.value, True))

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

    # Whether the target is there.

    def _apply_service(self) -> None:
        if self.announcement is None:
            return
        declared = self._owner.service_of(self.announcement.service)
        service = declared or Service()
        self.gate.ramp.resize(service.slots)
        cost, budget = service.probe_cost_ms, service.probe_budget_ms
        if self._probe_budget is None:
            now = self._clock.now()
            self._probe_budget = ProbeBudget(cost, budget, now)
        self._probe_budget.update(cost, budget)

    def _on_started(
        self,
        announcement: Announcement,
        *,
        has_restarted: bool,
    ) -> None:
        if has_restarted:
            self._confirm_crash()
        if self._pool is not None:
            self._pool.close()
        address = Address.parse(announcement.address)
        self._pool = HttpPool(self._reactor, address)
        self.gate.ramp.on_cold()
        self._failed_probes = 0
        self._answered_at = self._clock.now()
        self._log.info('target started', service=announcement.service)

    def _check_target(self) -> None:
        if self.announcement is None:
            return
        now = self._clock.now()
        if now - self._announced_at > ANNOUNCEMENT_LIFETIME:
            self._lose_target('announcement lapsed')
        elif now - self._answered_at > _QUIET_BEFORE_PROBE:
            self._probe(now)

    def _probe(self, now: float) -> None:
        if self._pool is None or self._probe_budget is None:
            return
        if self._is_checking or not self._probe_budget.take(now):
            return
        assert self.announcement is not None
        declared = self._owner.service_of(self.announcement.service)
        path = (declared or Service()).health_path
        self._is_checking = True
        self._metrics.counts['probes'] += 1
        request = Request('GET', path, [('host', str(self._pool.address))])
        self._pool.request(request, _PROBE_TIMEOUT, self._on_probed)

    def _on_probed(self, done: Result[Response, HttpFailure]) -> None:
        self._is_checking = False
        if not isinstance(done, Err):
            # Health reports may lie: they never raise the limit.
            self._failed_probes = 0
            return
        self._failed_probes += 1
        is_refused = not done.err_value.is_sent
        if is_refused or self._failed_probes >= _MAX_FAILED_PROBES:
            self._lose_target(f'probe failed: {done.err_value.reason}')

    def _check_soon(self) -> None:
        """Look whether the target still accepts connections."""
        if self._is_checking or self._pool is None:
            return
        self._is_checking = True
        pool = self._pool
        _ConnectCheck(self._reactor, pool.address, self._on_checked)

    def _on_checked(self, accepts: bool) -> None:  # noqa: FBT001
        self._is_checking = False
        if not accepts:
            self._confirm_crash()
            self._lose_target('connection refused')

    def _confirm_crash(self) -> None:
        now = self._clock.now()
        recent = [loss for loss in self._losses if now - loss.at < _LOSS_MEMORY]
        self._losses.clear()
        if not recent:
            return
        fingerprints = sorted(
            {
                fingerprint
                for loss in recent
                for fingerprint in loss.fingerprints
            }
        )
        crash_id = f'{self._pool.address if self._pool else ""}@{now:.3f}'
        self._owner.on_crash(crash_id, fingerprints)

    def _lose_target(self, reason: str) -> None:
        self._log.warning('target lost', reason=reason)
        self.announcement = None
        self.gate.ramp.on_cold()
        self._owner.on_target_changed()


class _ConnectCheck:
    """Opens a connection and closes it at once."""

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_done: Callable[[bool], None],
    ) -> None:
        self._on_done = on_done
        self._stream = Stream.connect(reactor, address, self)

    def on_connected(self) -> None:
        """Report that the target accepts connections."""
        self._stream.close()
        self._on_done(True)  # noqa: FBT003

    def on_bytes(self, chunk: bytes) -> None:
        """Do nothing: the connection is closed once established."""

    def on_lost(self, reason: str) -> None:
        """Report that the target accepts no connections."""
        self._on_done(False)  # noqa: FBT003
