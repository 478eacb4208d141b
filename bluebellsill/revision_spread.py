"""Passes configuration revisions from node to node."""

from __future__ import annotations

from typing import Protocol

from bluebellsill.logs import get_logger
from bluebellsill.messages import RevisionRequest, Revisions
from bluebellsill.peers import LinkLost, PeerConnection, PeerLinks

__all__ = ('Replica', 'RevisionSpread')


class Replica(Protocol):
    """Something that all nodes have a copy of, and that only grows."""

    @property
    def revision(self) -> int:
        """The revision of this node's copy."""

    def export(self, after: int) -> tuple[bytes, list[bytes]]:
        """Return what a node at an older revision lacks.

        Returns:
            A snapshot, or empty, and the changes to apply to it.
        """

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Take in what a peer has exported.

        Raises:
            ValueError: The peer sent something else.
        """


_PATIENCE = 0.25  # seconds until another peer is asked beside the first


class RevisionSpread:
    """Fetches what is missing from a peer that is ahead.

    A peer may be told of over datagrams and yet be silent on its
    connection; so a fetch that takes long does not keep others from
    starting.
    """

    def __init__(self, replica: Replica, links: PeerLinks) -> None:
        """Bring ``replica`` up to date over ``links``."""
        self._replica = replica
        self._links = links
        self._fetch_id = 0
        self._asked_at: float | None = None
        self._log = get_logger('revisions')

    def on_heard(self, peer: str, revision: int) -> None:
        """Fetch from a peer that has a newer revision."""
        if revision <= self._replica.revision:
            return
        now = self._links.now()
        asked_at = self._asked_at
        if asked_at is not None and now - asked_at < _PATIENCE:
            return
        self._asked_at = now
        self._fetch_id = self._links.next_id()
        request = RevisionRequest(self._fetch_id, self._replica.revision)
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
        """Answer a peer that is behind."""
        snapshot, changes = self._replica.export(request.after)
        connection.send(Revisions(request.id, snapshot, changes))

    def _on_reply(
        self,
        peer: str,
        fetch_id: int,
        reply: Revisions | LinkLost,
    ) -> None:
        if fetch_id == self._fetch_id:
            self._asked_at = None
        if isinstance(reply, LinkLost):
            self._log.info('fetch failed', peer=peer, reason=reply.reason)
            return
        try:
            self._replica.merge(reply.snapshot, reply.changes, peer)
        except ValueError as error:
            self._log.error('revisions ignored', peer=peer, reason=str(error))
