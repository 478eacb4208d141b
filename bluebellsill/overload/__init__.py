"""Load shedding: which calls start first at a full target, and which never."""

from __future__ import annotations

from bluebellsill.overload.cost_order import CostOrder
from bluebellsill.overload.load_shedding import LoadShedding
from bluebellsill.overload.nested_failures import NestedFailures
from bluebellsill.overload.nested_reserve import NestedReserve
from bluebellsill.overload.order_monitor import (
    ORDER_LOG_PERIOD,
    OrderMonitor,
)
from bluebellsill.overload.order_switch import OrderName, OrderSwitch
from bluebellsill.overload.priority_order import PriorityOrder
from bluebellsill.overload.queue_order import QueueOrder, Rank, RefusalReason
from bluebellsill.overload.retry_schedule import RetrySchedule
from bluebellsill.overload.team_shares import TeamShares

__all__ = (
    'CostOrder',
    'LoadShedding',
    'NestedFailures',
    'NestedReserve',
    'ORDER_LOG_PERIOD',
    'OrderMonitor',
    'OrderName',
    'OrderSwitch',
    'PriorityOrder',
    'QueueOrder',
    'Rank',
    'RefusalReason',
    'RetrySchedule',
    'TeamShares',
)
