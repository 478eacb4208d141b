"""Decides what to show of the way that a request would take now."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING, Protocol

from result import Err

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.explain.candidates import list_candidates
from bluebellsill.explain.explanation import (
    AllowanceView,
    Decision,
    Explanation,
    RefusalView,
    RouteView,
    ServiceView,
    TeamView,
)
from bluebellsill.filters import InboundRequest
from bluebellsill.resources import EXTERNAL_CALLER

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bluebellsill.allowances import TeamTokens
    from bluebellsill.clock import Clock
    from bluebellsill.http import Request
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.route import Route
    from bluebellsill.router_registry import RoutingPreview
    from bluebellsill.teams import Team

__all__ = ('Explainer', 'FilterPreview', 'LookupRules')

_MS_PER_SECOND = 1000
# Targets that are shown; more than this node calls of one service. A service
# may have thousands.
_MAX_CANDIDATES = 64


class FilterPreview(Protocol):
    """The filters of the entry node."""

    def preview(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Find the route, the service and the team without changing state."""


class LookupRules(Protocol):
    """The rules for requests that a newer document may accept."""

    def may_change(
        self, inbound: InboundRequest, outcome: Result[None, Problem]
    ) -> bool:
        """Return whether a newer document may accept a refused request."""

    def is_stale(self, inbound: InboundRequest) -> bool:
        """Return whether this node cannot know that a key is wrong."""


class _Allowances(Protocol):
    """The tokens of the teams."""

    def preview(self, team: Team) -> TeamTokens | None:
        """Return the tokens of a team, None before its first request."""


class Explainer:
    """Explains the way of a client's request from the live state of a node.

    It asks the parts that would decide on the request, by their accessors
    that change nothing. What depends on the body (quarantine, the idempotency
    key) or on the target's node (its queue, its rate) is not part of it.
    """

    def __init__(
        self,
        state: OperatorState,
        filters: FilterPreview,
        allowances: _Allowances,
        preview_routing: Callable[[str], RoutingPreview],
        lookup: Callable[[], LookupRules | None],
        is_draining: Callable[[], bool],
        clock: Clock,
    ) -> None:
        """Create an explainer for one node.

        Args:
            state: Provides the routing plan.
            filters: Find the route and the team.
            allowances: The tokens of the teams at this node.
            preview_routing: Returns how calls for a service would be routed.
            lookup: Returns the rules for unknown keys and routes, None if
                refusals are final.
            is_draining: Returns whether new requests are refused.
            clock: The time source.
        """
        self._state = state
        self._filters = filters
        self._allowances = allowances
        self._preview_routing = preview_routing
        self._lookup = lookup
        self._is_draining = is_draining
        self._clock = clock

    def explain(self, request: Request) -> Explanation:
        """Return where a request would go; its key is removed from it."""
        now = self._clock.now()
        plan = self._state.plan
        explanation = Explanation(
            request.header('host'),
            request.path,
            plan.version if plan else 0,
        )
        inbound = InboundRequest(request, EXTERNAL_CALLER, '', now)
        filtered = self._filters.preview(inbound)
        if isinstance(filtered, Err):
            explanation.refusal = self._refusal_by_filter(inbound, filtered)
        if inbound.route.weighted_services:
            self._explain_route(explanation, inbound)
        if inbound.team is not None:
            explanation.team = self._explain_team(inbound.team)
        if inbound.service_name:
            self._explain_targets(explanation, inbound.service_name, now)
        explanation.refusal = explanation.refusal or self._refusal(explanation)
        return explanation

    def _refusal_by_filter(
        self, inbound: InboundRequest, refused: Err[Problem]
    ) -> RefusalView:
        lookup = self._lookup()
        problem = refused.err_value
        if lookup is None or not lookup.may_change(inbound, refused):
            return _refusal_view(problem)
        if self._is_draining():
            return _refusal_view(_leaving())
        if lookup.is_stale(inbound):
            message = 'the key is unknown, and this view of the store is old'
            return _refusal_view(Problem(ErrorKind.STALE, message))
        return _refusal_view(problem, waits=True)

    def _refusal(self, explanation: Explanation) -> RefusalView | None:
        """Return why a request that the filters accept would be refused."""
        if self._is_draining():
            return _refusal_view(_leaving())
        team = explanation.team
        allowance = team.allowance if team else None
        if allowance and allowance.decision is Decision.REFUSED:
            retry_after = allowance.denied_ms / _MS_PER_SECOND
            message = 'the allowance of the team is used up'
            kind = ErrorKind.ALLOWANCE_EXCEEDED
            return _refusal_view(Problem(kind, message, retry_after))
        has_target = any(one.attempt for one in explanation.candidates)
        if explanation.next_service is not None and not has_target:
            message = 'no target is ready'
            return _refusal_view(Problem(ErrorKind.NO_TARGET, message))
        return None

    def _explain_route(
        self, explanation: Explanation, inbound: InboundRequest
    ) -> None:
        route = inbound.route
        explanation.route = _route_view(route)
        explanation.services = [
            ServiceView(
                part.service, part.weight, part.service == inbound.service_name
            )
            for part in route.weighted_services
        ]
        explanation.next_service = inbound.service_name or None

    def _explain_team(self, team: Team) -> TeamView:
        if team.allowance is None:
            return TeamView(team.name, team.importance, None)
        rate, burst = team.allowance.rate, team.allowance.burst
        tokens = self._allowances.preview(team)
        if tokens is None:
            allowance = AllowanceView(rate, burst, Decision.ASKS_GRANTOR)
        else:
            allowance = AllowanceView(
                rate,
                burst,
                _decision(tokens),
                tokens.tokens,
                ceil(tokens.denied_seconds * _MS_PER_SECOND),
                tokens.waiting,
            )
        return TeamView(team.name, team.importance, allowance)

    def _explain_targets(
        self, explanation: Explanation, service: str, now: float
    ) -> None:
        preview = self._preview_routing(service)
        candidates = list_candidates(preview, now)
        explanation.is_order_known = preview.is_started
        explanation.candidates = candidates[:_MAX_CANDIDATES]
        explanation.candidates_left_out = max(
            0, len(candidates) - _MAX_CANDIDATES
        )


def _route_view(route: Route) -> RouteView:
    return RouteView(
        route.name,
        route.is_idempotent,
        route.is_public,
        round(route.timeout * _MS_PER_SECOND),
        round(route.target_latency * _MS_PER_SECOND),
        route.importance,
        route.max_sends,
    )


def _decision(tokens: TeamTokens) -> Decision:
    if tokens.refuses:
        return Decision.REFUSED
    if tokens.tokens and not tokens.waiting:
        return Decision.HAS_TOKEN
    return Decision.ASKS_GRANTOR if tokens.has_grantor else Decision.NO_GRANTOR


def _leaving() -> Problem:
    return Problem(ErrorKind.LEAVING, 'this node is stopping')


def _refusal_view(problem: Problem, *, waits: bool = False) -> RefusalView:
    return RefusalView(
        problem.kind.value,
        problem.response.status,
        problem.message,
        ceil(problem.retry_after * _MS_PER_SECOND),
        waits=waits,
    )
