"""The operators' configuration as a log of changes that only grows."""

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
    Stored,
    decode_change,
    decode_snapshot,
)
from bluebellsill.errors import ErrorKind, Problem
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

MAX_KEPT_CHANGES = 512  # changes in memory for peers that lag

_SHIFT_NAME = 'current'


@dataclass(frozen=True, slots=True)
class Resource:
    """A declared resource and the revision of its last change."""

    revision: int
    spec: Spec

    def document(self) -> dict[str, Any]:
        """Return the declared fields as JSON types."""
        document: dict[str, Any] = msgspec.to_builtins(self.spec)
        return document


class Configuration:
    """The configuration that a node has in force; it never goes back."""

    def __init__(self) -> None:
        """Create an empty configuration at revision 0."""
        self.revision = 0
        self.changes: deque[Change] = deque(maxlen=MAX_KEPT_CHANGES)
        self._resources_by_key: dict[tuple[Kind, str], Resource] = {}
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after every step forward."""
        self._listeners.append(listener)

    def apply_changes(self, changes: Iterable[Change]) -> bool:
        """Apply the changes that follow; ignore those already in force.

        Returns:
            Whether the configuration moved, and no change was missing.
        """
        before = self.revision
        for change in changes:
            if change.revision == self.revision + 1:
                self._apply(change)
        return self._announce(before)

    def apply_snapshot(self, snapshot: Snapshot) -> bool:
        """Replace everything by a newer snapshot; ignore an older one."""
        before = self.revision
        if snapshot.revision <= before:
            return False
        # Parsed as a whole first, so that a damaged one changes nothing.
        self._resources_by_key = {
            (stored.kind, stored.name): _parse(
                stored.kind,
                stored.name,
                stored.revision,
                stored.spec,
            )
            for stored in snapshot.resources
        }
        self.changes.clear()
        self.revision = snapshot.revision
        return self._announce(before)

    def changes_after(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision, or None if cut off."""
        if revision >= self.revision:
            return []
        if not self.changes or self.changes[0].revision > revision + 1:
            return None
        return [change for change in self.changes if change.revision > revision]

    def snapshot(self) -> Snapshot:
        """Return all resources at the revision in force."""
        stored = [
            Stored(resource.revision, kind, name, resource.document())
            for (kind, name), resource in self._resources_by_key.items()
        ]
        return Snapshot(self.revision, stored)

    def export(self, after: int) -> tuple[bytes, list[bytes]]:
        """Return what a node at an older revision lacks."""
        changes = self.changes_after(after)
        if changes is None:
            return msgspec.json.encode(self.snapshot()), []
        return b'', [msgspec.json.encode(change) for change in changes]

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Take in what a peer has exported.

        Raises:
            ConfigurationError: The peer sent something else.
        """
        if snapshot:
            self.apply_snapshot(decode_snapshot(snapshot))
        self.apply_changes(decode_change(change) for change in changes)

    def get(self, kind: Kind, name: str) -> Resource | None:
        """Return one resource."""
        return self._resources_by_key.get((kind, name))

    def of_kind(self, kind: Kind) -> dict[str, Resource]:
        """Return all resources of one kind, by name."""
        return {
            name: resource
            for (found, name), resource in self._resources_by_key.items()
            if found is kind
        }

    def service(self, name: str) -> Service | None:
        """Return a declared service."""
        spec = self._spec(Kind.SERVICE, name)
        return spec if isinstance(spec, Service) else None

    def is_zone_out(self, name: str) -> bool:
        """Return whether operators took an availability zone out."""
        spec = self._spec(Kind.AVAILABILITY_ZONE, name)
        return isinstance(spec, AvailabilityZone) and not spec.in_service

    def is_target_out(self, node_id: str) -> bool:
        """Return whether operators took a target out."""
        spec = self._spec(Kind.TARGET, node_id)
        return isinstance(spec, Target) and not spec.in_service

    @property
    def is_shift_running(self) -> bool:
        """Whether services must not be changed now."""
        spec = self._spec(Kind.SHIFT, _SHIFT_NAME)
        return isinstance(spec, Shift) and spec.running

    def check(self, draft: Draft) -> Result[None, Problem]:
        """Decide whether a draft may follow the revision in force."""
        current = self.get(draft.kind, draft.name)
        found = current.revision if current else 0
        if draft.expected is not None and draft.expected != found:
            return Err(
                Problem(
                    ErrorKind.REVISION_CONFLICT,
                    f'{draft.kind.value}/{draft.name} is at revision {found},'
                    f' not {draft.expected}',
                ),
            )
        if draft.spec is None and current is None:
            message = f'{draft.kind.value}/{draft.name} does not exist'
            return Err(Problem(ErrorKind.UNKNOWN_RESOURCE, message))
        if draft.kind is Kind.SERVICE and self.is_shift_running:
            message = 'services change only in the break between shifts'
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
            self._resources_by_key[key] = _parse(
                change.kind,
                change.name,
                change.revision,
                change.spec,
            )
        self.revision = change.revision
        self.changes.append(change)

    def _announce(self, before: int) -> bool:
        has_moved = self.revision > before
        if has_moved:
            for listener in self._listeners:
                listener()
        return has_moved


def _parse(
    kind: Kind,
    name: str,
    revision: int,
    document: dict[str, Any],
) -> Resource:
    parsed = parse_spec(kind, name, document)
    if isinstance(parsed, Err):
        faults = '; '.join(str(fault) for fault in parsed.err_value)
        raise ConfigurationError(f'revision {revision}: {faults}')
    return Resource(revision, parsed.ok_value)
