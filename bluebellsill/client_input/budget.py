"""The memory that all client connections of a listener may take together."""

from __future__ import annotations

from typing import Protocol

__all__ = ('SMALL', 'USUAL', 'Account', 'InputBudget', 'Spender')

# Bytes that a connection may always hold: a usual request takes some 4 KiB, and
# one with a head of 16 KiB in twenty lines 22 KiB.
SMALL = 65536
# Bytes up to which a connection is ordinary and never closed for memory. One
# request of 2 KiB in thirty lines takes 10 KiB. All connections of a VM with 200
# MB and 4,100 descriptors together stay within the budget if each holds so much.
USUAL = 12288
# Bytes of a body or a response from which it may take the place for large ones.
_LARGE = 262144


class Spender(Protocol):
    """A connection whose memory counts towards the budget."""

    @property
    def is_evictable(self) -> bool:
        """Whether it may be closed to free memory."""

    def close_now(self, reason: str) -> None:
        """Close the connection, which frees its memory."""


class Account:
    """The bytes that one connection holds.

    Attributes:
        spender: The connection.
        held: All bytes that it holds.
        counted: Those of them that count towards the budget.
    """

    __slots__ = ('_budget', 'counted', 'held', 'spender')

    def __init__(self, budget: InputBudget, spender: Spender) -> None:
        """Open an account without bytes."""
        self.spender = spender
        self.held = 0
        self.counted = 0
        self._budget = budget

    def hold(self, heads: int, payload: int = 0) -> None:
        """State what the connection holds now.

        Args:
            heads: Bytes of the heads of its requests.
            payload: Bytes of bodies and responses.
        """
        self.held = heads + payload
        self._budget.update(self, heads, payload)

    @property
    def may_read(self) -> bool:
        """Whether the connection may read more from its client."""
        return (
            self.counted <= SMALL
            or not self._budget.is_tight
            or self._budget.is_large(self)
        )

    def close(self) -> None:
        """Release everything."""
        self.hold(0)
        self._budget.discard(self)


class InputBudget:
    """Decides by the memory in use who may read and whose memory is freed.

    Below half of the capacity nothing is restricted. Above it, connections
    that hold more than ``SMALL`` stop reading, and requests with heads above
    ``SMALL`` are refused. Above the capacity, the connections that hold most
    are closed, and requests on those above ``USUAL`` are refused.

    The payload of one connection at a time does not count: a single large
    body or response may exceed the capacity, and is served.
    """

    def __init__(self, capacity: int | None = None) -> None:
        """Create a budget of some bytes, None for no limit."""
        self.used = 0
        self._capacity = capacity
        self._large: Account | None = None
        self._accounts: set[Account] = set()

    def open(self, spender: Spender) -> Account:
        """Return a new account."""
        account = Account(self, spender)
        self._accounts.add(account)
        return account

    def discard(self, account: Account) -> None:
        """Remove an account that holds nothing."""
        self._accounts.discard(account)

    def update(self, account: Account, heads: int, payload: int) -> None:
        """Count what an account holds now."""
        if self._large is account and payload <= _LARGE:
            self._large = None
        elif self._large is None and payload > _LARGE:
            self._large = account
        counted = heads if self._large is account else heads + payload
        self.used += counted - account.counted
        account.counted = counted

    def is_large(self, account: Account) -> bool:
        """Return whether the payload of an account does not count."""
        return self._large is account

    @property
    def is_tight(self) -> bool:
        """Whether more than half of the capacity is used."""
        return self._capacity is not None and 2 * self.used > self._capacity

    @property
    def is_exceeded(self) -> bool:
        """Whether the capacity is exceeded."""
        return self._capacity is not None and self.used > self._capacity

    def relieve(self) -> None:
        """Evict those that hold most until the capacity suffices."""
        while self.is_exceeded:
            account = self._largest()
            if account is None:
                return
            account.spender.close_now('memory')

    def _largest(self) -> Account | None:
        evictable = (
            one
            for one in self._accounts
            if one.counted > USUAL and one.spender.is_evictable
        )
        return max(evictable, key=_counted, default=None)


def _counted(account: Account) -> int:
    return account.counted
