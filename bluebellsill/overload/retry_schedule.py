"""Spreads the retries of refused clients over time."""

from __future__ import annotations

from bluebellsill.retry_advice import MAX_SHARE_OF_TIME_LEFT

__all__ = ('RetrySchedule',)

_GOLDEN_RATIO = 0.618034  # its multiples are spread evenly modulo 1
# A call that may not wait is tried at other nodes, usually three more, and only
# one of the stated times is used.
_SHARE_OF_PROBE = 0.25
_EARLIEST = (
    0.5  # of the latest useful time; earlier retries meet the same queue
)


class RetrySchedule:
    """Gives each refused call its own time at which a slot may be free.

    The first call is told when a slot is expected to be free; each further one
    is told the time after that in which a slot runs one more call. A call that
    cannot wait for that time is told some time in the later half of what it
    can wait.
    """

    def __init__(self) -> None:
        """Create a schedule without refused calls."""
        self._next_at: float = 0
        self._fraction: float = 0

    def advise(
        self,
        wait: float,
        turn: float,
        time_left: float,
        now: float,
        *,
        is_probe: bool = False,
    ) -> float:
        """Return the seconds after which a refused call may be sent again.

        Args:
            wait: The expected seconds until a slot is free.
            turn: The seconds in which the target frees one slot on average.
            time_left: Seconds until the client gives up.
            now: The time in seconds.
            is_probe: Whether the call is tried at other nodes first.
        """
        if is_probe:
            turn *= _SHARE_OF_PROBE
        longest = MAX_SHARE_OF_TIME_LEFT * max(0, time_left)
        at = max(now + wait, self._next_at)
        if at - now <= longest:
            self._next_at = at + turn
            return at - now
        self._fraction += _GOLDEN_RATIO
        self._fraction -= int(self._fraction)
        return longest * (_EARLIEST + (1 - _EARLIEST) * self._fraction)
