"""What operators declared, as it is in force at a node; never goes back."""

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
    """The routing plan and the zones that are out, by the store's revisions.

    Nodes pass snapshots on to each other as they were written, so each one
    decodes for itself. A document that cannot be decoded, or is of an older
    version, leaves the plan in force as it is.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Result[RoutingPlan, str]],
    ) -> None:
        """Create a state that knows nothing.

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
        """The store's revision that is in force, 0 before the first."""
        return self._snapshot.revision

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after every change."""
        self._listeners.append(listener)

    def take_snapshot(self, snapshot: FeedSnapshot, source: str) -> None:
        """Take in a snapshot, unless a newer one is in force.

        Args:
            snapshot: What operators declared.
            source: Who told it, for the logs.
        """
        if snapshot.revision > self.revision:
            self._put(snapshot, source)

    def take_changes(self, changes: Iterable[FeedChange], source: str) -> None:
        """Take in changes in the order of their revisions.

        Args:
            changes: Those after a revision that is in force or older.
            source: Who told them, for the logs.
        """
        snapshot = self._snapshot
        zones = set(snapshot.zones_out)
        document = snapshot.document
        revision = snapshot.revision
        for change in changes:
            if change.revision <= revision:
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
            self._put(FeedSnapshot(revision, document, zones_out), source)

    def export(self, after: int) -> tuple[bytes, list[bytes]]:
        """Return what a node at an older revision lacks."""
        if after >= self.revision:
            return b'', []
        return _encoder.encode(self._snapshot), []

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Take in what a peer has exported.

        Raises:
            ValueError: The peer sent something else.
        """
        if not snapshot:
            return
        try:
            decoded = _decoder.decode(snapshot)
        except msgspec.DecodeError as error:
            raise ValueError(f'{peer} sent no snapshot: {error}') from error
        self.take_snapshot(decoded, peer)

    def is_zone_out(self, name: str) -> bool:
        """Return whether operators took an availability zone out."""
        return name in self._snapshot.zones_out

    def is_target_out(self, node_id: str) -> bool:
        """Return False: operators take out whole zones only."""
        return False

    def service(self, name: str) -> Service | None:
        """Return what the plan says of a service."""
        return self.plan.services_by_name.get(name) if self.plan else None

    def _put(self, snapshot: FeedSnapshot, source: str) -> None:
        before = self._snapshot
        self._snapshot = snapshot
        if snapshot.document and snapshot.document != before.document:
            self._replace_plan(snapshot.document)
        self._log.info(
            'revision in force',
            revision=snapshot.revision,
            before=before.revision,
            version=self.plan.version if self.plan else None,
            zones_out=list(snapshot.zones_out),
            source=source,
        )
        for listener in self._listeners:
            listener()

    def _replace_plan(self, document: bytes) -> None:
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._log.error('document ignored', reason=decoded.err_value)
            return
        plan = decoded.ok_value
        if self.plan is not None and plan.version < self.plan.version:
            self._log.error(
                'document ignored',
                reason=f'version {plan.version} is older',
                version=self.plan.version,
            )
            return
        self.plan = plan
