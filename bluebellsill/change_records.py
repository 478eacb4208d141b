"""Configuration records as kept in the store and sent between nodes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
from result import Err

from bluebellsill.decoding import decode_json
from bluebellsill.resources import Kind

__all__ = (
    'Change',
    'ConfigurationError',
    'Draft',
    'Head',
    'Snapshot',
    'StoredResource',
    'decode_change',
    'decode_snapshot',
)

MAX_HEAD_CHANGES = 256  # changes; a longer head is compacted
_COMPACTED_HEAD_CHANGES = 64  # changes kept in a compacted head


class ConfigurationError(ValueError):
    """A configuration record is invalid."""


class Change(msgspec.Struct, frozen=True):
    """An accepted change; ``spec`` is None if it deletes the resource."""

    revision: int
    token: str
    kind: Kind
    name: str
    spec: dict[str, Any] | None


class StoredResource(msgspec.Struct, frozen=True):
    """A resource in a snapshot."""

    revision: int
    kind: Kind
    name: str
    spec: dict[str, Any]


class Snapshot(msgspec.Struct, frozen=True):
    """All resources at a revision."""

    revision: int
    resources: list[StoredResource]


class Head(msgspec.Struct, frozen=True):
    """The head of the change log, the only record that writers contend for.

    Attributes:
        revision: The latest revision.
        snapshot: The revision of the latest snapshot, 0 if there is none.
        changes: All changes after that snapshot, and some before it.
    """

    revision: int = 0
    snapshot: int = 0
    changes: list[Change] = []

    @classmethod
    def decode(cls, payload: bytes) -> Head:
        """Decode a head record.

        Raises:
            ConfigurationError: The record is invalid.
        """
        head: Head = _decode(payload, cls)
        return head

    def encode(self) -> bytes:
        """Encode the record."""
        return msgspec.json.encode(self)

    def append(self, draft: Draft) -> Head:
        """Return the record with a draft appended as its latest change."""
        change = Change(
            self.revision + 1,
            draft.token,
            draft.kind,
            draft.name,
            draft.spec,
        )
        return Head(change.revision, self.snapshot, [*self.changes, change])

    def find(self, token: str) -> Change | None:
        """Return the change with a token, or None if it is not kept."""
        for change in self.changes:
            if change.token == token:
                return change
        return None

    @property
    def needs_compaction(self) -> bool:
        """Whether the record has more changes than the maximum."""
        return len(self.changes) > MAX_HEAD_CHANGES

    def compact(self) -> Head:
        """Return a shortened record based on a snapshot of its revision."""
        return Head(
            self.revision,
            self.revision,
            self.changes[-_COMPACTED_HEAD_CHANGES:],
        )


@dataclass(frozen=True, slots=True)
class Draft:
    """A change requested by an operator.

    Attributes:
        token: A unique token that identifies the change, also if the
            response to the write was lost.
        kind: The kind of the resource.
        name: The name of the resource.
        spec: The declared fields, or None to delete the resource.
        required_revision: The revision that the resource must have, 0 if
            it must not exist, None for no condition.
    """

    token: str
    kind: Kind
    name: str
    spec: dict[str, Any] | None
    required_revision: int | None


def _decode(payload: bytes, record_type: type[Any]) -> Any:
    decoded = decode_json(payload, record_type)
    if isinstance(decoded, Err):
        name = record_type.__name__
        reason = f'{name} record is invalid: {decoded.err_value}'
        raise ConfigurationError(reason)
    return decoded.ok_value


def decode_snapshot(payload: bytes) -> Snapshot:
    """Decode a snapshot.

    Raises:
        ConfigurationError: The snapshot is invalid.
    """
    snapshot: Snapshot = _decode(payload, Snapshot)
    return snapshot


def decode_change(payload: bytes) -> Change:
    """Decode a change.

    Raises:
        ConfigurationError: The change is invalid.
    """
    change: Change = _decode(payload, Change)
    return change
