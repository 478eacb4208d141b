"""The membership table and the rules for merging member records."""

from __future__ import annotations

from collections import defaultdict
from enum import IntEnum, unique
from sys import intern
from typing import TYPE_CHECKING
from zlib import crc32

from msgspec.structs import replace

from bluebellsill.gossip_messages import Member

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

__all__ = ('MemberState', 'Members')

GONE_RETENTION = 900  # seconds to keep the record of a gone member
BUCKETS = 64  # groups of records that a sync compares by hash


@unique
class MemberState(IntEnum):
    """The states of a member; at equal versions the higher value wins."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    SUSPECT = 3
    GONE = 4


_LIVE = frozenset((MemberState.JOINING, MemberState.READY, MemberState.LEAVING))


class Members:
    """The records of all known nodes, including this node."""

    def __init__(self, own: Member) -> None:
        """Create a table with only the record of this node."""
        self.own = own
        self.by_id: dict[str, Member] = {own.id: own}
        self._gone_at_by_id: dict[str, float] = {}
        # Lists rather than sets: thousands of small sets take far more memory.
        self._ids_by_service: dict[str, list[str]] = defaultdict(list)
        self._hashes = [0 for _ in range(BUCKETS)]
        self._listeners: list[Callable[[Member | None, Member], None]] = []
        self._live_by_zone: dict[str, list[Member]] = {}
        self._index(own)

    def subscribe(
        self,
        listener: Callable[[Member | None, Member], None],
    ) -> None:
        """Register a listener for changes of records.

        Args:
            listener: Called with the old record, or None, and the new one.
        """
        self._listeners.append(listener)

    def update_own(
        self,
        *,
        state: MemberState | None = None,
        service: str | None = None,
        slots: int | None = None,
        is_store_lost: bool | None = None,
        target_version: str | None = None,
    ) -> Member:
        """Update the record of this node; None leaves a field unchanged.

        Returns:
            The new record, whose version is one higher.
        """
        changes = {
            'state': None if state is None else int(state),
            'service': service,
            'slots': slots,
            'is_store_lost': is_store_lost,
            'target_version': target_version,
        }
        own = replace(
            self.own,
            version=self.own.version + 1,
            **{name: new for name, new in changes.items() if new is not None},
        )
        self._store(own)
        return own

    def merge(self, record: Member, now: float) -> bool:
        """Merge a received record into the table.

        Args:
            record: The record, of any member.
            now: The time of the local clock in seconds.

        Returns:
            Whether the table changed.
        """
        if record.id == self.own.id:
            return self._refute(record)
        known = self.by_id.get(record.id)
        if known is None and record.state == MemberState.GONE:
            return False
        if known is not None and _order(record) <= _order(known):
            return False
        if record.state == MemberState.GONE:
            self._gone_at_by_id[record.id] = now
        else:
            self._gone_at_by_id.pop(record.id, None)
        self._store(record)
        return True

    def purge_gone(self, now: float) -> None:
        """Remove records of members that have been gone past the retention."""
        for member_id, gone_at in tuple(self._gone_at_by_id.items()):
            if now - gone_at > GONE_RETENTION:
                del self._gone_at_by_id[member_id]
                record = self.by_id.pop(member_id)
                self._unindex(record)

    def live(self) -> list[Member]:
        """Return the members that are neither suspected nor gone."""
        return [
            record for record in self.by_id.values() if record.state in _LIVE
        ]

    def live_in_zone(self, zone: str) -> list[Member]:
        """Return the live members of an availability zone."""
        found = self._live_by_zone.get(zone)
        if found is None:
            found = [record for record in self.live() if record.zone == zone]
            self._live_by_zone[zone] = found
        return found

    def not_gone_in_zone(self, zone: str) -> list[Member]:
        """Return the members of an availability zone, including suspects."""
        return [
            record
            for record in self.by_id.values()
            if record.zone == zone and record.state != MemberState.GONE
        ]

    def of_service(self, service: str) -> list[Member]:
        """Return the members of a service, including suspects."""
        return [
            self.by_id[member_id]
            for member_id in self._ids_by_service.get(service, ())
        ]

    def sample_of_service(
        self, service: str, count: int, random: Random
    ) -> list[str]:
        """Return the ids of random live members of a service but this one.

        Fewer are returned if some of those drawn are suspected.
        """
        ids = self._ids_by_service.get(service, [])
        drawn = random.sample(ids, min(count + 1, len(ids)))
        live = [
            one
            for one in drawn
            if one != self.own.id and self.by_id[one].state in _LIVE
        ]
        return live[:count]

    def random_gone_id(self, random: Random) -> str | None:
        """Return the id of a random gone member, or None if there is none."""
        if not self._gone_at_by_id:
            return None
        return random.choice(sorted(self._gone_at_by_id))

    def zones(self) -> list[str]:
        """Return the availability zones with live members, sorted."""
        return sorted({record.zone for record in self.live()})

    def hashes(self) -> list[int]:
        """Return the hash of each bucket of records."""
        return self._hashes.copy()

    def differing(self, hashes: list[int]) -> Iterable[Member]:
        """Return the records of all buckets whose hashes differ.

        Args:
            hashes: The bucket hashes of another member.
        """
        buckets = {
            bucket
            for bucket, remote in enumerate(hashes[:BUCKETS])
            if remote != self._hashes[bucket]
        }
        return (
            record
            for record in self.by_id.values()
            if _bucket(record.id) in buckets
        )

    def _refute(self, record: Member) -> bool:
        own = self.own
        if _order(record) <= _order(own):
            return False
        if record.incarnation > own.incarnation or (
            record.state == MemberState.GONE
        ):
            # Other members have declared this incarnation gone and may have
            # discarded its state, so the node rejoins as a new incarnation.
            incarnation = max(record.incarnation, own.incarnation) + 1
            self._store(replace(own, incarnation=incarnation, version=0))
        else:
            self._store(replace(own, version=record.version + 1))
        return True

    def _store(self, record: Member) -> None:
        known = self.by_id.get(record.id)
        if known is not None:
            self._unindex(known)
        record = _interned(record)
        self._live_by_zone.pop(record.zone, None)
        self.by_id[record.id] = record
        self._index(record)
        if record.id == self.own.id:
            self.own = record
        for listener in self._listeners:
            listener(known, record)

    def _index(self, record: Member) -> None:
        self._hashes[_bucket(record.id)] ^= _hash(record)
        if record.service and record.state != MemberState.GONE:
            self._ids_by_service[record.service].append(record.id)

    def _unindex(self, record: Member) -> None:
        self._hashes[_bucket(record.id)] ^= _hash(record)
        ids = self._ids_by_service.get(record.service, [])
        if record.id in ids:
            ids.remove(record.id)


def _interned(record: Member) -> Member:
    # Thousands of records share a few zone and service names.
    return replace(
        record,
        zone=intern(record.zone),
        service=intern(record.service),
        target_version=intern(record.target_version),
    )


def _order(record: Member) -> tuple[int, bool, int, int]:
    # GONE is final within an incarnation: it outranks any version that the
    # member sends before it learns of it. Only a later incarnation supersedes
    # it.
    is_gone = record.state == MemberState.GONE
    return record.incarnation, is_gone, record.version, record.state


def _bucket(member_id: str) -> int:
    return crc32(member_id.encode()) % BUCKETS


def _hash(record: Member) -> int:
    return crc32(repr(_order(record)).encode(), crc32(record.id.encode()))
