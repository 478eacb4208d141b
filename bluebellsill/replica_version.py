"""How nodes tell which of two copies of replicated data is newer."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ('NO_VERSION', 'ReplicaVersion', 'StorePosition')


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """A state of the store.

    A store that is restored from a copy begins a new epoch and counts on from
    the copy's revision. Within an epoch the revision orders the states; a
    state of a later epoch is newer whatever its revision.

    Attributes:
        epoch: How many times the store has been restored, 0 if unknown.
        revision: The number of changes, which rises within an epoch.
    """

    epoch: int
    revision: int


@dataclass(frozen=True, slots=True)
class ReplicaVersion:
    """What a node's copy contains.

    Attributes:
        position: The newest state of the store that the copy reflects.
        document: The version that operators gave to the routing document in
            force, 0 without one. It is compared apart from the position,
            because a restored store has an older document for some time.
    """

    position: StorePosition
    document: int = 0

    def lacks(self, other: ReplicaVersion) -> bool:
        """Return whether the other copy contains anything newer."""
        is_older = self.position < other.position
        return is_older or self.document < other.document


NO_VERSION = ReplicaVersion(StorePosition(0, 0))
