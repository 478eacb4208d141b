"""Serves callers at their entry node."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err

from bluebellsill.calls import PlacedCall
from bluebellsill.dispatch import Dispatch
from bluebellsill.errors import ErrorKind, Problem, Run
from bluebellsill.filters import Inbound, run_filters
from bluebellsill.http import Request, Response
from bluebellsill.http_server import Reply
from bluebellsill.keyed_call import KeyedCall
from bluebellsill.logs import get_logger
from bluebellsill.repeats import Repeats
from bluebellsill.resources import OUTSIDE

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.caller_interface import CallerInterface
    from bluebellsill.keyed_call import KeyHolders
    from bluebellsill.metrics import Metrics
    from bluebellsill.peers import PeerLinks
    from bluebellsill.placement import Placement
    from bluebellsill.target_runner import TargetRunner

__all__ = ('Gateway',)


class Gateway:
    """Filters callers' requests and places them at targets."""

    def __init__(
        self,
        own_id: str,
        interface: CallerInterface,
        placement: Placement,
        links: PeerLinks,
        runner: TargetRunner,
        metrics: Metrics,
        key_holders: KeyHolders | None = None,
        *,
        asks_first: bool = False,
    ) -> None:
        """Create a gateway.

        Args:
            own_id: Names this node.
            interface: How callers speak to the node.
            placement: Where calls may go.
            links: Reach the nodes beside other targets.
            runner: Reaches the target beside this node.
            metrics: Count what callers get.
            key_holders: Reach the holders of idempotency keys; None where
                the interface knows no keys.
            asks_first: Whether calls look for a target that takes them at
                once before they wait.
        """
        self.in_flight = 0
        self._own_id = own_id
        self._interface = interface
        self._placement = placement
        self._links = links
        self._runner = runner
        self._metrics = metrics
        self._key_holders = key_holders
        self._asks_first = asks_first
        self._repeats = Repeats()
        self._clock = links.reactor.timers.clock
        self._log = get_logger('gateway')

    def handle(self, request: Request, reply: Reply, caller: str) -> None:
        """Serve one request.

        Args:
            request: The whole request.
            reply: The way back.
            caller: ``outside`` or the service of the calling target.
        """
        inbound = self._inbound(request, caller)
        refused = run_filters(self._interface.filters, inbound)
        if isinstance(refused, Err):
            # Of a request with a key, an earlier try may have run.
            run = Run.UNKNOWN if inbound.key else None
            self._answer(inbound, reply, refused.err_value, run)
            return
        self._recognize(inbound)
        if inbound.key and self._key_holders is not None:
            self._handle_keyed(inbound, reply, self._key_holders)
        else:
            self._handle_plain(inbound, reply)

    def refuse(self, request: Request, reply: Reply, kind: ErrorKind) -> None:
        """Refuse one request that would otherwise be placed."""
        inbound = self._inbound(request, OUTSIDE)
        refused = run_filters(self._interface.filters, inbound)
        problem = Problem(kind, 'this node is stopping')
        if isinstance(refused, Err):
            problem = refused.err_value
        self._answer(inbound, reply, problem)

    def _handle_plain(self, inbound: Inbound, reply: Reply) -> None:
        placed = self._placed(
            inbound,
            lambda outcome: self._answer(inbound, reply, outcome),
        )
        reply.on_abandoned = lambda: self._on_abandoned(inbound, placed)
        placed.start()

    def _handle_keyed(
        self,
        inbound: Inbound,
        reply: Reply,
        key_holders: KeyHolders,
    ) -> None:
        # A caller that goes away may ask for the outcome later, so the
        # call is not cancelled.
        KeyedCall(
            inbound,
            key_holders,
            lambda on_done: self._placed(inbound, on_done).start(),
            lambda outcome: self._answer(inbound, reply, outcome),
            inbound.received_at,
        ).start()

    def _recognize(self, inbound: Inbound) -> None:
        """Find out whether the caller has sent the request before."""
        if inbound.caller != OUTSIDE:
            return
        inbound.first_at = self._repeats.first_at(
            inbound.fingerprint,
            inbound.gives_up_at,
            inbound.received_at,
        )

    def _expect_again(self, inbound: Inbound) -> None:
        """Remember a request that was not served."""
        if inbound.caller == OUTSIDE:
            self._repeats.on_unserved(
                inbound.fingerprint,
                inbound.gives_up_at,
                inbound.first_at,
                self._clock.now(),
            )

    def _inbound(self, request: Request, caller: str) -> Inbound:
        self.in_flight += 1
        return Inbound(
            request,
            caller,
            self._interface.correlation(request),
            self._clock.now(),
        )

    def _placed(
        self,
        inbound: Inbound,
        on_done: Callable[[Response | Problem], None],
    ) -> PlacedCall:
        places = self._placement.of_service(inbound.service_name)
        dispatch = Dispatch(
            places.router,
            places.budget,
            self._clock,
            deadline=inbound.deadline,
            is_idempotent=inbound.is_idempotent,
            route=inbound.route.name,
            max_sends=inbound.route.max_sends,
            asks_first=self._asks_first,
        )
        return PlacedCall(
            inbound,
            dispatch,
            self._links,
            self._runner,
            self._own_id,
            self._interface.forwarded(inbound),
            on_done,
        )

    def _on_abandoned(self, inbound: Inbound, placed: PlacedCall) -> None:
        self.in_flight -= 1
        self._metrics.counts['abandoned'] += 1
        self._log.info(
            'caller left',
            correlation=inbound.correlation,
            service=inbound.service_name,
            node=placed.node_id,
            after_ms=self._elapsed_ms(inbound),
        )
        placed.cancel()
        self._expect_again(inbound)

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
            self._expect_again(inbound)
            reply.send(self._interface.problem(inbound, outcome, run))
            return
        self._note_status(inbound, outcome.status)
        if outcome.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            self._expect_again(inbound)
        self._metrics.counts['answered'] += 1
        self._metrics.record(
            inbound.service_name,
            inbound.route.name,
            inbound.tenant,
            self._clock.now() - inbound.received_at,
        )
        reply.send(self._interface.answer(inbound, outcome))

    def _note_status(self, inbound: Inbound, status: int) -> None:
        """Tell the run of the target here that its onward call failed."""
        is_inner = inbound.caller != OUTSIDE
        if is_inner and status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            parent = self._interface.parent(inbound.request)
            self._runner.on_failed_below(parent)

    def _log_problem(self, inbound: Inbound, problem: Problem) -> None:
        self._metrics.counts[f'answered_{problem.kind.value}'] += 1
        self._log.info(
            'call failed',
            correlation=inbound.correlation,
            service=inbound.service_name,
            route=inbound.route.name,
            kind=problem.kind.value,
            reason=problem.message,
            after_ms=self._elapsed_ms(inbound),
        )

    def _elapsed_ms(self, inbound: Inbound) -> int:
        return int((self._clock.now() - inbound.received_at) * 1000)
