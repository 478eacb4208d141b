"""Calls handled at a target's node, and the interface of that node."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from msgspec import structs

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
        '_has_slot',
        'call',
        'exchange',
        'has_failed_below',
        'is_refused_below',
        '_queue_timers',
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
        self._queue_timers: list[Timer] = []
        self.has_failed_below = False
        self.is_refused_below = False
        self._has_slot = False

    @property
    def awaits_body(self) -> bool:
        """Whether the body has not arrived yet."""
        return self.call.body_size > 0

    @property
    def is_started(self) -> bool:
        """Whether the call was passed on to the target."""
        return bool(self.ticket.started_at) and not self.awaits_body

    def on_admitted(self) -> bool:
        """Record that the call has a slot.

        Returns:
            Whether it can start now. A call without its body cannot.
        """
        self._has_slot = True
        return not self.awaits_body

    @property
    def has_slot(self) -> bool:
        """Whether the call was admitted."""
        return self._has_slot

    def on_body(self, body: bytes) -> None:
        """Complete the call with its body."""
        self.call = structs.replace(self.call, body=body, body_size=0)

    def expire_with(
        self,
        after: Callable[[float, Callable[[], None]], Timer],
        expire: Callable[[], None],
        now: float,
    ) -> None:
        """Schedule the checks whether the call has waited too long.

        Args:
            after: Schedules a function after some seconds.
            expire: Removes the calls that have waited too long.
            now: The time in seconds.
        """
        ticket = self.ticket
        for due_at in (
            ticket.leaves_queue_at,
            ticket.must_start_by,
            ticket.expires_at,
        ):
            left = max(0, due_at - now)
            self._queue_timers.append(after(left, expire))

    def leave_queue(self) -> None:
        """Cancel the timers of the wait, which may be due much later."""
        for timer in self._queue_timers:
            timer.cancel()
        self._queue_timers.clear()


def make_ticket(call: Call, now: float) -> Ticket:
    """Return the admission ticket of a call that arrived at ``now``."""
    ticket = Ticket(call.priority, now + call.budget_ms / _MS_PER_SECOND)
    if call.target_latency_ms:
        ticket.soft_deadline = now + call.target_latency_ms / _MS_PER_SECOND
    ticket.route = call.route
    ticket.is_inner = call.is_inner
    ticket.may_wait = call.may_wait
    ticket.team = call.team
    ticket.team_importance = call.team_importance
    ticket.is_repeat = call.is_repeat
    return ticket
