"""Serves the requests of callers at their entry node."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.caller_retries import CallerRetryTracker
from bluebellsill.dispatch import Dispatch
from bluebellsill.errors import ErrorKind, Problem, RunStatus
from bluebellsill.filters import InboundRequest, run_filters
from bluebellsill.http import Request, Response
from bluebellsill.http_server import Reply
from bluebellsill.keyed_call import KeyedCall
from bluebellsill.logs import get_logger
from bluebellsill.outbound_call import OutboundCall
from bluebellsill.resources import EXTERNAL_CALLER

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.body_transfer import CallLinks
    from bluebellsill.caller_interface import CallerInterface
    from bluebellsill.entry_step import EntryStep
    from bluebellsill.keyed_call import KeyHolderClient
    from bluebellsill.metrics import Metrics
    from bluebellsill.router_registry import RouterRegistry
    from bluebellsill.target_runner import TargetRunner
    from bluebellsill.teams import ConfirmedLookup

__all__ = ('Gateway',)


@dataclass(frozen=True, slots=True)
class _OpenCall:
    """A call without an outcome, and the request that it serves."""

    inbound: InboundRequest
    call: OutboundCall


class Gateway:
    """Filters callers' requests and sends them to targets.

    Attributes:
        in_flight: Requests that have not been answered yet.
        ends_at: When the process ends, in seconds; a request whose deadline
            is later is refused. None while no end is planned.
        lookup: Delays the refusal of requests that a newer routing document
            may accept; None if refusals are final.
    """

    def __init__(
        self,
        own_id: str,
        interface: CallerInterface,
        router_registry: RouterRegistry,
        links: CallLinks,
        runner: TargetRunner,
        metrics: Metrics,
        key_holders: KeyHolderClient | None = None,
        *,
        avoids_queues: bool = False,
        entry_step: EntryStep | None = None,
    ) -> None:
        """Create a gateway.

        Args:
            own_id: The id of this node.
            interface: The HTTP interface that callers use.
            router_registry: The targets and the retry budget of each service.
            links: Connections to the nodes of other targets.
            runner: Runs calls at the local target.
            metrics: Counts the outcomes of requests.
            key_holders: Claims and settles idempotency keys at the nodes
                that hold them. None if the interface does not support
                idempotency keys.
            avoids_queues: Whether a call looks for a target with a free slot
                before it waits in the queue of one.
            entry_step: Decides on the requests that the filters accept. None
                to send all of them to targets.
        """
        self.in_flight = 0
        self.ends_at: float | None = None
        self.lookup: ConfirmedLookup | None = None
        self._own_id = own_id
        self._interface = interface
        self._router_registry = router_registry
        self._links = links
        self._runner = runner
        self._metrics = metrics
        self._key_holders = key_holders
        self._avoids_queues = avoids_queues
        self._entry_step = entry_step
        self._open_calls_by_reply: dict[Reply, _OpenCall] = {}
        self._caller_retries = CallerRetryTracker()
        self._clock = links.reactor.timers.clock
        self._log = get_logger('gateway')

    def handle(self, request: Request, reply: Reply, caller: str) -> None:
        """Serve one request.

        Args:
            request: The complete request.
            reply: Sends the response to the caller.
            caller: ``outside`` or the service of the calling target.
        """
        inbound = self._make_inbound(request, caller)
        filtered = run_filters(self._interface.filters, inbound)
        if self.lookup is None:
            self._on_filtered(inbound, reply, filtered)
            return
        reply.on_abandoned = lambda: self._on_lookup_abandoned(inbound)
        self.lookup.settle(
            inbound,
            filtered,
            lambda settled: self._on_filtered(inbound, reply, settled),
        )

    def refuse(self, request: Request, reply: Reply, kind: ErrorKind) -> None:
        """Refuse a request without sending it to a target.

        A request that a filter refuses gets the error of the filter.

        Args:
            request: The complete request.
            reply: Sends the response to the caller.
            kind: The error for a request that passes the filters.
        """
        inbound = self._make_inbound(request, EXTERNAL_CALLER)
        filtered = run_filters(self._interface.filters, inbound)
        problem = _stopping_problem(kind)
        # A node that stops does not wait for the document of another one.
        may_change = self.lookup and self.lookup.may_change(inbound, filtered)
        if isinstance(filtered, Err) and not may_change:
            problem = filtered.err_value
        self._respond(inbound, reply, problem)

    def fail_open_calls(self) -> None:
        """Answer every call that has no outcome yet, as the process ends.

        One that has been sent completely to a target's node may have run.
        """
        for reply, one in tuple(self._open_calls_by_reply.items()):
            kind = ErrorKind.OUTCOME_UNKNOWN
            if one.call.has_not_run:
                kind = ErrorKind.LEAVING
            one.call.cancel()
            self._respond(one.inbound, reply, _stopping_problem(kind))

    def _on_filtered(
        self,
        inbound: InboundRequest,
        reply: Reply,
        filtered: Result[None, Problem],
    ) -> None:
        """Serve a request that the filters have accepted."""
        reply.on_abandoned = None
        if isinstance(filtered, Err):
            # An earlier attempt with the same idempotency key may have run.
            run = RunStatus.UNKNOWN if inbound.key else None
            self._respond(inbound, reply, filtered.err_value, run)
            return
        if self.ends_at is not None and inbound.deadline > self.ends_at:
            self._respond(inbound, reply, _stopping_problem(ErrorKind.LEAVING))
            return
        self._match_retry(inbound)
        if self._entry_step is None:
            self._handle_accepted(inbound, reply)
            return
        reply.on_abandoned = lambda: self._on_step_abandoned(inbound)
        self._entry_step.admit(
            inbound,
            lambda problem: self._on_decided(inbound, reply, problem),
        )

    def _on_decided(
        self, inbound: InboundRequest, reply: Reply, problem: Problem | None
    ) -> None:
        reply.on_abandoned = None
        if problem is None:
            self._handle_accepted(inbound, reply)
        else:
            self._respond(inbound, reply, problem)

    def _handle_accepted(self, inbound: InboundRequest, reply: Reply) -> None:
        if inbound.key and self._key_holders is not None:
            self._handle_keyed(inbound, reply, self._key_holders)
        else:
            self._handle_plain(inbound, reply)

    def _handle_plain(self, inbound: InboundRequest, reply: Reply) -> None:
        call = self._make_call(
            inbound,
            lambda outcome: self._on_outcome(inbound, reply, outcome),
        )
        reply.on_abandoned = lambda: self._on_abandoned(inbound, reply, call)
        self._open_calls_by_reply[reply] = _OpenCall(inbound, call)
        call.start()

    def _handle_keyed(
        self,
        inbound: InboundRequest,
        reply: Reply,
        key_holders: KeyHolderClient,
    ) -> None:
        # The call continues if the caller disconnects, since the caller may
        # ask for its outcome later with the same key.
        KeyedCall(
            inbound,
            key_holders,
            lambda on_done: self._make_call(inbound, on_done).start(),
            lambda outcome: self._on_outcome(inbound, reply, outcome),
            inbound.received_at,
        ).start()

    def _match_retry(self, inbound: InboundRequest) -> None:
        """Find out when an outside caller first sent the request."""
        if inbound.caller != EXTERNAL_CALLER:
            return
        inbound.first_attempt_at = self._caller_retries.first_attempt_at(
            inbound.fingerprint,
            inbound.caller_deadline,
            inbound.received_at,
        )

    def _remember_unserved(self, inbound: InboundRequest) -> None:
        """Remember an unserved request, which the caller may send again."""
        if inbound.caller == EXTERNAL_CALLER:
            self._caller_retries.record_unserved(
                inbound.fingerprint,
                inbound.caller_deadline,
                inbound.first_attempt_at,
                self._clock.now(),
            )

    def _make_inbound(self, request: Request, caller: str) -> InboundRequest:
        self.in_flight += 1
        return InboundRequest(
            request,
            caller,
            self._interface.correlation(request),
            self._clock.now(),
        )

    def _make_call(
        self,
        inbound: InboundRequest,
        on_done: Callable[[Response | Problem], None],
    ) -> OutboundCall:
        routing = self._router_registry.of_service(inbound.service_name)
        inbound.traffic = routing.traffic
        dispatch = Dispatch(
            routing.router,
            routing.budget,
            self._clock,
            deadline=inbound.deadline,
            is_idempotent=inbound.is_idempotent,
            route=inbound.route.name,
            max_sends=inbound.route.max_sends,
            avoids_queues=self._avoids_queues,
        )
        return OutboundCall(
            inbound,
            dispatch,
            self._links,
            self._runner,
            self._own_id,
            self._interface.forwarded_headers(inbound),
            on_done,
        )

    def _on_outcome(
        self,
        inbound: InboundRequest,
        reply: Reply,
        outcome: Response | Problem,
    ) -> None:
        if (
            self._entry_step is not None
            and isinstance(outcome, Problem)
            and outcome.response.run is RunStatus.NOT_RUN
        ):
            self._entry_step.on_not_run(inbound)
        self._respond(inbound, reply, outcome)

    def _on_abandoned(
        self, inbound: InboundRequest, reply: Reply, call: OutboundCall
    ) -> None:
        self._open_calls_by_reply.pop(reply, None)
        self._record_abandoned(inbound, call.node_id)
        call.cancel()
        self._remember_unserved(inbound)

    def _on_step_abandoned(self, inbound: InboundRequest) -> None:
        self._record_abandoned(inbound)
        if self._entry_step is not None:
            self._entry_step.on_abandoned(inbound)
        self._remember_unserved(inbound)

    def _on_lookup_abandoned(self, inbound: InboundRequest) -> None:
        self._record_abandoned(inbound)
        if self.lookup is not None:
            self.lookup.on_abandoned(inbound)

    def _record_abandoned(
        self, inbound: InboundRequest, node_id: str = ''
    ) -> None:
        self.in_flight -= 1
        self._metrics.counts['abandoned'] += 1
        self._log.info(
            'caller disconnected',
            correlation=inbound.correlation,
            service=inbound.service_name,
            node=node_id,
            after_ms=self._elapsed_ms(inbound),
        )

    def _respond(
        self,
        inbound: InboundRequest,
        reply: Reply,
        outcome: Response | Problem,
        run: RunStatus | None = None,
    ) -> None:
        self.in_flight -= 1
        self._open_calls_by_reply.pop(reply, None)
        if isinstance(outcome, Problem):
            not_run = outcome.response.run is RunStatus.NOT_RUN
            self._report_failure_to_run(
                inbound, outcome.response.status, is_refused=not_run
            )
            self._log_problem(inbound, outcome)
            self._remember_unserved(inbound)
            reply.send(self._interface.error_response(inbound, outcome, run))
            return
        self._report_failure_to_run(inbound, outcome.status)
        if outcome.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._remember_unserved(inbound)
        self._metrics.counts['answered'] += 1
        self._metrics.record(
            inbound.service_name,
            inbound.route.name,
            inbound.tenant,
            self._clock.now() - inbound.received_at,
        )
        reply.send(self._interface.answer(inbound, outcome))

    def _report_failure_to_run(
        self, inbound: InboundRequest, status: int, *, is_refused: bool = False
    ) -> None:
        """Tell the local target's run if a call that it made has failed."""
        is_inner = inbound.caller != EXTERNAL_CALLER
        if is_inner and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            parent = self._interface.parent_id(inbound.request)
            self._runner.on_downstream_failure(parent, is_refused=is_refused)

    def _log_problem(self, inbound: InboundRequest, problem: Problem) -> None:
        self._metrics.counts[f'answered_{problem.kind.value}'] += 1
        if inbound.team and problem.response.run is RunStatus.NOT_RUN:
            self._metrics.count_refusal(inbound.team.name)
        self._log.info(
            'call failed',
            correlation=inbound.correlation,
            service=inbound.service_name,
            route=inbound.route.name,
            team=inbound.team.name if inbound.team else None,
            kind=problem.kind.value,
            reason=problem.message,
            after_ms=self._elapsed_ms(inbound),
        )

    def _elapsed_ms(self, inbound: InboundRequest) -> int:
        return int((self._clock.now() - inbound.received_at) * 1000)


def _stopping_problem(kind: ErrorKind) -> Problem:
    return Problem(kind, 'this node is stopping')
