"""The records of the operators' configuration in the store and on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from bluebellsill.resources import Kind

__all__ = (
    'Change',
    'ConfigurationError',
    'Draft',
    'Head',
    'Snapshot',
    'Stored',
    'decode_change',
    'decode_snapshot',
)

MAX_HEAD_CHANGES = 256  # changes in the head until it is compacted
_HEAD_TAIL = 64  # changes that stay in a compacted head


class ConfigurationError(ValueError):
    """A record of the configuration is not what the system wrote."""


class Change(msgspec.Struct, frozen=True):
    """One accepted change; ``spec`` is None where the resource is deleted."""

    revision: int
    token: str
    kind: Kind
    name: str
    spec: dict[str, Any] | None


class Stored(msgspec.Struct, frozen=True):
    """One resource within a snapshot."""

    revision: int
    kind: Kind
    name: str
    spec: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True):
    """All resources at one revision."""

    revision: int
    resources: list[Stored]


class Head(msgspec.Struct, frozen=True):
    """The store's one contended record: the newest changes.

    Attributes:
        revision: The newest revision.
        snapshot: The revision of the snapshot to start from, 0 for none.
        changes: Every change after that snapshot, and some before it.
    """

    revision: int = 0
    snapshot: int = 0
    changes: list[Change] = []

    @classmethod
    def decode(cls, payload: bytes) -> Head:
        """Decode the record.

        Raises:
            ConfigurationError: The record is damaged.
        """
        head: Head = _decode(payload, cls)
        return head

    def encode(self) -> bytes:
        """Return the record's bytes."""
        return msgspec.json.encode(self)

    def append(self, draft: Draft) -> Head:
        """Return the record with one more change."""
        change = Change(
            self.revision + 1,
            draft.token,
            draft.kind,
            draft.name,
            draft.spec,
        )
        return Head(change.revision, self.snapshot, [*self.changes, change])

    def find(self, token: str) -> Change | None:
        """Return the change that a writer's token names."""
        for change in self.changes:
            if change.token == token:
                return change
        return None

    @property
    def wants_compaction(self) -> bool:
        """Whether the record has grown long."""
        return len(self.changes) > MAX_HEAD_CHANGES

    def compact(self) -> Head:
        """Return the record cut down to what follows a snapshot of now."""
        return Head(self.revision, self.revision, self.changes[-_HEAD_TAIL:])


@dataclass(frozen=True, slots=True)
class Draft:
    """A change that an operator asks for.

    Attributes:
        token: Unique; finds the change after an answer was lost.
        kind: The kind of resource.
        name: The resource's name.
        spec: What is declared, or None to delete.
        expected: The resource's revision, 0 if it must not exist, None if
            any will do.
    """

    token: str
    kind: Kind
    name: str
    spec: dict[str, Any] | None
    expected: int | None


def _decode(payload: bytes, record_type: type[Any]) -> Any:
    try:
        return msgspec.json.decode(payload, type=record_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        name = record_type.__name__
        raise ConfigurationError(f'{name} record is damaged: {error}') from None


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        ConfigurationError: The snapshot is damaged.
    """
    snapshot: Snapshot = _decode(payload, Snapshot)
    return snapshot


def decode_change(payload: bytes) -> Change:
    """Decode one change.

    Raises:
        ConfigurationError: The change is damaged.
    """
    change: Change = _decode(payload, Change)
    return change
