"""Draws random members to gossip with."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members

__all__ = ('PeerSampler',)

# Share of the draws near the node that may be of any zone. Each record still
# crosses between two zones from many members.
_ANY_ZONE_SHARE = 0.25
# Members of the own zone below which draws are of any zone: the same few would
# be drawn again and again, and an update would reach other zones late.
_MIN_ZONE_PEERS = 8


class PeerSampler:
    """Draws live members, of all zones or mostly of the own one.

    Traffic between availability zones is charged for, so updates that every
    member gets in the end are spread within a zone first.
    """

    def __init__(self, members: Members, random: Random) -> None:
        """Draw among ``members`` with ``random``."""
        self._members = members
        self._random = random
        self._ids: list[str] = []
        self._zone_ids: list[str] = []
        self._is_current = False
        members.subscribe(self._on_change)

    def sample(self, count: int, exclude: str = '') -> list[str]:
        """Return the ids of up to ``count`` live members of any zone."""
        self._update()
        wanted = min(count + 1, len(self._ids))
        drawn = self._random.sample(self._ids, wanted)
        return [one for one in drawn if one != exclude][:count]

    def sample_near(self, count: int) -> list[str]:
        """Return the ids of live members, most of them of a large own zone."""
        self._update()
        if len(self._zone_ids) < _MIN_ZONE_PEERS:
            return self.sample(count)
        near = sum(
            self._random.random() >= _ANY_ZONE_SHARE for _ in range(count)
        )
        near = min(near, len(self._zone_ids))
        chosen = self._random.sample(self._zone_ids, near)
        others = self.sample(count)
        chosen += [one for one in others if one not in chosen]
        return chosen[:count]

    def _on_change(self, known: Member | None, record: Member) -> None:
        self._is_current = False

    def _update(self) -> None:
        if self._is_current:
            return
        own = self._members.own
        live = [one for one in self._members.live() if one.id != own.id]
        self._ids = [one.id for one in live]
        self._zone_ids = [one.id for one in live if one.zone == own.zone]
        self._is_current = True
