"""Orders waiting calls by priority, then by target latency."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.admission import Ticket
    from bluebellsill.overload.queue_order import Rank

__all__ = ('PriorityOrder',)


class PriorityOrder:
    """Starts nested calls first, then calls in time, then by priority."""

    sheds_load = False

    def start_rank(
        self, ticket: Ticket, service_time: float, now: float
    ) -> Rank:
        """Return the sort key of a waiting call; lower ones start first."""
        soft_deadline = ticket.soft_deadline or ticket.expires_at
        is_late = now + service_time > soft_deadline
        return (
            not ticket.is_inner,
            is_late,
            -ticket.team_importance,
            -ticket.priority,
            soft_deadline,
        )

    def class_rank(self, ticket: Ticket, now: float) -> Rank:
        """Return the sort key of a call's class; higher ones displace lower."""
        return ticket.is_inner, ticket.team_importance, ticket.priority

    def on_served(self, ticket: Ticket, now: float) -> None:
        """Do nothing: the order does not depend on what was served."""

    def on_refused(self, ticket: Ticket, now: float) -> None:
        """Do nothing: the order does not depend on what was refused."""
