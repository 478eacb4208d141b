"""The decision which waiting call of a target starts first."""

from __future__ import annotations

from enum import Enum, unique
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from bluebellsill.admission import Ticket

__all__ = ('QueueOrder', 'Rank', 'RefusalReason')

# Ranks are compared as tuples; one rank may be nested in another.
Rank = tuple[Any, ...]


@unique
class RefusalReason(str, Enum):
    """Why a gate refuses a call, for logs and counters."""

    EXPIRED = 'expired'
    NOT_IN_TIME = 'not_in_time'
    DISPLACED = 'displaced'
    BEYOND_RATE = 'beyond_rate'
    FAILS_BELOW = 'fails_below'


class QueueOrder(Protocol):
    """Orders the calls that wait for a slot of one target.

    The gate asks for the ranks whenever it sorts its queue, so that they may
    depend on the time and on what was served before.
    """

    @property
    def sheds_load(self) -> bool:
        """Whether the gate refuses early, reserves slots and spreads retries.

        Without it, a waiting call leaves the queue only when its time is over.
        """

    def start_rank(
        self, ticket: Ticket, service_time: float, now: float
    ) -> Rank:
        """Return the sort key of a waiting call; lower ones start first.

        Args:
            ticket: The call.
            service_time: The seconds that it is expected to run.
            now: The time in seconds.
        """

    def class_rank(self, ticket: Ticket, now: float) -> Rank:
        """Return the sort key of a call's class; higher ones displace lower."""

    def on_served(self, ticket: Ticket, now: float) -> None:
        """Count a call that has started."""

    def on_refused(self, ticket: Ticket, now: float) -> None:
        """Count a call that was refused and is not tried at another node."""
