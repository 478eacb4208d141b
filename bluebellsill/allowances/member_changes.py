"""Passes on the changes of members, without short false ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.allowances.population import is_candidate
from bluebellsill.membership import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.gossip_messages import Member

__all__ = ('MemberChanges',)

# Seconds in which a member may refute that it is gone; about as long as a
# suspected member is given.
_REFUTATION_PERIOD = 2.5


class MemberChanges:
    """Delays the news that a member is gone which nobody has suspected.

    When a partition heals, each side tells the other one that its members are
    gone, and these refute it one after the other. A grantor that believed it
    would use a small part of the rate until then.
    """

    def __init__(
        self, on_change: Callable[[Member | None, Member, float], None]
    ) -> None:
        """Create a filter.

        Args:
            on_change: Called with the old record, or None, the new one and
                the time.
        """
        self._on_change = on_change
        # The record before the news, the news and when it is passed on, in the
        # order of the times.
        self._delayed: dict[str, tuple[Member, Member, float]] = {}

    def on_change(
        self, former: Member | None, record: Member, now: float
    ) -> None:
        """Handle a changed or new record of a member."""
        self.flush(now)
        delayed = self._delayed.pop(record.id, None)
        if delayed is not None:
            former = delayed[0]
        if former is not None and _is_unexpected(former, record):
            due = delayed[2] if delayed else now + _REFUTATION_PERIOD
            self._delayed[record.id] = (former, record, due)
            return
        self._on_change(former, record, now)

    def flush(self, now: float) -> None:
        """Pass on the news that has not been refuted in time."""
        while self._delayed:
            former, record, due = next(iter(self._delayed.values()))
            if due > now:
                return
            del self._delayed[record.id]
            self._on_change(former, record, now)


def _is_unexpected(former: Member, record: Member) -> bool:
    # Only a member itself increases its version, so it has left by itself.
    return (
        is_candidate(former)
        and record.state == MemberState.GONE
        and record.version <= former.version
    )
