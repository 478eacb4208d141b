"""The operators' configuration, built from an append-only change log."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec
from result import Err, Ok, Result

from bluebellsill.change_records import (
    Change,
    ConfigurationError,
    Draft,
    Snapshot,
    StoredResource,
    decode_change,
    decode_snapshot,
)
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.replica_version import ReplicaVersion, StorePosition
from bluebellsill.resources import (
    AvailabilityZone,
    Kind,
    Service,
    Shift,
    Spec,
    Target,
    parse_spec,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

__all__ = (
    'Configuration',
    'Resource',
)

MAX_KEPT_CHANGES = 512  # changes kept in memory for peers that lag behind

_SHIFT_NAME = 'current'


@dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource and the revision that last changed it."""

    revision: int
    spec: Spec

    def document(self) -> dict[str, Any]:
        """Return the declared fields as JSON-compatible types."""
        document: dict[str, Any] = msgspec.to_builtins(self.spec)
        return document


class Configuration:
    """The configuration in force at a node; its revision never decreases."""

    def __init__(self) -> None:
        """Create an empty configuration at revision 0."""
        self.revision = 0
        self.changes: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._resources_by_key: dict[tuple[Kind, str], Resource] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each revision increase."""
        self._listeners.append(listener)

    def apply_changes(self, changes: Iterable[Change]) -> bool:
        """Apply changes in order; skip those already applied or after a gap.

        Returns:
            Whether the revision has increased.
        """
        previous_revision = self.revision
        for change in changes:
            if change.revision == self.revision + 1:
                self._apply(change)
        return self._notify_listeners(previous_revision)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace all resources by a newer snapshot; ignore an older one."""
        previous_revision = self.revision
        if snapshot.revision <= previous_revision:
            return False
        # Parses the whole snapshot before the assignment, so that an invalid
        # one leaves the configuration unchanged.
        self._resources_by_key = {
            (stored.kind, stored.name): _parse_resource(
                stored.kind,
                stored.name,
                stored.revision,
                stored.spec,
            )
            for stored in snapshot.resources
        }
        self.changes.clear()
        self.revision = snapshot.revision
        return self._notify_listeners(previous_revision)

    def changes_after(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision; None if some were dropped."""
        if revision >= self.revision:
            return []
        if not self.changes or self.changes[0].revision > revision + 1:
            return None
        return [change for change in self.changes if change.revision > revision]

    def snapshot(self) -> Snapshot:
        """Return all resources at the revision in force."""
        stored = [
            StoredResource(resource.revision, kind, name, resource.document())
            for (kind, name), resource in self._resources_by_key.items()
        ]
        return Snapshot(self.revision, stored)

    @property
    def version(self) -> ReplicaVersion:
        """The revision in force, as nodes compare it."""
        return ReplicaVersion(StorePosition(0, self.revision))

    def lacks(self, version: ReplicaVersion) -> bool:
        """Return whether a node at a version has a newer revision."""
        return self.version.lacks(version)

    def export(self, after: ReplicaVersion) -> tuple[bytes, list[bytes]]:
        """Return the snapshot or changes that a node at a version lacks."""
        changes = self.changes_after(after.position.revision)
        if changes is None:
            return msgspec.json.encode(self.snapshot()), []
        return b'', [msgspec.json.encode(change) for change in changes]

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Apply the exported snapshot and changes of a peer.

        Raises:
            ConfigurationError: The snapshot or a change is invalid.
        """
        if snapshot:
            self.apply_snapshot(decode_snapshot(snapshot))
        self.apply_changes(decode_change(change) for change in changes)

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Return a resource, or None if it is not declared."""
        return self._resources_by_key.get((kind, name))

    def resources_of_kind(self, kind: Kind) -> dict[str, Resource]:
        """Return all resources of a kind by name."""
        return {
            name: resource
            for (key_kind, name), resource in self._resources_by_key.items()
            if key_kind is kind
        }

    def service(self, name: str) -> Service | None:
        """Return a service, or None if it is not declared."""
        spec = self._spec(Kind.SERVICE, name)
        return spec if isinstance(spec, Service) else None

    def is_zone_out(self, name: str) -> bool:
        """Return whether an availability zone is out of service."""
        spec = self._spec(Kind.AVAILABILITY_ZONE, name)
        return isinstance(spec, AvailabilityZone) and not spec.in_service

    def is_target_out(self, node_id: str) -> bool:
        """Return whether a target is out of service."""
        spec = self._spec(Kind.TARGET, node_id)
        return isinstance(spec, Target) and not spec.in_service

    @property
    def is_shift_running(self) -> bool:
        """Whether a shift is running, which blocks changes to services."""
        spec = self._spec(Kind.SHIFT, _SHIFT_NAME)
        return isinstance(spec, Shift) and spec.running

    def check(self, draft: Draft) -> Result[None, Problem]:
        """Check whether a draft is valid at the revision in force."""
        current = self.get(draft.kind, draft.name)
        actual = current.revision if current else 0
        if (
            draft.required_revision is not None
            and draft.required_revision != actual
        ):
            return Err(
                Problem(
                    ErrorKind.REVISION_CONFLICT,
                    f'{draft.kind.value}/{draft.name} is at revision {actual},'
                    f' not {draft.required_revision}',
                ),
            )
        if draft.spec is None and current is None:
            message = f'{draft.kind.value}/{draft.name} does not exist'
            return Err(Problem(ErrorKind.UNKNOWN_RESOURCE, message))
        if draft.kind is Kind.SERVICE and self.is_shift_running:
            message = 'services cannot be changed while a shift is running'
            return Err(Problem(ErrorKind.SHIFT_RUNNING, message))
        return Ok(None)

    def _spec(self, kind: Kind, name: str) -> Spec | None:
        resource = self._resources_by_key.get((kind, name))
        return resource.spec if resource else None

    def _apply(self, change: Change) -> None:
        key = (change.kind, change.name)
        if change.spec is None:
            self._resources_by_key.pop(key, None)
        else:
            self._resources_by_key[key] = _parse_resource(
                change.kind,
                change.name,
                change.revision,
                change.spec,
            )
        self.revision = change.revision
        self.changes.append(change)

    def _notify_listeners(self, previous_revision: int) -> bool:
        has_advanced = self.revision > previous_revision
        if has_advanced:
            for listener in self._listeners:
                listener()
        return has_advanced


def _parse_resource(
    kind: Kind,
    name: str,
    revision: int,
    document: dict[str, Any],
) -> Resource:
    parsed = parse_spec(kind, name, document)
    if isinstance(parsed, Err):
        problems = '; '.join(str(fault) for fault in parsed.err_value)
        raise ConfigurationError(f'revision {revision}: {problems}')
    return Resource(revision, parsed.ok_value)
