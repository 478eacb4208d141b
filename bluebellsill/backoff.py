"""Exponential backoff."""

from __future__ import annotations

__all__ = ('exponential_backoff',)

_MAX_DOUBLINGS = 32


def exponential_backoff(
    shortest: float, doublings: int, longest: float
) -> float:
    """Return a time that doubles with each failure.

    Args:
        shortest: The time without a doubling, in seconds.
        doublings: How often it doubles, any number. A power of two beyond the
            largest float cannot be multiplied with one.
        longest: The longest time, in seconds.
    """
    return min(longest, shortest * (1 << min(doublings, _MAX_DOUBLINGS)))
