"""Orders waiting calls by what clients lose if the calls wait longer."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from bluebellsill.overload.team_shares import TeamShares

if TYPE_CHECKING:
    from bluebellsill.admission import Ticket
    from bluebellsill.overload.queue_order import Rank

__all__ = ('CostOrder',)

# Factors by which a call is worth more: for each level of its team, for each
# level of its route, and for a client that was refused before, which is
# unlikely to try a third time.
_TEAM_FACTOR = 16.0
_ROUTE_FACTOR = 8.0
_REPEAT_FACTOR = 1.5
# Seconds of slack in which the loss by waiting falls to 1/e: about the time
# in which a full queue is served.
_SLACK_SCALE = 0.3
_MIN_SUCCESS = 0.1  # share; routes that fail more often are refused anyway
_MIN_WORK = 0.001  # seconds


class CostOrder:
    """Starts the call that loses most per second of work by waiting.

    Nested calls are first: the work already done for the requests that wait
    for them is lost with them. Then come teams that get less than half of the
    usual share, then calls that are still in time. Among these the apparent
    tardiness cost rule decides: the value per second of work, which decays
    with the time that the call can still wait without loss. The importance of
    team and route outweighs differences of work. A call of higher importance
    waits for a lower one only if it can wait much longer.

    Attributes:
        shares: Tells which teams are served too rarely.
    """

    sheds_load = True

    def __init__(self) -> None:
        """Create an order that has not seen any call."""
        self.shares = TeamShares()

    def start_rank(
        self, ticket: Ticket, service_time: float, now: float
    ) -> Rank:
        """Return the sort key of a waiting call; lower ones start first."""
        soft_deadline = ticket.soft_deadline or ticket.expires_at
        is_late = now + service_time > soft_deadline
        ends_by = ticket.expires_at if is_late else soft_deadline
        return (
            not ticket.is_inner,
            not self.shares.is_starved(ticket.team),
            is_late,
            -_loss(ticket, service_time, ends_by - now),
        )

    def class_rank(self, ticket: Ticket, now: float) -> Rank:
        """Return the sort key of a call's class; higher ones displace lower."""
        return (
            ticket.is_inner,
            self.shares.is_starved(ticket.team),
            ticket.team_importance,
            ticket.priority,
        )

    def on_served(self, ticket: Ticket, now: float) -> None:
        """Count a call of a team that has started."""
        self.shares.observe(ticket.team, is_served=True, now=now)

    def on_refused(self, ticket: Ticket, now: float) -> None:
        """Count a call of a team that was refused."""
        self.shares.observe(ticket.team, is_served=False, now=now)


def _loss(ticket: Ticket, service_time: float, time_left: float) -> float:
    """Return the logarithm of the loss per second of work by waiting.

    Importances may be any numbers, so the factors are added as logarithms.
    """
    worth = log(_TEAM_FACTOR) * ticket.team_importance
    worth += log(_ROUTE_FACTOR) * ticket.priority
    if ticket.is_repeat:
        worth += log(_REPEAT_FACTOR)
    worth += log(max(_MIN_SUCCESS, ticket.success_share))
    slack = max(0, time_left - service_time)
    return worth - log(max(_MIN_WORK, service_time)) - slack / _SLACK_SCALE
