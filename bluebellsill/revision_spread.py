"""Passes configuration revisions from node to node."""

from __future__ import annotations

from msgspec import json

from bluebellsill.configuration import (
    Configuration,
    ConfigurationError,
    decode_change,
    decode_snapshot,
)
from bluebellsill.logs import get_logger
from bluebellsill.messages import RevisionRequest, Revisions
from bluebellsill.peers import LinkLost, PeerConnection, PeerLinks

__all__ = ('RevisionSpread',)


class RevisionSpread:
    """Fetches what is missing from a peer that is ahead."""

    def __init__(self, configuration: Configuration, links: PeerLinks) -> None:
        """Bring ``configuration`` up to date over ``links``."""
        self._configuration = configuration
        self._links = links
        self._is_fetching = False
        self._log = get_logger('revisions')

    def on_heard(self, peer: str, revision: int) -> None:
        """Fetch from a peer that has a newer revision."""
        if self._is_fetching or revision <= self._configuration.revision:
            return
        self._is_fetching = True
        request = RevisionRequest(
            self._links.next_id(),
            self._configuration.revision,
        )
        self._links.request(peer, request, self._on_reply)

    def on_request(
        self,
        connection: PeerConnection,
        request: RevisionRequest,
    ) -> None:
        """Answer a peer that is behind."""
        changes = self._configuration.changes_after(request.after)
        if changes is None:
            snapshot = json.encode(self._configuration.snapshot())
            connection.send(Revisions(request.id, snapshot, []))
            return
        encoded = [json.encode(change) for change in changes]
        connection.send(Revisions(request.id, b'', encoded))

    def _on_reply(self, reply: Revisions | LinkLost) -> None:
        self._is_fetching = False
        if isinstance(reply, LinkLost):
            return
        try:
            if reply.snapshot:
                snapshot = decode_snapshot(reply.snapshot)
                self._configuration.apply_snapshot(snapshot)
            changes = [decode_change(change) for change in reply.changes]
            self._configuration.apply_changes(changes)
        except ConfigurationError as error:
            self._log.error('revisions ignored', reason=str(error))
