"""Calls handled at a target's node, and the interface of that node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.admission import Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.errors import ErrorKind
    from bluebellsill.http_exchange import Exchange
    from bluebellsill.messages import Answer, Call, Failure, Refusal
    from bluebellsill.resources import Service
    from bluebellsill.timers import Timer

__all__ = ('Run', 'TargetOwner', 'make_ticket')

_MS_PER_SECOND = 1000


class TargetOwner(Protocol):
    """The interface of the node to its target runner."""

    def refusal(self, call: Call) -> ErrorKind | None:
        """Return why a new call is refused, None if it is accepted."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service, None if it is not declared."""

    def on_target_changed(self) -> None:
        """Handle a target that was announced, is leaving or was lost."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Handle a crash of the target with requests in flight."""

    def on_cleared(self, fingerprint: int) -> None:
        """Handle an answer to a request that was suspected of crashes."""


class Run:
    """One call at the target's node, from admission to response."""

    __slots__ = (
        'call',
        'exchange',
        'has_failed_below',
        'queue_timers',
        'respond',
        'ticket',
    )

    def __init__(
        self,
        call: Call,
        ticket: Ticket,
        respond: Callable[[Answer | Refusal | Failure], None],
    ) -> None:
        """Create a run; ``respond`` is called once with its outcome."""
        self.call = call
        self.ticket = ticket
        self.respond = respond
        self.exchange: Exchange | None = None
        # Due when the call may have waited too long.
        self.queue_timers: list[Timer] = []
        self.has_failed_below = False

    def leave_queue(self) -> None:
        """Cancel the timers of the wait, which may be due much later."""
        for timer in self.queue_timers:
            timer.cancel()
        self.queue_timers.clear()


def make_ticket(call: Call, now: float) -> Ticket:
    """Return the admission ticket of a call that arrived at ``now``."""
    ticket = Ticket(call.priority, now + call.budget_ms / _MS_PER_SECOND)
    if call.target_latency_ms:
        ticket.soft_deadline = now + call.target_latency_ms / _MS_PER_SECOND
    ticket.route = call.route
    ticket.is_inner = call.is_inner
    ticket.may_wait = call.may_wait
    return ticket
