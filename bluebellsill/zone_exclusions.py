"""The availability zones that operators have taken out of service."""

from __future__ import annotations

from dataclasses import dataclass, replace

__all__ = ('NO_EXCLUSIONS', 'ZoneExclusions')

_NONE: frozenset[str] = frozenset()
# Zones that are remembered as returned; far more than there are. Operators may
# name any number of zones, and nodes send these names to each other.
_MAX_RETURNED = 512


@dataclass(frozen=True, slots=True)
class ZoneExclusions:
    """Zones out of service, and how far the present store confirms them.

    A store that is restored from a copy may have lost that a zone was taken
    out. Such a zone stays out, unconfirmed, because operators repeat what was
    lost. A zone that was returned in the present epoch is remembered, so that
    it does not become unconfirmed again at a node that learns of the epoch
    later.

    Attributes:
        out: Zones that are out of service in the present epoch of the store.
        unconfirmed: Zones that were out in an earlier epoch, and of which the
            present one says nothing.
        returned: Zones that were returned to service in the present epoch.
    """

    out: frozenset[str] = _NONE
    unconfirmed: frozenset[str] = _NONE
    returned: frozenset[str] = _NONE

    @property
    def all_out(self) -> frozenset[str]:
        """All zones that are to be treated as out of service."""
        return self.out | self.unconfirmed

    def take_out(self, zone: str) -> ZoneExclusions:
        """Return the exclusions after a zone was taken out of service."""
        return ZoneExclusions(
            self.out | {zone},
            self.unconfirmed - {zone},
            self.returned - {zone},
        )

    def bring_back(self, zone: str) -> ZoneExclusions:
        """Return the exclusions after a zone was returned to service."""
        return ZoneExclusions(
            self.out - {zone},
            self.unconfirmed - {zone},
            _bounded(self.returned | {zone}),
        )

    def follow(
        self, newer: ZoneExclusions, *, is_same_epoch: bool
    ) -> ZoneExclusions:
        """Return these exclusions brought up to a newer state.

        Args:
            newer: The exclusions at a later position of the store.
            is_same_epoch: Whether both are of the same epoch. Then a zone
                that is no longer out has been returned.
        """
        if is_same_epoch:
            unconfirmed = self.unconfirmed
            returned = self.returned | (self.out - newer.out) | newer.returned
            returned = _bounded(returned)
        else:
            unconfirmed = self.all_out
            returned = newer.returned
        returned -= newer.out
        return ZoneExclusions(
            newer.out,
            (unconfirmed | newer.unconfirmed) - newer.out - returned,
            returned,
        )

    def add_unconfirmed(self, zones: frozenset[str]) -> ZoneExclusions:
        """Return the exclusions with those of another node in this epoch."""
        unknown = zones - self.out - self.returned
        return replace(self, unconfirmed=self.unconfirmed | unknown)

    def drop_unconfirmed(self) -> ZoneExclusions:
        """Return only the exclusions that the present epoch confirms."""
        return replace(self, unconfirmed=_NONE)


def _bounded(zones: frozenset[str]) -> frozenset[str]:
    """Return no zones if there are too many.

    A zone that is forgotten may stay out a little longer after a restore.
    """
    return zones if len(zones) <= _MAX_RETURNED else _NONE


NO_EXCLUSIONS = ZoneExclusions()
