"""Accepts the requests of callers at a node on the platform."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from bluebellsill.allowances import allowance_step
from bluebellsill.balancing_policy import NearestFree
from bluebellsill.client_input import InputBounds, InputEvents
from bluebellsill.errors import ErrorKind
from bluebellsill.explain import Explainer
from bluebellsill.gateway import Gateway
from bluebellsill.http_server import HttpServer
from bluebellsill.platform.headers import CALLER_HEADERS
from bluebellsill.resources import EXTERNAL_CALLER
from bluebellsill.retries import RetryBudget
from bluebellsill.route_interface import RouteInterface
from bluebellsill.router_registry import RouterRegistry
from bluebellsill.shared_budget import shared_budget
from bluebellsill.streams import Address
from bluebellsill.teams import ConfirmedLookup
from bluebellsill.weighted_round_robin import WeightedRoundRobin

if TYPE_CHECKING:
    from bluebellsill.http import Request
    from bluebellsill.http_server import Reply
    from bluebellsill.mesh_settings import BoundSettings, MeshSettings
    from bluebellsill.metrics import Metrics
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.peer_stack import PeerStack
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor
    from bluebellsill.router_registry import VersionRules
    from bluebellsill.target_side import TargetSide
    from bluebellsill.timers import TimerService
    from bluebellsill.view_age import ViewAge

__all__ = ('CallerSide',)


class CallerSide:
    """Accepts requests of callers on the VM, and calls of the local target.

    Attributes:
        gateway: Serves the requests.
        server: The HTTP server that accepts them.
        explainer: Tells what would be done with a request.
        bounds: The platform's limits, from which the retry budgets are
            computed.
        is_draining: Whether every new request of a caller is refused.
    """

    def __init__(
        self,
        reactor: Reactor,
        settings: MeshSettings,
        peers: PeerStack,
        state: OperatorState,
        quarantine: Quarantine,
        metrics: Metrics,
        target_side: TargetSide,
        random: Random,
        versions: VersionRules,
    ) -> None:
        """Bind the listener for callers.

        Args:
            reactor: Event loop with the sockets and timers.
            settings: The settings.
            peers: The other nodes.
            state: Provides the routing plan.
            quarantine: Records the requests that crash targets.
            metrics: Counts the outcomes of requests.
            target_side: Runs calls at the local target.
            random: Draws ids and targets.
            versions: Select the versions of targets that get requests.

        Raises:
            OSError: The address cannot be bound.
        """
        members = peers.members
        self.bounds: BoundSettings = settings.enforced_bounds()
        self.is_draining = False
        self._members = members
        self._metrics = metrics
        self._runner = target_side.runner
        self._state = state
        self._service = settings.target.service
        self._clock = reactor.timers.clock
        self._interface = RouteInterface(
            CALLER_HEADERS,
            self._service,
            state,
            WeightedRoundRobin(random),
            quarantine,
            self._clock,
            random,
            target_side.may_run_unknown,
        )
        placement = RouterRegistry(
            members,
            state,
            lambda: NearestFree(random, members.own.zone),
            self._retry_budget,
            versions,
        )
        step = allowance_step(
            peers,
            lambda: state.plan.version if state.plan else 0,
            random,
            metrics,
        )
        self.gateway = Gateway(
            members.own.id,
            self._interface,
            placement,
            peers.call_links,
            self._runner,
            metrics,
            avoids_queues=True,
            entry_step=step,
        )
        self.explainer = Explainer(
            state,
            self._interface,
            step,
            lambda service: placement.preview(
                service, NearestFree(Random(0), members.own.zone)
            ),
            lambda: self.gateway.lookup,
            lambda: self.is_draining,
            self._clock,
        )
        limits = settings.limits
        self.server = HttpServer(
            reactor,
            Address.parse(settings.listen.callers),
            self._on_request,
            may_overlap=self._is_idempotent,
            bounds=InputBounds.of_vm(limits.memory_mb, limits.max_descriptors),
            events=InputEvents(metrics, self._interface.correlation),
        )

    def confirm_lookups(
        self, view: ViewAge, state: OperatorState, timers: TimerService
    ) -> None:
        """Look unknown keys and routes up again once the view is confirmed."""
        self.gateway.lookup = ConfirmedLookup(
            self._interface.filters,
            CALLER_HEADERS.deadline,
            state,
            view,
            timers,
            self._metrics,
        )

    def _on_request(self, request: Request, reply: Reply) -> None:
        # Callers and the local target connect to the same address. Only the
        # target makes calls for a request that it is running.
        is_target = self._interface.is_nested(
            request, self._runner.runs.running_ids()
        )
        if self.is_draining and not is_target:
            # Callers send requests on open connections until the process
            # exits, so each of them is refused. Nested calls are served: a
            # running request waits for them.
            self.gateway.refuse(request, reply, ErrorKind.LEAVING)
            return
        caller = self._service if is_target else EXTERNAL_CALLER
        self.gateway.handle(request, reply, caller)

    def _is_idempotent(self, request: Request) -> bool:
        """Return whether a request may be handled beside others."""
        plan = self._state.plan
        if plan is None:
            return False
        route = plan.table.match(request.header('host'), request.path)
        return route is not None and route.is_idempotent

    def _retry_budget(self) -> RetryBudget:
        rules = shared_budget(self.bounds, len(self._members.live()))
        return RetryBudget(rules, self._clock.now())
