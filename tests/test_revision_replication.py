"""Tests of how nodes get the newest revision from each other."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from bluebellsill.messages import RevisionRequest, Revisions, decode, encode
from bluebellsill.peers import LinkLost
from bluebellsill.replica_version import ReplicaVersion, StorePosition
from bluebellsill.revision_replication import RevisionReplicator


def _version(revision: int) -> ReplicaVersion:
    return ReplicaVersion(StorePosition(0, revision))


class _Replica:
    def __init__(self) -> None:
        self.revision = 1

    @property
    def version(self) -> ReplicaVersion:
        return _version(self.revision)

    def lacks(self, version: ReplicaVersion) -> bool:
        return self.version.lacks(version)

    def export(self, after: ReplicaVersion) -> tuple[bytes, list[bytes]]:
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
    replicator.on_peer_version('silent', _version(5))
    links.time = 0.1
    replicator.on_peer_version('other', _version(5))
    assert [peer for peer, _ in links.requests] == ['silent']
    links.time = 0.3
    replicator.on_peer_version('other', _version(5))
    assert [peer for peer, _ in links.requests] == ['silent', 'other']
    links.requests[1][1](Revisions(2, b'5', []))
    assert replica.revision == 5
    links.requests[0][1](LinkLost('silent', is_sent=True))
    replicator.on_peer_version('silent', _version(6))
    assert len(links.requests) == 3


def test_late_reply_does_not_lower_revision() -> None:
    links, replica = _Links(), _Replica()
    replicator = RevisionReplicator(replica, links)  # type: ignore[arg-type]
    replicator.on_peer_version('first', _version(4))
    links.time = 1
    replicator.on_peer_version('second', _version(5))
    links.requests[1][1](Revisions(2, b'5', []))
    links.requests[0][1](Revisions(1, b'4', []))
    assert replica.revision == 5


_LARGE = b'{"prefix":"/route/"},' * 1200
_SLOWEST_LINK = 625000  # bytes a second


class _LargeReplica(_Replica):
    def __init__(self) -> None:
        super().__init__()
        self.merged: list[bytes] = []

    def export(self, after: ReplicaVersion) -> tuple[bytes, list[bytes]]:
        return _LARGE, []

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        self.merged.append(snapshot)


class _Connection:
    """Records what a node answers, as bytes on the wire."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []

    def send(self, message: Revisions) -> None:
        self.sent.append(encode(message))


def test_document_of_a_thousand_routes_crosses_a_slow_link_at_once() -> None:
    """It reached the last of 68 nodes after 2.4 s, of 2.5 s allowed."""
    links, replica, connection = _Links(), _LargeReplica(), _Connection()
    sender = RevisionReplicator(replica, links)  # type: ignore[arg-type]
    receiver = RevisionReplicator(replica, links)  # type: ignore[arg-type]
    receiver.on_peer_version('peer', _version(5))
    request = RevisionRequest(1, 1, accepts_compressed=True)
    sender.on_request(connection, request)  # type: ignore[arg-type]
    # Of 2.5 s, with about six nodes one after the other.
    assert len(connection.sent[0]) / _SLOWEST_LINK < 0.02
    links.requests[0][1](decode(connection.sent[0]))
    assert replica.merged == [_LARGE]


def test_node_of_an_earlier_version_gets_the_snapshot_as_it_is() -> None:
    replica, connection = _LargeReplica(), _Connection()
    sender = RevisionReplicator(replica, _Links())  # type: ignore[arg-type]
    sender.on_request(connection, RevisionRequest(1, 1))  # type: ignore[arg-type]
    reply = decode(connection.sent[0])
    assert isinstance(reply, Revisions)
    assert reply.snapshot == _LARGE


@pytest.mark.parametrize('snapshot', [b'', b'garbage', b'x\x9c'])
def test_malformed_compressed_snapshot_is_ignored(snapshot: bytes) -> None:
    links, replica = _Links(), _LargeReplica()
    receiver = RevisionReplicator(replica, links)  # type: ignore[arg-type]
    receiver.on_peer_version('peer', _version(5))
    links.requests[0][1](Revisions(1, snapshot, [], is_compressed=True))
    assert replica.merged == []
