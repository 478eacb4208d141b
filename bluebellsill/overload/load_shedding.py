"""Load shedding at one target: the order, the reserve and the retries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.overload.nested_failures import NestedFailures
from bluebellsill.overload.nested_reserve import NestedReserve
from bluebellsill.overload.priority_order import PriorityOrder
from bluebellsill.overload.queue_order import RefusalReason
from bluebellsill.overload.retry_schedule import RetrySchedule

if TYPE_CHECKING:
    from bluebellsill.admission import Ticket
    from bluebellsill.overload.queue_order import QueueOrder

__all__ = ('LoadShedding',)

# Seconds in which the trials of a route replace half of its outcomes.
_RECOVERY_SECONDS = 1.0
# Reasons that the order of the queue can change.
_SHED = frozenset(
    (
        RefusalReason.NOT_IN_TIME,
        RefusalReason.DISPLACED,
        RefusalReason.BEYOND_RATE,
    )
)


class LoadShedding:
    """What a gate asks and tells about the load of its target.

    While the order does not shed load, it only orders the queue, and refused
    calls are told the expected wait.

    Attributes:
        order: Decides which waiting call starts first.
    """

    def __init__(self, order: QueueOrder | None = None) -> None:
        """Create the state of a target; the default is the priority order."""
        self.order: QueueOrder = order or PriorityOrder()
        self._reserve = NestedReserve()
        self._nested_failures = NestedFailures()
        self._retries = RetrySchedule()

    @property
    def is_on(self) -> bool:
        """Whether the order in force sheds load."""
        return self.order.sheds_load

    def refuses_route(
        self, ticket: Ticket, now: float, *, is_busy: bool
    ) -> bool:
        """Return whether a call would fail as its nested calls are refused.

        Nested calls are not refused for this: the requests that wait for them
        would fail at once.

        Args:
            ticket: The call.
            now: The time in seconds.
            is_busy: Whether the target has no free slot for it.
        """
        if not self.is_on or ticket.is_inner:
            return False
        failures = self._nested_failures
        ticket.success_share = failures.success_share(ticket.route, now)
        return failures.refuses(ticket.route, now, is_busy=is_busy)

    def reserved_slots(self, limit: int, now: float) -> int:
        """Return the slots that calls that are not nested leave free."""
        return self._reserve.slots(limit, now) if self.is_on else 0

    def on_served(
        self, ticket: Ticket, service_time: float, now: float
    ) -> None:
        """Count a call that has started and the seconds that it needs."""
        self.order.on_served(ticket, now)
        if ticket.is_inner:
            self._reserve.on_served(service_time, now)

    def on_refused(
        self,
        ticket: Ticket,
        reason: RefusalReason,
        wait: float,
        turn: float,
        now: float,
    ) -> None:
        """Count a refused call, and state when it may be sent again.

        Args:
            ticket: The call.
            reason: Why it is refused.
            wait: The expected seconds until a slot is free for it.
            turn: The seconds in which the target frees one slot on average.
            now: The time in seconds.
        """
        if reason is RefusalReason.FAILS_BELOW:
            wait = max(wait, _RECOVERY_SECONDS)
        ticket.refusal_reason = reason.value
        ticket.queue_seconds = wait
        ticket.retry_after = wait
        if not self.is_on:
            return
        ticket.retry_after = self._retries.advise(
            wait,
            turn,
            ticket.expires_at - now,
            now,
            is_probe=not ticket.may_wait,
        )
        if ticket.is_inner:
            self._reserve.on_refused(now)
        if ticket.may_wait and reason in _SHED:
            self.order.on_refused(ticket, now)

    def on_answer(
        self, ticket: Ticket, now: float, *, has_failed_below: bool
    ) -> None:
        """Record an answer of the target.

        Args:
            ticket: The call.
            now: The time in seconds.
            has_failed_below: Whether the call failed because one of its nested
                calls was refused.
        """
        self._nested_failures.observe(
            ticket.route, has_failed=has_failed_below, now=now
        )
