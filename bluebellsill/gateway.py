"""Serves callers at their entry node."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err

from bluebellsill.calls import PlacedCall
from bluebellsill.choice import ChoiceName, make_choice
from bluebellsill.dispatch import Dispatch
from bluebellsill.errors import Problem, Run
from bluebellsill.filters import (
    CallerFilter,
    DeadlineFilter,
    Inbound,
    QuarantineFilter,
    ServiceFilter,
    run_filters,
)
from bluebellsill.http import (
    Request,
    Response,
    problem_response,
)
from bluebellsill.http_server import Reply
from bluebellsill.keyed_call import KeyedCall
from bluebellsill.logs import get_logger
from bluebellsill.membership import MemberState
from bluebellsill.resources import OUTSIDE
from bluebellsill.retries import RetryBudget
from bluebellsill.routing import Router

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bluebellsill.configuration import Configuration
    from bluebellsill.gossip_messages import Member
    from bluebellsill.keyed_call import KeyHolders
    from bluebellsill.membership import Members
    from bluebellsill.metrics import Metrics
    from bluebellsill.peers import PeerLinks
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.target_runner import TargetRunner

__all__ = ('Gateway',)

_CORRELATION_HEADER = 'bluebellsill-correlation'
_CORRELATION_BITS = 32
_MAX_CORRELATION_LENGTH = 128  # characters


class _Route:
    """What an entry node keeps for one service."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.budget = RetryBudget()
        self.is_current = False


class Gateway:
    """Filters callers' requests and places them at targets."""

    def __init__(
        self,
        members: Members,
        configuration: Configuration,
        links: PeerLinks,
        runner: TargetRunner,
        quarantine: Quarantine,
        metrics: Metrics,
        key_holders: KeyHolders,
        random: Random,
        choice: ChoiceName,
    ) -> None:
        """Create a gateway; it follows members and configuration."""
        self.in_flight = 0
        self._members = members
        self._configuration = configuration
        self._links = links
        self._runner = runner
        self._metrics = metrics
        self._key_holders = key_holders
        self._random = random
        self._choice = choice
        self._clock = links.reactor.timers.clock
        self._routes_by_service: dict[str, _Route] = {}
        self._next_call = 0
        self._log = get_logger('gateway')
        now = self._clock.now
        self._filters = (
            ServiceFilter(configuration),
            CallerFilter(),
            DeadlineFilter(now),
            QuarantineFilter(quarantine, now),
        )
        members.subscribe(self._on_member_changed)
        configuration.subscribe(self._on_configuration_changed)

    def handle(self, request: Request, reply: Reply, caller: str) -> None:
        """Serve one request.

        Args:
            request: The whole request.
            reply: The way back.
            caller: ``outside`` or the service of the calling target.
        """
        inbound = Inbound(
            request,
            caller,
            self._correlation(request),
            self._clock.now(),
        )
        self.in_flight += 1
        refused = run_filters(self._filters, inbound)
        if isinstance(refused, Err):
            # Of a request with a key, an earlier try may have run.
            run = Run.UNKNOWN if inbound.key else None
            self._answer(inbound, reply, refused.err_value, run)
        elif inbound.key:
            self._handle_keyed(inbound, reply)
        else:
            self._handle_plain(inbound, reply)

    def _handle_plain(self, inbound: Inbound, reply: Reply) -> None:
        placed = self._placed(
            inbound,
            lambda outcome: self._answer(inbound, reply, outcome),
        )
        if inbound.is_idempotent:
            reply.on_abandoned = lambda: self._on_abandoned(placed)
        placed.start()

    def _handle_keyed(self, inbound: Inbound, reply: Reply) -> None:
        # A caller that goes away may ask for the outcome later, so the
        # call is not cancelled.
        KeyedCall(
            inbound,
            self._key_holders,
            lambda on_done: self._placed(inbound, on_done).start(),
            lambda outcome: self._answer(inbound, reply, outcome),
            inbound.received_at,
        ).start()

    def _placed(
        self,
        inbound: Inbound,
        on_done: Callable[[Response | Problem], None],
    ) -> PlacedCall:
        route = self._route(inbound.service_name)
        dispatch = Dispatch(
            route.router,
            route.budget,
            self._clock,
            deadline=inbound.deadline,
            is_idempotent=inbound.is_idempotent,
        )
        return PlacedCall(
            inbound,
            dispatch,
            self._links,
            self._runner,
            self._members.own.id,
            on_done,
        )

    def _on_abandoned(self, placed: PlacedCall) -> None:
        self.in_flight -= 1
        self._metrics.counts['abandoned'] += 1
        placed.cancel()

    def _answer(
        self,
        inbound: Inbound,
        reply: Reply,
        outcome: Response | Problem,
        run: Run | None = None,
    ) -> None:
        self.in_flight -= 1
        if isinstance(outcome, Problem):
            self._note_status(inbound, outcome.answer.status)
            self._log_problem(inbound, outcome)
            reply.send(problem_response(outcome, inbound.correlation, run))
            return
        self._note_status(inbound, outcome.status)
        self._metrics.counts['answered'] += 1
        seconds = self._clock.now() - inbound.received_at
        self._metrics.record(
            inbound.service_name,
            inbound.request_class.name,
            inbound.tenant,
            seconds,
        )
        # A list of its own: a key's record may share the other one.
        headers = [*outcome.headers, (_CORRELATION_HEADER, inbound.correlation)]
        reply.send(Response(outcome.status, headers, outcome.body))

    def _note_status(self, inbound: Inbound, status: int) -> None:
        """Tell the run of the target here that its onward call failed."""
        is_inner = inbound.caller != OUTSIDE
        if is_inner and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            parent = inbound.request.header(_CORRELATION_HEADER)
            self._runner.on_failed_below(parent)

    def _log_problem(self, inbound: Inbound, problem: Problem) -> None:
        self._metrics.counts[f'answered_{problem.kind.value}'] += 1
        self._log.info(
            'call failed',
            correlation=inbound.correlation,
            service=inbound.service_name,
            request_class=inbound.request_class.name,
            kind=problem.kind.value,
            reason=problem.message,
        )

    def _correlation(self, request: Request) -> str:
        given = request.header(_CORRELATION_HEADER)
        if given and len(given) <= _MAX_CORRELATION_LENGTH:
            return f'{given}/{self._random.getrandbits(_CORRELATION_BITS):08x}'
        self._next_call += 1
        own = self._members.own
        return f'{own.id}/{own.incarnation:x}/{self._next_call:x}'

    def _route(self, service: str) -> _Route:
        route = self._routes_by_service.get(service)
        if route is None:
            own = self._members.own
            choice = make_choice(self._choice, self._random, own.zone)
            route = _Route(Router(own.id, own.zone, choice))
            self._routes_by_service[service] = route
        if not route.is_current:
            route.router.update(self._targets(service))
            route.is_current = True
        return route

    def _targets(self, service: str) -> list[Member]:
        return [
            member
            for member in self._members.of_service(service)
            if member.state == MemberState.READY
            and not self._configuration.is_zone_out(member.zone)
            and not self._configuration.is_target_out(member.id)
        ]

    def _on_member_changed(self, known: Member | None, record: Member) -> None:
        for one in (known, record):
            route = one and self._routes_by_service.get(one.service)
            if route:
                route.is_current = False

    def _on_configuration_changed(self) -> None:
        for route in self._routes_by_service.values():
            route.is_current = False
