"""The connections to one target: for calls, and apart from them for probes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.http_client import HttpPool
from bluebellsill.response_budget import ResponseBudget

if TYPE_CHECKING:
    from bluebellsill.http_exchange import ResponseRules
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

__all__ = ('TargetConnections',)


class TargetConnections:
    """Two pools that share no connection.

    The responses to probes have no id. What the response to a call leaves
    behind on its connection would be taken for the health of the target.

    Attributes:
        calls: The connections for calls, None before ``open``.
        probes: The connections for probes, None before ``open``.
        budget: Limits what the incomplete responses on all of them take.
    """

    def __init__(self, reactor: Reactor, response_memory: int) -> None:
        """Create connections to no target.

        Args:
            reactor: Polls the sockets.
            response_memory: Bytes that its incomplete responses may take.
        """
        self.calls: HttpPool | None = None
        self.probes: HttpPool | None = None
        self.budget = ResponseBudget(response_memory)
        self._reactor = reactor

    @property
    def opened(self) -> int:
        """The number of connections opened to the target so far."""
        return sum(pool.opened for pool in self._pools())

    @property
    def unclean(self) -> int:
        """How many were closed because of bytes that belong to no request."""
        return sum(pool.unclean for pool in self._pools())

    def open(self, address: Address, rules: ResponseRules) -> None:
        """Create the pools of a target that has started."""
        self.calls = HttpPool(self._reactor, address, rules, self.budget)
        self.probes = HttpPool(self._reactor, address, rules, self.budget)

    def close(self) -> None:
        """Close every connection; requests in flight fail."""
        for pool in self._pools():
            pool.close()

    def _pools(self) -> list[HttpPool]:
        pools = (self.calls, self.probes)
        return [pool for pool in pools if pool is not None]
