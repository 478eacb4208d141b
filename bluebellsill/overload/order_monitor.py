"""Shows operators which order is in force and how teams are served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from bluebellsill.clock import Clock
    from bluebellsill.metrics import Metrics
    from bluebellsill.overload.order_switch import OrderSwitch

__all__ = ('ORDER_LOG_PERIOD', 'OrderMonitor')

ORDER_LOG_PERIOD = 5.0  # seconds between log lines; as for the node's gauges
_MAX_TEAMS = 8  # of which a log line shows the shares
_PERCENT = 100


class OrderMonitor:
    """Adds the gauges of the queue order, and logs the shares of teams."""

    def __init__(
        self, order: OrderSwitch, metrics: Metrics, clock: Clock
    ) -> None:
        """Register the gauges ``sheds_load`` and ``lowest_team_share``."""
        self._order = order
        self._clock = clock
        self._log = get_logger('overload')
        metrics.gauges['sheds_load'] = lambda: int(order.sheds_load)
        metrics.gauges['lowest_team_share'] = lambda: round(
            _PERCENT * min(self._shares(1).values(), default=1)
        )

    def log(self) -> None:
        """Log the teams that are served least, while not all are served."""
        shares = self._shares(_MAX_TEAMS)
        if self._order.sheds_load and min(shares.values(), default=1) < 1:
            self._log.info('team shares', order=self._order.name, served=shares)

    def _shares(self, most: int) -> dict[str, float]:
        now = self._clock.now()
        return self._order.cost_order.shares.lowest(most, now)
