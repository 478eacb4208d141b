"""Rendezvous hashing: ranks members differently for each key.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates",
1998. When a member joins or leaves, only the keys that rank it high move.
"""

from __future__ import annotations

from heapq import nlargest
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('rank', 'weight')


def weight(key: str, member_id: str) -> int:
    """Return the pseudo-random weight of a member for a key."""
    return xxh3_64_intdigest(f'{key}\0{member_id}'.encode())


def rank(key: str, member_ids: Iterable[str], count: int) -> list[str]:
    """Return the members with the highest weights, highest first.

    Args:
        key: The key for which the members are ranked.
        member_ids: The candidates, in any order.
        count: The number of members to return.
    """
    return nlargest(
        count,
        member_ids,
        key=lambda member_id: (weight(key, member_id), member_id),
    )
