"""Limits what all responses of a server take before they are complete.

The limit on one response does not suffice: a faulty server may send as much on
each connection and stop there, so that all of it is held until the requests
time out.
"""

from __future__ import annotations

from typing import Protocol

__all__ = (
    'DEFAULT_CAPACITY',
    'ResponseBudget',
    'ResponseHolder',
    'capacity_of_vm',
)

DEFAULT_CAPACITY = 67108864  # bytes
_MIN_CAPACITY = 16777216  # bytes; a few responses of the maximum size
_MEMORY_SHARE = 4  # the part of a VM's memory is one in this number
_BYTES_PER_MIB = 1048576


class ResponseHolder(Protocol):
    """A connection that holds a part of a response."""

    def drop_response(self, reason: str) -> None:
        """Fail the request in flight, which frees the memory."""


class ResponseBudget:
    """Counts the bytes of incomplete responses, and drops the largest ones.

    Attributes:
        dropped: The number of responses that were dropped so far.
    """

    def __init__(self, capacity: int = DEFAULT_CAPACITY) -> None:
        """Create a budget of some bytes."""
        self.dropped = 0
        self._capacity = capacity
        self._used = 0
        self._bytes_by_holder: dict[ResponseHolder, int] = {}

    def hold(self, holder: ResponseHolder, size: int) -> None:
        """State the bytes that a connection holds now."""
        self._used += size - self._bytes_by_holder.get(holder, 0)
        self._bytes_by_holder[holder] = size
        while self._used > self._capacity:
            self._drop_largest()

    def release(self, holder: ResponseHolder) -> None:
        """Forget a connection that holds nothing any more; idempotent."""
        self._used -= self._bytes_by_holder.pop(holder, 0)

    def _drop_largest(self) -> None:
        by_holder = self._bytes_by_holder
        largest = max(by_holder, key=by_holder.__getitem__)
        reason = (
            f'responses in progress take {self._used} bytes,'
            f' this one {by_holder[largest]}'
        )
        self.dropped += 1
        self.release(largest)
        largest.drop_response(reason)


def capacity_of_vm(memory_mb: float | None) -> int:
    """Return the bytes of a VM that are for incomplete responses.

    Args:
        memory_mb: The memory of the VM in MiB, None if unknown.
    """
    if memory_mb is None:
        return DEFAULT_CAPACITY
    share = int(memory_mb * _BYTES_PER_MIB / _MEMORY_SHARE)
    return max(share, _MIN_CAPACITY)
