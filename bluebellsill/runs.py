"""The calls at a target's node, and the node that they are at."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.admission import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.errors import ErrorKind
    from bluebellsill.http_client import Exchange
    from bluebellsill.messages import Answer, Call, Failure, Refusal
    from bluebellsill.resources import Service

__all__ = ('Run', 'TargetOwner', 'ticket_of')

_SECOND = 1000  # milliseconds


class TargetOwner(Protocol):
    """What the runner asks of the node that it is part of."""

    def refusal(self) -> ErrorKind | None:
        """Return why new work is refused at this node, if it is."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""

    def on_target_changed(self) -> None:
        """The target has come, is leaving or has gone."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """A start of the target has crashed with requests in flight."""

    def on_cleared(self, fingerprint: int) -> None:
        """A suspected request has been answered."""


class Run:
    """One call at the target's node, from offer to answer."""

    __slots__ = ('call', 'exchange', 'has_failed_below', 'respond', 'ticket')

    def __init__(
        self,
        call: Call,
        ticket: Ticket,
        respond: Callable[[Answer | Refusal | Failure], None],
    ) -> None:
        """Create a run that responds once."""
        self.call = call
        self.ticket = ticket
        self.respond = respond
        self.exchange: Exchange | None = None
        self.has_failed_below = False


def ticket_of(call: Call, now: float) -> Ticket:
    """Return the ticket of a call that has arrived at a time in seconds."""
    ticket = Ticket(call.priority, now + call.budget_ms / _SECOND)
    if call.target_latency_ms:
        ticket.wanted_at = now + call.target_latency_ms / _SECOND
    ticket.route = call.route
    ticket.is_inner = call.is_inner
    ticket.may_wait = call.may_wait
    return ticket
