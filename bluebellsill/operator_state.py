"""The operators' declarations that are in force at a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from result import Err

from bluebellsill.logs import get_logger
from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedChange,
    FeedSnapshot,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from result import Result

    from bluebellsill.resources import Service
    from bluebellsill.routing_plan import RoutingPlan

__all__ = ('OperatorState',)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(FeedSnapshot)


class OperatorState:
    """The routing plan and the zones out of service, by store revision.

    The revision never decreases. Nodes replicate the routing document in
    its encoded form, and each node decodes it. A document that cannot be
    decoded or has an older version leaves the plan in force unchanged.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Result[RoutingPlan, str]],
    ) -> None:
        """Create an empty state at revision 0.

        Args:
            decode: Decodes a routing document.
        """
        self.plan: RoutingPlan | None = None
        self._decode = decode
        self._snapshot = FeedSnapshot(0, b'', ())
        self._listeners: list[Callable[[], None]] = []
        self._log = get_logger('operators')

    @property
    def revision(self) -> int:
        """The store revision in force, 0 before the first snapshot."""
        return self._snapshot.revision

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each change."""
        self._listeners.append(listener)

    def apply_snapshot(self, snapshot: FeedSnapshot, source: str) -> None:
        """Replace the state by a snapshot if its revision is newer.

        Args:
            snapshot: The declarations of the operators.
            source: The origin of the snapshot, for the log.
        """
        if snapshot.revision > self.revision:
            self._replace(snapshot, source)
        else:
            self._log.info(
                'snapshot ignored',
                revision=snapshot.revision,
                in_force=self.revision,
                source=source,
            )

    def apply_changes(self, changes: Iterable[FeedChange], source: str) -> None:
        """Apply the changes that are newer than the revision in force.

        Args:
            changes: All changes after a revision that is in force or older,
                ordered by revision.
            source: The origin of the changes, for the log.
        """
        snapshot = self._snapshot
        zones = set(snapshot.zones_out)
        document = snapshot.document
        revision = snapshot.revision
        for change in changes:
            if change.revision <= revision:
                self._log.info(
                    'change ignored',
                    revision=change.revision,
                    in_force=revision,
                    source=source,
                )
                continue
            revision = change.revision
            if isinstance(change, DocumentWritten):
                document = change.document
            elif change.is_out:
                zones.add(change.zone)
            else:
                zones.discard(change.zone)
        if revision > snapshot.revision:
            zones_out = tuple(sorted(zones))
            self._replace(FeedSnapshot(revision, document, zones_out), source)

    def export(self, after: int) -> tuple[bytes, list[bytes]]:
        """Return the snapshot for a node whose revision is older."""
        if after >= self.revision:
            return b'', []
        return _encoder.encode(self._snapshot), []

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Apply the exported snapshot of a peer.

        Raises:
            ValueError: The snapshot cannot be decoded.
        """
        if not snapshot:
            return
        try:
            decoded = _decoder.decode(snapshot)
        except msgspec.DecodeError as error:
            raise ValueError(
                f'{peer} sent an invalid snapshot: {error}'
            ) from error
        self.apply_snapshot(decoded, peer)

    def is_zone_out(self, name: str) -> bool:
        """Return whether an availability zone is out of service."""
        return name in self._snapshot.zones_out

    def is_target_out(self, node_id: str) -> bool:
        """Return False, as only whole zones can be taken out of service."""
        return False

    def service(self, name: str) -> Service | None:
        """Return a service of the plan, or None if it is not declared."""
        return self.plan.services_by_name.get(name) if self.plan else None

    def _replace(self, snapshot: FeedSnapshot, source: str) -> None:
        previous = self._snapshot
        self._snapshot = snapshot
        if snapshot.document and snapshot.document != previous.document:
            self._update_plan(snapshot.document)
        self._log.info(
            'revision in force',
            revision=snapshot.revision,
            before=previous.revision,
            version=self.plan.version if self.plan else None,
            zones_out=list(snapshot.zones_out),
            document_bytes=len(snapshot.document),
            source=source,
        )
        for listener in self._listeners:
            listener()

    def _update_plan(self, document: bytes) -> None:
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._log.error('document ignored', reason=decoded.err_value)
            return
        plan = decoded.ok_value
        if self.plan is not None and plan.version < self.plan.version:
            self._log.error(
                'document ignored',
                reason=f'version {plan.version} is older than the one in force',
                version=self.plan.version,
            )
            return
        self.plan = plan
