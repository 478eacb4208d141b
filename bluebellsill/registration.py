"""Decides which nodes register in the node directory.

All nodes of a fleet may start within a fraction of a second, each without
knowing any other. If each of them registered, the calls of the store would
grow with the fleet.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.rendezvous import rank

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.clock import Clock
    from bluebellsill.membership import Members

__all__ = ('ENTRIES_PER_ZONE', 'RegistrationPolicy')

# A few entries suffice for new nodes to join, whatever the size of the zone.
ENTRIES_PER_ZONE = 3
_RANK_KEY = 'directory'
# Of a node that knows no other one. Of hundreds that start together, a few
# register; a single one registers after five polls at the latest.
_INITIAL_PROBABILITY = 0.0625
_PROBABILITY_GROWTH = 2
# Of a restarted node that finds no usable entry while callers wait.
_RESTART_PROBABILITY = 0.25
# Seconds from the first known peer until the members of a zone are known. With
# fewer known, too many nodes would take themselves for chosen.
_SETTLING_TIME = 1.5


class RegistrationPolicy:
    """Chooses the nodes that register, without coordination.

    Nodes that know each other derive the registered ones from the members.
    A node that knows no other registers with a probability that doubles
    with each poll, so that the first of many soon becomes the one that the
    others find.
    """

    def __init__(self, members: Members, random: Random, clock: Clock) -> None:
        """Create the policy of the node that owns ``members``."""
        self._members = members
        self._random = random
        self._clock = clock
        self._met_at: float | None = None
        self._probability = _INITIAL_PROBABILITY

    def on_restart(self) -> None:
        """Register sooner if alone: a restarted node has callers waiting."""
        self._probability = _RESTART_PROBABILITY

    def observe(self) -> None:
        """Note when the first other node was known; call it regularly."""
        if self._met_at is None and not self._is_alone():
            self._met_at = self._clock.now()

    def is_chosen(self) -> bool:
        """Whether the members show that this node has to register."""
        self.observe()
        if self._met_at is None or self._is_alone():
            return False
        if self._clock.now() - self._met_at < _SETTLING_TIME:
            return False
        own = self._members.own
        ids = [member.id for member in self._members.live_in_zone(own.zone)]
        return own.id in rank(_RANK_KEY, ids, ENTRIES_PER_ZONE)

    def must_register(self) -> bool:
        """Decide after a poll that has not found the node's own entry."""
        if not self._is_alone():
            return self.is_chosen()
        is_drawn = self._random.random() < self._probability
        self._probability *= _PROBABILITY_GROWTH
        return is_drawn

    def _is_alone(self) -> bool:
        return len(self._members.live()) <= 1
