"""The orders of canary releases as the operators wrote them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bluebellsill.operator_feed import OrderWritten
    from bluebellsill.replica_version import StorePosition

__all__ = ('NO_ORDERS', 'OrderSet', 'WrittenOrder')


class WrittenOrder(msgspec.Struct, array_like=True, frozen=True):
    """The encoded order for one service, and when it was written.

    Attributes:
        service: The service whose targets get a new version.
        payload: The encoded order.
        epoch: The epoch of the store in which it was written.
        revision: The revision of the store at which it was written.
    """

    service: str
    payload: bytes
    epoch: int
    revision: int


@dataclass(frozen=True, slots=True)
class OrderSet:
    """The orders that are in force, at most one for each service.

    A restored store may lack an order until the operators write it again.
    Such an order stays in force: without it, the targets of a version that was
    rolled back would get requests again.
    """

    written: tuple[WrittenOrder, ...] = ()

    @classmethod
    def of(cls, orders: Iterable[OrderWritten], epoch: int) -> OrderSet:
        """Return the orders that were read from the store in an epoch."""
        return cls(
            tuple(
                WrittenOrder(one.service, one.payload, epoch, one.revision)
                for one in orders
            )
        )

    def apply(self, change: OrderWritten, epoch: int) -> OrderSet:
        """Return the orders after one was written or removed."""
        others = [one for one in self.written if one.service != change.service]
        if change.payload:
            order = WrittenOrder(
                change.service, change.payload, epoch, change.revision
            )
            others.append(order)
        return OrderSet(tuple(others))

    def follow(
        self, newer: OrderSet | None, position: StorePosition
    ) -> OrderSet:
        """Return the orders at a later position of the store.

        Args:
            newer: The orders there, None if the source does not know them.
            position: The later position.
        """
        if newer is None:
            return self
        services = {one.service for one in newer.written}
        lost = [
            one
            for one in self.written
            if one.epoch < position.epoch and one.service not in services
        ]
        return OrderSet((*newer.written, *lost))


NO_ORDERS = OrderSet()
