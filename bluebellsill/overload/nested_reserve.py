"""Reserves slots of a target for nested calls while these are refused."""

from __future__ import annotations

from math import ceil, exp

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
    longer than it can wait. The reserve is as large as the nested calls need
    on average, and ends when none of them is refused any more.
    """

    def __init__(self) -> None:
        """Create the reserve of a target without nested calls."""
        self._calls: float = 0
        self._refused: float = 0
        self._work: float = 0
        self._updated_at: float = 0

    def on_offered(self, service_time: float, now: float) -> None:
        """Count a nested call and the seconds of work that it needs."""
        self._decay(now)
        self._calls += 1
        self._work += service_time

    def on_refused(self, now: float) -> None:
        """Count the refusal of a nested call."""
        self._decay(now)
        self._refused += 1

    def slots(self, limit: int, now: float) -> int:
        """Return the number of slots to reserve.

        Args:
            limit: The calls that may run at the target at a time.
            now: The time in seconds.
        """
        self._decay(now)
        share = self._refused / self._calls if self._calls else 0
        if self._refused < _MIN_REFUSED or share < _REFUSED_SHARE:
            return 0
        needed = ceil(self._work / _LIFETIME)
        return min(needed, limit // _MAX_SHARE_OF_SLOTS)

    def _decay(self, now: float) -> None:
        kept = exp(-max(0, now - self._updated_at) / _LIFETIME)
        self._updated_at = now
        self._calls *= kept
        self._refused *= kept
        self._work *= kept
