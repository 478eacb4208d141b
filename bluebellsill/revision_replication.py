"""Replicates configuration revisions between nodes."""

from __future__ import annotations

from typing import Protocol

from bluebellsill.logs import get_logger
from bluebellsill.messages import RevisionRequest, Revisions
from bluebellsill.peers import LinkLost, PeerConnection, PeerLinks
from bluebellsill.replica_version import ReplicaVersion, StorePosition
from bluebellsill.snapshot_compression import (
    SnapshotCompressor,
    decompress_snapshot,
)

__all__ = ('Replica', 'RevisionReplicator')


class Replica(Protocol):
    """Data that all nodes replicate and whose version never decreases."""

    @property
    def version(self) -> ReplicaVersion:
        """The version of this node's copy."""

    def lacks(self, version: ReplicaVersion) -> bool:
        """Whether a node at a version has anything that this one lacks."""

    def export(self, after: ReplicaVersion) -> tuple[bytes, list[bytes]]:
        """Return what a node at the version ``after`` lacks.

        Returns:
            A snapshot, or empty, and the changes to apply to it.
        """

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Apply what a peer has exported.

        Raises:
            ValueError: The data of the peer is invalid.
        """


_FETCH_TIMEOUT = 0.25  # seconds until another peer is asked as well
_MIN_COMPRESSED = 4096  # bytes; a shorter snapshot takes a few packets anyway


class RevisionReplicator:
    """Fetches what this node lacks from a peer that has it.

    A peer whose datagrams arrive may still not answer on its connection, so
    after a timeout another peer is asked while the first fetch continues.
    """

    def __init__(self, replica: Replica, links: PeerLinks) -> None:
        """Keep ``replica`` up to date over ``links``."""
        self._replica = replica
        self._links = links
        self._fetch_id = 0
        self._requested_at: float | None = None
        self._compressor = SnapshotCompressor()
        self._log = get_logger('revisions')

    def on_peer_version(self, peer: str, version: ReplicaVersion) -> None:
        """Fetch from a peer if it has anything newer."""
        if not self._replica.lacks(version):
            return
        now = self._links.now()
        requested_at = self._requested_at
        if requested_at is not None and now - requested_at < _FETCH_TIMEOUT:
            return
        self._requested_at = now
        self._fetch_id = self._links.next_id()
        own = self._replica.version
        request = RevisionRequest(
            self._fetch_id,
            own.position.revision,
            accepts_compressed=True,
            epoch=own.position.epoch,
            document_version=own.document,
        )
        self._links.request(
            peer,
            request,
            lambda reply: self._on_reply(peer, request.id, reply),
        )

    def on_request(
        self,
        connection: PeerConnection,
        request: RevisionRequest,
    ) -> None:
        """Send a peer what it lacks."""
        position = StorePosition(request.epoch, request.after)
        after = ReplicaVersion(position, request.document_version)
        snapshot, changes = self._replica.export(after)
        is_compressed = (
            request.accepts_compressed and len(snapshot) >= _MIN_COMPRESSED
        )
        if is_compressed:
            snapshot = self._compressor.compress(snapshot)
        connection.send(Revisions(request.id, snapshot, changes, is_compressed))

    def _on_reply(
        self,
        peer: str,
        fetch_id: int,
        reply: Revisions | LinkLost,
    ) -> None:
        if fetch_id == self._fetch_id:
            self._requested_at = None
        if isinstance(reply, LinkLost):
            self._log.info(
                'fetch of revisions failed', peer=peer, reason=reply.reason
            )
            return
        snapshot = reply.snapshot
        try:
            if reply.is_compressed:
                snapshot = decompress_snapshot(snapshot)
            self._replica.merge(snapshot, reply.changes, peer)
        except ValueError as error:
            self._log.error(
                'invalid revisions ignored', peer=peer, reason=str(error)
            )
