"""A silent peer does not keep a node from the newest revision."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from bluebellsill.messages import RevisionRequest, Revisions
from bluebellsill.peers import LinkLost
from bluebellsill.revision_spread import RevisionSpread


class _Replica:
    def __init__(self) -> None:
        self.revision = 1

    def export(self, after: int) -> tuple[bytes, list[bytes]]:
        return str(self.revision).encode(), []

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        self.revision = max(self.revision, int(snapshot))


class _Links:
    """Notes whom a node asks."""

    def __init__(self) -> None:
        self.time = 0.0
        self.asked: list[tuple[str, Callable[[Any], None]]] = []

    def now(self) -> float:
        return self.time

    def next_id(self) -> int:
        return len(self.asked) + 1

    def request(
        self,
        peer: str,
        message: RevisionRequest,
        on_reply: Callable[[Any], None],
    ) -> None:
        self.asked.append((peer, on_reply))


def test_another_peer_is_asked_while_the_first_is_silent() -> None:
    links, replica = _Links(), _Replica()
    spread = RevisionSpread(replica, links)  # type: ignore[arg-type]
    spread.on_heard('silent', 5)
    links.time = 0.1
    spread.on_heard('other', 5)
    assert [peer for peer, _ in links.asked] == ['silent']
    links.time = 0.3
    spread.on_heard('other', 5)
    assert [peer for peer, _ in links.asked] == ['silent', 'other']
    links.asked[1][1](Revisions(2, b'5', []))
    assert replica.revision == 5
    links.asked[0][1](LinkLost('silent', is_sent=True))
    spread.on_heard('silent', 6)
    assert len(links.asked) == 3


def test_late_reply_never_takes_a_node_back() -> None:
    links, replica = _Links(), _Replica()
    spread = RevisionSpread(replica, links)  # type: ignore[arg-type]
    spread.on_heard('first', 4)
    links.time = 1
    spread.on_heard('second', 5)
    links.asked[1][1](Revisions(2, b'5', []))
    links.asked[0][1](Revisions(1, b'4', []))
    assert replica.revision == 5
