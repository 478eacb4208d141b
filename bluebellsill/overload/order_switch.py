"""Selects the order in force by the settings and the routing document."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

from bluebellsill.logs import get_logger
from bluebellsill.overload.cost_order import CostOrder
from bluebellsill.overload.priority_order import PriorityOrder

if TYPE_CHECKING:
    from bluebellsill.admission import Ticket
    from bluebellsill.overload.queue_order import Rank

__all__ = ('OrderName', 'OrderSwitch')

OrderName = Literal['priority', 'cost']


class OrderSwitch:
    """A queue order that changes while calls wait.

    The cost order is in force if the settings select it or the routing
    document has teams.
    """

    def __init__(self, configured: OrderName = 'priority') -> None:
        """Create a switch for a deployment without teams."""
        self.cost_order = CostOrder()
        self._priority_order = PriorityOrder()
        self._configured = configured
        self._has_teams = False
        self._log = get_logger('overload')

    @property
    def name(self) -> OrderName:
        """The name of the order in force."""
        return 'cost' if self.sheds_load else 'priority'

    @property
    def sheds_load(self) -> bool:
        """Whether the cost order is in force."""
        return self._has_teams or self._configured == 'cost'

    def on_plan(self, *, has_teams: bool) -> None:
        """Follow a change of the routing document."""
        before = self.name
        self._has_teams = has_teams
        if before != self.name:
            self._log.info(
                'queue order changed', order=self.name, has_teams=has_teams
            )

    def start_rank(
        self, ticket: Ticket, service_time: float, now: float
    ) -> Rank:
        """Return the sort key of a waiting call; lower ones start first."""
        return self._order.start_rank(ticket, service_time, now)

    def class_rank(self, ticket: Ticket, now: float) -> Rank:
        """Return the sort key of a call's class; higher ones displace lower."""
        return self._order.class_rank(ticket, now)

    def on_served(self, ticket: Ticket, now: float) -> None:
        """Count a call that has started."""
        self._order.on_served(ticket, now)

    def on_refused(self, ticket: Ticket, now: float) -> None:
        """Count a call that was refused and is not tried at another node."""
        self._order.on_refused(ticket, now)

    @property
    def _order(self) -> CostOrder | PriorityOrder:
        return self.cost_order if self.sheds_load else self._priority_order
