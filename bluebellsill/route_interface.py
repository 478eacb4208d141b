"""The caller interface that routes requests by host and path."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.errors import ErrorKind, Problem, RunStatus
from bluebellsill.filters import DeadlineFilter, QuarantineFilter
from bluebellsill.http import (
    Headers,
    Request,
    Response,
    end_to_end_headers,
    problem_response,
)
from bluebellsill.retry_advice import retry_after
from bluebellsill.teams import TeamFilter

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence
    from random import Random

    from bluebellsill.clock import Clock
    from bluebellsill.filters import Filter, InboundRequest
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.weighted_round_robin import WeightedRoundRobin

__all__ = ('HeaderNames', 'RouteFilter', 'RouteInterface')

_ID_BITS = 64  # of the id generated for a request without one
# A request refused with one of them may be sent again after the stated time.
_STATUSES_WITH_ADVICE = frozenset(
    (HTTPStatus.SERVICE_UNAVAILABLE, HTTPStatus.TOO_MANY_REQUESTS)
)


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """The names of the headers that callers use, in lower case.

    Attributes:
        request_id: Identifies one attempt of a caller.
        deadline: How many milliseconds the caller waits.
        calling_service: The service of the target that made the call. The
            node sets it and overrides a value that the caller sent.
        credentials: The key of a team, after ``scheme`` and a space.
        scheme: The authentication scheme, in the case of the challenge.
        team: The name of the team. The node sets it and removes a value that
            the caller sent.
        reserved: Headers from callers that are not forwarded to a target.
        parent_separator: Separates the id of a request from the rest of
            the ids of calls that its target makes on its behalf.
    """

    request_id: str
    deadline: str
    calling_service: str
    credentials: str
    scheme: str
    team: str
    reserved: frozenset[str]
    parent_separator: str


class RouteFilter:
    """Finds the route of a request and selects one of its services."""

    def __init__(
        self, state: OperatorState, round_robin: WeightedRoundRobin
    ) -> None:
        """Look up routes in the routing plan in force."""
        self._state = state
        self._round_robin = round_robin

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Set the route and the service; refuse a request without a route."""
        matched = self._match(inbound)
        if isinstance(matched, Ok):
            inbound.service_name = self._round_robin.next(inbound.route)
        return matched

    def preview(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Do the same without moving a rotation on.

        The service stays empty if it is not determined before the request.
        """
        matched = self._match(inbound)
        if isinstance(matched, Ok):
            inbound.service_name = self._round_robin.peek(inbound.route) or ''
        return matched

    def _match(self, inbound: InboundRequest) -> Result[None, Problem]:
        plan = self._state.plan
        if plan is None:
            message = 'this node has no routes yet'
            return Err(Problem(ErrorKind.NOT_CONFIGURED, message))
        request = inbound.request
        host = request.header('host')
        route = plan.table.match(host, request.path)
        if route is None:
            message = (
                f'no route for host {host!r} and path {request.path!r}'
                f' in version {plan.version}'
            )
            return Err(Problem(ErrorKind.UNKNOWN_ROUTE, message))
        inbound.route = route
        inbound.tenant = inbound.caller
        return Ok(None)


class RouteInterface:
    """Serves callers by the routing plan, with configured header names."""

    def __init__(
        self,
        names: HeaderNames,
        own_service: str,
        state: OperatorState,
        round_robin: WeightedRoundRobin,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
        may_run_unknown: Callable[[], bool] | None = None,
    ) -> None:
        """Create an interface.

        Args:
            names: The headers of callers.
            own_service: The service of the target beside the node.
            state: Provides the routing plan.
            round_robin: Distributes requests over the services of a route.
            quarantine: Records the requests that crash targets.
            clock: The time source of deadlines.
            random: Generates ids for requests without one.
            may_run_unknown: Returns whether the local target may run requests
                that this node does not know; None if it never does.
        """
        self._route_filter = RouteFilter(state, round_robin)
        self._team_filter = TeamFilter(
            state,
            names.credentials,
            names.scheme.lower(),
            self._may_be_nested,
        )
        self.filters: Sequence[Filter] = (
            self._route_filter,
            self._team_filter,
            DeadlineFilter(clock.now, names.deadline),
            QuarantineFilter(quarantine, clock.now),
        )
        state.subscribe(lambda: _retain_splits(state, round_robin))
        self._names = names
        self._state = state
        self._may_run_unknown = may_run_unknown
        self._own_service = own_service
        self._clock = clock
        self._random = random
        self._not_forwarded = names.reserved | {
            names.deadline,
            names.calling_service,
            names.team,
        }

    def correlation(self, request: Request) -> str:
        """Return the id of the request, or a new one if it has none."""
        request_id = request.header(self._names.request_id)
        return request_id or f'{self._random.getrandbits(_ID_BITS):016x}'

    def parent_id(self, request: Request) -> str:
        """Return the id of the request on whose behalf a call may be made."""
        own_id = request.header(self._names.request_id)
        return own_id.partition(self._names.parent_separator)[0]

    def is_nested(self, request: Request, running_ids: Iterable[str]) -> bool:
        """Return whether the local target makes a call for a running request.

        Args:
            request: A request from the target or from a client.
            running_ids: The ids of the requests that the target runs.
        """
        plan = self._state.plan
        if plan is None or plan.teams is None:
            return self.parent_id(request) in running_ids
        # A nested call needs no key, so it must differ from a client's request
        # that has the same id as a running one.
        own_id = request.header(self._names.request_id)
        separator = self._names.parent_separator
        return not self._has_credentials(request) and any(
            own_id.startswith(f'{parent}{separator}') for parent in running_ids
        )

    def preview(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Find the route, the service and the team without changing state."""
        matched = self._route_filter.preview(inbound)
        if isinstance(matched, Err):
            return matched
        return self._team_filter.apply(inbound)

    def forwarded_headers(self, inbound: InboundRequest) -> Headers:
        """Return the headers to forward, with those that the node sets."""
        kept = [
            pair
            for pair in end_to_end_headers(inbound.request.headers)
            if pair[0] not in self._not_forwarded
            # Some servers do not tell these characters apart.
            and pair[0].replace('_', '-') != self._names.team
        ]
        kept.append((self._names.calling_service, self._own_service))
        if inbound.team is not None:
            # Headers are decoded as Latin-1; the target gets the name in UTF-8.
            name = inbound.team.name.encode().decode('latin-1')
            kept.append((self._names.team, name))
        return kept

    def answer(self, inbound: InboundRequest, response: Response) -> Response:
        """Return the target's answer unchanged."""
        return response

    def error_response(
        self,
        inbound: InboundRequest,
        problem: Problem,
        run: RunStatus | None,
    ) -> Response:
        """Return an error response, with a retry time if nothing has run."""
        known = problem.response.run if run is None else run
        response = problem_response(
            problem, inbound.correlation, known, challenge=self._names.scheme
        )
        response.headers.append((self._names.request_id, inbound.correlation))
        if known is not RunStatus.NOT_RUN:
            return response
        if response.status in _STATUSES_WITH_ADVICE:
            remaining = inbound.caller_deadline - self._clock.now()
            seconds = retry_after(problem, remaining)
            response.headers.append(('retry-after', f'{seconds:.3f}'))
        return response

    def _has_credentials(self, request: Request) -> bool:
        return any(
            name == self._names.credentials for name, _ in request.headers
        )

    def _may_be_nested(self, request: Request) -> bool:
        own_id = request.header(self._names.request_id)
        return (
            self._names.parent_separator in own_id
            and self._may_run_unknown is not None
            and self._may_run_unknown()
        )


def _retain_splits(
    state: OperatorState, round_robin: WeightedRoundRobin
) -> None:
    if state.plan is not None:
        round_robin.retain(state.plan.table.splits)
