"""The interface between callers and a node, and its native version."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.filters import (
    DEADLINE_HEADER,
    CallerFilter,
    DeadlineFilter,
    QuarantineFilter,
    ServiceFilter,
)
from bluebellsill.http import (
    Headers,
    Request,
    Response,
    end_to_end_headers,
    problem_response,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from bluebellsill.clock import Clock
    from bluebellsill.configuration import Configuration
    from bluebellsill.errors import Problem, RunStatus
    from bluebellsill.filters import Filter, InboundRequest
    from bluebellsill.membership import Members
    from bluebellsill.quarantine import Quarantine

__all__ = ('CallerInterface', 'NativeInterface')

CORRELATION_HEADER = 'bluebellsill-correlation'
_CORRELATION_BITS = 32  # of the suffix; calls with the same id rarely collide
_MAX_CORRELATION_LENGTH = 128  # characters; longer ids are replaced
_NOT_FORWARDED = frozenset(('host', DEADLINE_HEADER, CORRELATION_HEADER))


class CallerInterface(Protocol):
    """The conventions of an HTTP interface: filters, headers and errors.

    Attributes:
        filters: Applied to each request in order.
    """

    filters: Sequence[Filter]

    def correlation(self, request: Request) -> str:
        """Return the id of a request in the logs of all nodes."""

    def parent_id(self, request: Request) -> str:
        """Return the id of the request that a target's call is made for."""

    def forwarded_headers(self, inbound: InboundRequest) -> Headers:
        """Return the headers to forward to the target's node."""

    def answer(self, inbound: InboundRequest, response: Response) -> Response:
        """Return the response to the caller for a target's response."""

    def error_response(
        self,
        inbound: InboundRequest,
        problem: Problem,
        run: RunStatus | None,
    ) -> Response:
        """Return the response to the caller for an error.

        Args:
            inbound: The caller's request.
            problem: What went wrong.
            run: Whether the request ran, or None to use the value of the
                error kind.
        """


class NativeInterface:
    """The native interface, in which paths begin with the service name.

    It is described in docs/INTERFACES.md.
    """

    def __init__(
        self,
        members: Members,
        configuration: Configuration,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create an interface to the services of ``configuration``.

        Args:
            members: Provides the id of this node.
            configuration: The declared services.
            quarantine: The requests that crashed targets.
            clock: Tells the time.
            random: Draws the suffixes of correlation ids.
        """
        self.filters: Sequence[Filter] = (
            ServiceFilter(configuration),
            CallerFilter(),
            DeadlineFilter(clock.now),
            QuarantineFilter(quarantine, clock.now),
        )
        self._members = members
        self._random = random
        self._next_call = 0

    def correlation(self, request: Request) -> str:
        """Return the caller's id with a random suffix, or a new id."""
        given = request.header(CORRELATION_HEADER)
        if given and len(given) <= _MAX_CORRELATION_LENGTH:
            return f'{given}/{self._random.getrandbits(_CORRELATION_BITS):08x}'
        self._next_call += 1
        own = self._members.own
        return f'{own.id}/{own.incarnation:x}/{self._next_call:x}'

    def parent_id(self, request: Request) -> str:
        """Return the correlation id that the target passed on."""
        return request.header(CORRELATION_HEADER)

    def forwarded_headers(self, inbound: InboundRequest) -> Headers:
        """Return the end-to-end headers except those that nodes set."""
        return [
            pair
            for pair in end_to_end_headers(inbound.request.headers)
            if pair[0] not in _NOT_FORWARDED
        ]

    def answer(self, inbound: InboundRequest, response: Response) -> Response:
        """Add the correlation id to a target's response."""
        # Copied, as the record of an idempotency key may share the list.
        headers = [*response.headers, (CORRELATION_HEADER, inbound.correlation)]
        return Response(response.status, headers, response.body)

    def error_response(
        self,
        inbound: InboundRequest,
        problem: Problem,
        run: RunStatus | None,
    ) -> Response:
        """Return the response that the error kind defines."""
        return problem_response(problem, inbound.correlation, run)
