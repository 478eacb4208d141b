"""Whether a node takes new work for the target beside it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.membership import Members
    from bluebellsill.placement import OperatorWishes

__all__ = ('Acceptance',)


class Acceptance:
    """Refuses new work by what this node knows, whatever senders believe."""

    def __init__(
        self,
        members: Members,
        wishes: OperatorWishes,
        is_fresh: Callable[[], bool],
    ) -> None:
        """Create a node's acceptance.

        Args:
            members: Tell the own node and its zone.
            wishes: Tell what operators took out.
            is_fresh: Returns whether what this node knows is not old.
        """
        self.is_leaving = False
        self._members = members
        self._wishes = wishes
        self._is_fresh = is_fresh

    def refusal(self) -> ErrorKind | None:
        """Return why new work is refused, if it is."""
        own = self._members.own
        if self._wishes.is_zone_out(own.zone):
            return ErrorKind.ZONE_OUT
        if self._wishes.is_target_out(own.id):
            return ErrorKind.TARGET_OUT
        if self.is_leaving:
            return ErrorKind.LEAVING
        if not self._is_fresh():
            return ErrorKind.STALE
        return None
