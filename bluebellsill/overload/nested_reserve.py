"""Reserves slots of a target for nested calls while these are refused."""

from __future__ import annotations

from math import exp

__all__ = ('NestedReserve',)

_LIFETIME = 2.0  # seconds over which nested calls are averaged
# Share of the recent nested calls; a few refusals are no pattern.
_REFUSED_SHARE = 0.05
_MIN_REFUSED = (
    0.5  # refused nested calls after decay; forgets the last after 1.4 s
)
_MAX_SHARE_OF_SLOTS = 3  # at most a third of the slots is reserved


class NestedReserve:
    """Tells how many slots calls that are not nested leave free.

    A nested call waits behind running calls of other routes, which may be
    longer than it can wait; meanwhile, its parent holds a slot for nothing. So
    the reserve is as large as the load of nested calls, and ends when none of
    them is refused any more. It also counts refusals of nested calls that are
    tried at other nodes: they find no free slot, and will wait somewhere.
    """

    def __init__(self) -> None:
        """Create the reserve of a target without nested calls."""
        self._served: float = 0
        self._refused: float = 0
        self._work: float = 0
        self._updated_at: float = 0

    def on_served(self, service_time: float, now: float) -> None:
        """Count a nested call that starts and the seconds that it needs."""
        self._decay(now)
        self._served += 1
        self._work += service_time

    def on_refused(self, now: float) -> None:
        """Count a nested call that finds no slot."""
        self._decay(now)
        self._refused += 1

    def slots(self, limit: int, now: float) -> int:
        """Return the number of slots to reserve.

        Args:
            limit: The calls that may run at the target at a time.
            now: The time in seconds.
        """
        if self._refused < _MIN_REFUSED:
            return 0
        self._decay(now)
        if self._refused < _REFUSED_SHARE * (self._served + self._refused):
            return 0
        needed = max(1, round(self._work / _LIFETIME))
        return min(needed, limit // _MAX_SHARE_OF_SLOTS)

    def _decay(self, now: float) -> None:
        kept = exp(-max(0, now - self._updated_at) / _LIFETIME)
        self._updated_at = now
        self._served *= kept
        self._refused *= kept
        self._work *= kept
