"""Decides whether a node accepts new calls for its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.membership import Members
    from bluebellsill.router_registry import OperatorExclusions

__all__ = ('Acceptance',)


class Acceptance:
    """Refuses new calls by this node's own state, not that of the senders."""

    def __init__(
        self,
        members: Members,
        exclusions: OperatorExclusions,
        is_fresh: Callable[[], bool],
    ) -> None:
        """Create the acceptance checks of a node.

        Args:
            members: Provides the own node and its zone.
            exclusions: Provides the zones and targets that operators took out.
            is_fresh: Returns whether this node's state is up to date.
        """
        self.is_leaving = False
        self._members = members
        self._exclusions = exclusions
        self._is_fresh = is_fresh

    def refusal(self) -> ErrorKind | None:
        """Return why new calls are refused, None if they are accepted."""
        own = self._members.own
        if self._exclusions.is_zone_out(own.zone):
            return ErrorKind.ZONE_OUT
        if self._exclusions.is_target_out(own.id):
            return ErrorKind.TARGET_OUT
        if self.is_leaving:
            return ErrorKind.LEAVING
        if not self._is_fresh():
            return ErrorKind.STALE
        return None
