"""Tests that a node gets the newest revision despite a silent peer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bluebellsill.messages import RevisionRequest, Revisions
from bluebellsill.peers import LinkLost
from bluebellsill.revision_replication import RevisionReplicator


class _Replica:
    def __init__(self) -> None:
        self.revision = 1

    def export(self, after: int) -> tuple[bytes, list[bytes]]:
        return str(self.revision).encode(), []

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        self.revision = max(self.revision, int(snapshot))


class _Links:
    """Records the peers that a node sends requests to."""

    def __init__(self) -> None:
        self.time = 0.0
        self.requests: list[tuple[str, Callable[[Any], None]]] = []

    def now(self) -> float:
        return self.time

    def next_id(self) -> int:
        return len(self.requests) + 1

    def request(
        self,
        peer: str,
        message: RevisionRequest,
        on_reply: Callable[[Any], None],
    ) -> None:
        self.requests.append((peer, on_reply))


def test_second_peer_is_asked_while_first_is_silent() -> None:
    links, replica = _Links(), _Replica()
    replicator = RevisionReplicator(replica, links)  # type: ignore[arg-type]
    replicator.on_peer_revision('silent', 5)
    links.time = 0.1
    replicator.on_peer_revision('other', 5)
    assert [peer for peer, _ in links.requests] == ['silent']
    links.time = 0.3
    replicator.on_peer_revision('other', 5)
    assert [peer for peer, _ in links.requests] == ['silent', 'other']
    links.requests[1][1](Revisions(2, b'5', []))
    assert replica.revision == 5
    links.requests[0][1](LinkLost('silent', is_sent=True))
    replicator.on_peer_revision('silent', 6)
    assert len(links.requests) == 3


def test_late_reply_does_not_lower_revision() -> None:
    links, replica = _Links(), _Replica()
    replicator = RevisionReplicator(replica, links)  # type: ignore[arg-type]
    replicator.on_peer_revision('first', 4)
    links.time = 1
    replicator.on_peer_revision('second', 5)
    links.requests[1][1](Revisions(2, b'5', []))
    links.requests[0][1](Revisions(1, b'4', []))
    assert replica.revision == 5
