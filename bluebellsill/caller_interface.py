"""How callers speak to a node, and the project's own way of it."""

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
    end_to_end,
    problem_response,
)

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from bluebellsill.clock import Clock
    from bluebellsill.configuration import Configuration
    from bluebellsill.errors import Problem, Run
    from bluebellsill.filters import Filter, Inbound
    from bluebellsill.membership import Members
    from bluebellsill.quarantine import Quarantine

__all__ = ('CallerInterface', 'OwnInterface')

CORRELATION_HEADER = 'bluebellsill-correlation'
_CORRELATION_BITS = 32  # of a suffix; two calls of one id hardly meet
_MAX_CORRELATION_LENGTH = 128  # characters; longer ones are replaced
_NOT_FORWARDED = frozenset(('host', DEADLINE_HEADER, CORRELATION_HEADER))


class CallerInterface(Protocol):
    """What differs between the ways in which callers speak to a node."""

    filters: Sequence[Filter]

    def correlation(self, request: Request) -> str:
        """Return what names a request in the logs of all nodes."""

    def parent(self, request: Request) -> str:
        """Return what names the request that a target's call is made for."""

    def forwarded(self, inbound: Inbound) -> Headers:
        """Return the headers that go to the target's node."""

    def answer(self, inbound: Inbound, response: Response) -> Response:
        """Return what the caller gets of a target's answer."""

    def problem(
        self,
        inbound: Inbound,
        problem: Problem,
        run: Run | None,
    ) -> Response:
        """Return what the caller gets where there is no target's answer.

        Args:
            inbound: The caller's request.
            problem: What went wrong.
            run: What is known of the run, if it differs from the table.
        """


class OwnInterface:
    """The interface of docs/INTERFACES.md: paths begin with the service."""

    def __init__(
        self,
        members: Members,
        configuration: Configuration,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
    ) -> None:
        """Create an interface to the services of ``configuration``."""
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
        """Return the caller's id with a suffix, or a new one."""
        given = request.header(CORRELATION_HEADER)
        if given and len(given) <= _MAX_CORRELATION_LENGTH:
            return f'{given}/{self._random.getrandbits(_CORRELATION_BITS):08x}'
        self._next_call += 1
        own = self._members.own
        return f'{own.id}/{own.incarnation:x}/{self._next_call:x}'

    def parent(self, request: Request) -> str:
        """Return the correlation that the target has handed on."""
        return request.header(CORRELATION_HEADER)

    def forwarded(self, inbound: Inbound) -> Headers:
        """Return the end-to-end headers but those set for the target."""
        return [
            pair
            for pair in end_to_end(inbound.request.headers)
            if pair[0] not in _NOT_FORWARDED
        ]

    def answer(self, inbound: Inbound, response: Response) -> Response:
        """Add the correlation to an answer."""
        # A list of its own: a key's record may share the other one.
        headers = [*response.headers, (CORRELATION_HEADER, inbound.correlation)]
        return Response(response.status, headers, response.body)

    def problem(
        self,
        inbound: Inbound,
        problem: Problem,
        run: Run | None,
    ) -> Response:
        """Return the answer of the error table."""
        return problem_response(problem, inbound.correlation, run)
