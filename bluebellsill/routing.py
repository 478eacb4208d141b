"""The targets of one service that an entry node uses."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.outliers import Outliers
from bluebellsill.rendezvous import rank
from bluebellsill.target_view import TargetView

if TYPE_CHECKING:
    from collections.abc import Collection

    from bluebellsill.choice import Choice
    from bluebellsill.gossip_messages import Member

__all__ = ('Router',)

SUBSET_SIZE = 16  # targets of one service that an entry node uses
_OWN_ZONE_SIZE = 8  # targets of the own zone among them


class Router:
    """The targets of one service that this entry node uses."""

    def __init__(self, own_id: str, own_zone: str, choice: Choice) -> None:
        """Create a router without targets.

        Args:
            own_id: Spreads the subsets of entry nodes evenly.
            own_zone: Preferred while it is not the more loaded one.
            choice: Chooses among the targets that may take a call.
        """
        self.views_by_id: dict[str, TargetView] = {}
        self.outliers = Outliers()
        self._own_id = own_id
        self._own_zone = own_zone
        self._choice = choice

    def update(self, members: Collection[Member]) -> None:
        """Choose the subset among the targets that are ready.

        Args:
            members: Ready targets whose availability zones are in service.
        """
        near = [one for one in members if one.zone == self._own_zone]
        far = [one for one in members if one.zone != self._own_zone]
        chosen = self._take(near, _OWN_ZONE_SIZE)
        chosen += self._take(far, SUBSET_SIZE - len(chosen))
        old = self.views_by_id
        self.views_by_id = {
            one.id: old.get(one.id)
            or TargetView(one.id, one.zone, limit=max(1, one.slots))
            for one in chosen
        }

    def choose(self, tried: Collection[str], now: float) -> TargetView | None:
        """Choose the target for a call.

        Args:
            tried: Nodes that have refused or failed this call.
            now: The time in seconds.

        Returns:
            The target, or None if all have been tried.
        """
        views = [
            view for view in self.views_by_id.values() if view.id not in tried
        ]
        good = [view for view in views if view.avoided_until <= now]
        candidates = good or views
        candidates = self.outliers.without(candidates, now) or candidates
        if not candidates:
            return None
        return self._choice.pick(candidates, now)

    def _take(self, members: list[Member], count: int) -> list[Member]:
        if len(members) <= count:
            return members
        by_id = {member.id: member for member in members}
        return [by_id[one] for one in rank(self._own_id, by_id, count)]
