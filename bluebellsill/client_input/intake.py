"""What was read from one client and has not been answered."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.client_input.budget import SMALL, USUAL
from bluebellsill.client_input.limits import MAX_READ_AHEAD, MAX_UNSENT
from bluebellsill.client_input.pipeline import Exchange, Pipeline
from bluebellsill.client_input.request_reader import (
    ParsedRequest,
    RequestReader,
)
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import Request

if TYPE_CHECKING:
    from bluebellsill.client_input.budget import InputBudget, Spender
    from bluebellsill.client_input.events import InputEvents
    from bluebellsill.client_input.limits import RequestLimits
    from bluebellsill.client_input.timeouts import ConnectionTimeouts
    from bluebellsill.streams import Stream

__all__ = ('OVERLOADED', 'Intake', 'IntakeRules')

OVERLOADED = Problem(
    ErrorKind.OVERLOADED, 'this node has too little memory for the request'
)


class IntakeRules(Protocol):
    """What holds for all connections of a server.

    Attributes:
        limits: The limits on requests.
        budget: Limits the memory of all connections.
        events: Records refusals and disconnections.
    """

    limits: RequestLimits
    budget: InputBudget
    events: InputEvents

    def may_overlap(self, request: Request) -> bool:
        """Return whether a request may be handled beside others."""


class Intake:
    """Reads requests as far as the connection may hold more.

    Attributes:
        reader: Parses the requests.
        pipeline: The requests that have not been answered.
        account: The memory of the connection.
        is_last_read: Whether the last request was read, after whose response
            the connection is closed.
        owes_continue: Whether the client waits for permission to send a body.
    """

    def __init__(
        self,
        rules: IntakeRules,
        spender: Spender,
        timeouts: ConnectionTimeouts,
        stream: Stream,
    ) -> None:
        """Create the intake of a new connection.

        Args:
            rules: What holds for all connections.
            spender: The connection, whose memory counts.
            timeouts: The timeouts of the connection.
            stream: Tells how much of the responses is not sent yet.
        """
        self.reader = RequestReader(self)
        self.pipeline = Pipeline(MAX_READ_AHEAD)
        self.account = rules.budget.open(spender)
        self.is_last_read = False
        self.owes_continue = False
        self._rules = rules
        self._timeouts = timeouts
        self._stream = stream

    def update_account(self) -> None:
        """Count what the connection holds now."""
        heads, payload = self.pipeline.held()
        reader = self.reader
        self.account.hold(
            heads + reader.held,
            payload + reader.body_size + self._stream.unsent_bytes,
        )

    @property
    def is_head_too_costly(self) -> bool:
        """Whether memory is too short for the head that is being read."""
        return self._rules.budget.is_tight and self.reader.head_cost > SMALL

    @property
    def is_blocked(self) -> bool:
        """Whether nothing more is read from the client now."""
        has_rest = self.reader.has_unparsed or self.reader.problem is not None
        return has_rest or not self.may_parse

    def late_problem(self) -> Problem | None:
        """Return why the request that is being read is late, None if not."""
        limits = self._rules.limits
        if self.reader.is_reading_head:
            late = self._timeouts.late_head(limits)
        else:
            late = self._timeouts.late_body(limits)
        if not late:
            return None
        if not self.account.may_read:
            return OVERLOADED
        return Problem(ErrorKind.HEAD_TIMEOUT, late)

    def stop(self) -> list[Exchange]:
        """Free everything; return the exchanges that were not answered."""
        self.reader.stop()
        return self.pipeline.clear()

    # Called by the reader.

    @property
    def limits(self) -> RequestLimits:
        """The limits in force."""
        return self._rules.limits

    @property
    def may_parse(self) -> bool:
        """Whether the connection can take more requests."""
        return (
            len(self.pipeline) < MAX_READ_AHEAD
            and self._stream.unsent_bytes <= MAX_UNSENT
            and not self.is_last_read
            and self.account.may_read
        )

    def on_begin(self) -> None:
        """Start the timeout of a head."""
        self._timeouts.on_begin()

    def on_request(self, parsed: ParsedRequest) -> None:
        """Queue a complete request, or its refusal."""
        self.owes_continue = False
        refusal = self._refusal(parsed)
        if refusal is not None:
            request = parsed.request
            self._rules.events.refused(refusal, self.account.held, request)
            # Frees the headers and the body.
            bare = Request(request.method, '')
            parsed = ParsedRequest(bare, keep_alive=False, head_cost=0)
        exchange = Exchange(parsed, self._rules.may_overlap, refusal)
        self.pipeline.add(exchange)
        self.is_last_read = exchange.closes_connection

    def on_continue(self) -> None:
        """Note that the client waits for 100 Continue."""
        self.owes_continue = True

    def _refusal(self, parsed: ParsedRequest) -> Problem | None:
        budget = self._rules.budget
        if not budget.is_tight:
            return None
        self.update_account()
        is_refused = (budget.is_exceeded and self.account.counted > USUAL) or (
            budget.is_tight and parsed.head_cost > SMALL
        )
        return OVERLOADED if is_refused else None
