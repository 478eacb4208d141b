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

if TYPE_CHECKING:
    from collections.abc import Sequence
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
        reserved: Headers from callers that are not forwarded to a target.
        parent_separator: Separates the id of a request from the rest of
            the ids of calls that its target makes on its behalf.
    """

    request_id: str
    deadline: str
    calling_service: str
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
        inbound.service_name = self._round_robin.next(route)
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
        """
        self.filters: Sequence[Filter] = (
            RouteFilter(state, round_robin),
            DeadlineFilter(clock.now, names.deadline),
            QuarantineFilter(quarantine, clock.now),
        )
        state.subscribe(lambda: _retain_splits(state, round_robin))
        self._names = names
        self._own_service = own_service
        self._clock = clock
        self._random = random
        self._not_forwarded = names.reserved | {
            names.deadline,
            names.calling_service,
        }

    def correlation(self, request: Request) -> str:
        """Return the id of the request, or a new one if it has none."""
        request_id = request.header(self._names.request_id)
        return request_id or f'{self._random.getrandbits(_ID_BITS):016x}'

    def parent_id(self, request: Request) -> str:
        """Return the id of the request on whose behalf a call may be made."""
        own_id = request.header(self._names.request_id)
        return own_id.partition(self._names.parent_separator)[0]

    def forwarded_headers(self, inbound: InboundRequest) -> Headers:
        """Return the headers to forward, with the calling service added."""
        kept = [
            pair
            for pair in end_to_end_headers(inbound.request.headers)
            if pair[0] not in self._not_forwarded
        ]
        return [*kept, (self._names.calling_service, self._own_service)]

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
        response = problem_response(problem, inbound.correlation, known)
        response.headers.append((self._names.request_id, inbound.correlation))
        if known is not RunStatus.NOT_RUN:
            return response
        if response.status in _STATUSES_WITH_ADVICE:
            remaining = inbound.caller_deadline - self._clock.now()
            seconds = retry_after(problem, remaining)
            response.headers.append(('retry-after', f'{seconds:.3f}'))
        return response


def _retain_splits(
    state: OperatorState, round_robin: WeightedRoundRobin
) -> None:
    if state.plan is not None:
        round_robin.retain(state.plan.table.splits)
