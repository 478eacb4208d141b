"""A simulation of key holders with crashes, partitions and delayed views."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from uuid import UUID

from bluebellsill.gossip_messages import Member
from bluebellsill.holder_history import (
    KEY_AGE_MARGIN,
    HolderHistory,
    holders_of,
    key_time,
)
from bluebellsill.idempotency import (
    ClaimState,
    KeyRecords,
    Outcome,
)
from bluebellsill.membership import MemberState

_START_TIME = 1_700_000_000.0  # seconds since 1970
_MAX_SKEW = 1.0  # seconds by which a caller's clock is off
DETECTION_DELAY = (2.0, 4.0)  # seconds until a failure is detected
_GOSSIP_DELAY = (0.0, 1.0)  # seconds until a join is known to a member


@dataclass
class Node:
    """A member with its key records and its view of the members."""

    id: str
    incarnation: int
    expected: int
    side: int = 0
    is_alive: bool = True
    history: HolderHistory = field(default_factory=lambda: HolderHistory(0))
    records: KeyRecords = field(default_factory=KeyRecords)
    view: dict[str, int] = field(default_factory=dict)

    def observe(self, now: float) -> None:
        """Record the current view in the history."""
        members = [
            Member(one, incarnation, 0, int(MemberState.READY), 'a', 's')
            for one, incarnation in self.view.items()
        ]
        self.history.observe(members, now, self.expected)


class KeyedCluster:
    """Simulates calls with keys and counts the runs of each key."""

    def __init__(self, size: int, seed: int) -> None:
        self.now = _START_TIME
        self.size = size
        self.random = Random(seed)
        self.nodes_by_id: dict[str, Node] = {}
        self.runs_by_key: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self._pending_changes: list[tuple[float, str, str, int, bool]] = []
        self._last_incarnation = 0
        self._attempts = 0
        for index in range(size):
            self._start_node(f'10.0.0.{index}:1')
        for node in self.nodes_by_id.values():
            node.view = {
                one.id: one.incarnation for one in self.nodes_by_id.values()
            }
            node.observe(self.now)
        self.advance(2 * KEY_AGE_MARGIN)

    def advance(self, seconds: float) -> None:
        """Advance the time and apply the view changes that are due."""
        end = self.now + seconds
        for change in sorted(self._pending_changes):
            due, viewer, subject, incarnation, is_lost = change
            if due > end:
                break
            self.now = max(self.now, due)
            self._pending_changes.remove(change)
            self._apply_change(viewer, subject, incarnation, is_lost=is_lost)
        self.now = end

    def crash(self, node_id: str) -> None:
        """Crash a node, which loses its records."""
        node = self.nodes_by_id[node_id]
        node.is_alive = False
        for viewer in self._others(node_id):
            self._schedule_change(viewer, node, is_lost=True)

    def restart(self, node_id: str) -> None:
        """Restart a crashed node with a new incarnation."""
        if self.nodes_by_id[node_id].is_alive:
            return
        node = self._start_node(node_id)
        node.view = {node.id: node.incarnation}
        for other in self._others(node_id):
            if other.is_alive and other.side == node.side:
                node.view[other.id] = other.incarnation
                delay = self.random.uniform(*_GOSSIP_DELAY)
                due = self.now + delay
                change = (due, other.id, node.id, node.incarnation, False)
                self._pending_changes.append(change)
        node.observe(self.now)

    def partition(self, node_ids: list[str]) -> None:
        """Separate some nodes from the others by a network partition."""
        for node in self.nodes_by_id.values():
            node.side = int(node.id in node_ids)
        for node in self.nodes_by_id.values():
            for viewer in self._others(node.id):
                if viewer.side != node.side:
                    self._schedule_change(viewer, node, is_lost=True)

    def heal(self) -> None:
        """End the partition; separated nodes take a new incarnation."""
        for node in self.nodes_by_id.values():
            if node.side and node.is_alive:
                self._last_incarnation += 1
                node.incarnation = self._last_incarnation
                node.view[node.id] = node.incarnation
            node.side = 0
        for node in self.nodes_by_id.values():
            for viewer in self._others(node.id):
                if node.is_alive:
                    due = self.now + self.random.uniform(*_GOSSIP_DELAY)
                    incarnation = node.incarnation
                    self._pending_changes.append(
                        (due, viewer.id, node.id, incarnation, False)
                    )

    def new_key(self, *, has_timestamp: bool) -> str:
        """Return a new key, either a version 7 UUID or an opaque one."""
        if not has_timestamp:
            return f'opaque-{self.random.getrandbits(40)}'
        skew = self.random.uniform(-_MAX_SKEW, _MAX_SKEW)
        milliseconds = int((self.now + skew) * 1000)
        low = self.random.getrandbits(62)
        return str(UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62 | low))

    def call(self, entry_id: str, key: str, *, loses_settle: bool) -> None:
        """Send a request with a key through an entry node.

        Args:
            entry_id: The entry node.
            key: The scoped key.
            loses_settle: Whether the holders do not learn the outcome.
        """
        entry = self.nodes_by_id[entry_id]
        if not entry.is_alive:
            return
        self._attempts += 1
        owner = f'attempt-{self._attempts}'
        holders = holders_of(key, entry.view)
        granted: list[Node] = []
        is_certain = False
        for holder_id, _ in holders:
            state = self._claim(entry, holder_id, key, owner, holders)
            if state not in {ClaimState.GRANTED, ClaimState.UNCERTAIN}:
                self.refused[state.name if state else 'LOST'] += 1
                break
            is_certain |= state is ClaimState.GRANTED
            granted.append(self.nodes_by_id[holder_id])
        runs = len(granted) == len(holders) and is_certain
        if runs:
            self.runs_by_key[key] += 1
        if loses_settle:
            return
        outcome = Outcome.ANSWERED if runs else Outcome.NOT_RUN
        for node in granted:
            answer = (200, [], b'') if runs else None
            node.records.settle(key, owner, outcome, answer)

    def _claim(
        self,
        entry: Node,
        holder_id: str,
        key: str,
        owner: str,
        holders: list[tuple[str, int]],
    ) -> ClaimState | None:
        node = self.nodes_by_id[holder_id]
        if not node.is_alive or node.side != entry.side:
            return None
        if node.history.holders(key) != holders:
            return ClaimState.NOT_HOLDER
        is_settled = node.history.is_settled(key, self.now)
        if not node.history.has_majority or not is_settled:
            return ClaimState.NOT_HOLDER
        grant = node.records.claim(
            key,
            owner,
            1,
            lifetime=5,
            now=self.now,
            certainty=node.history.certainty(key, key_time(key), self.now),
        )
        return grant.state

    def _start_node(self, node_id: str) -> Node:
        self._last_incarnation += 1
        node = Node(
            node_id,
            self._last_incarnation,
            self.size,
            history=HolderHistory(self.now),
        )
        self.nodes_by_id[node_id] = node
        return node

    def _others(self, node_id: str) -> list[Node]:
        return [one for one in self.nodes_by_id.values() if one.id != node_id]

    def _schedule_change(
        self, viewer: Node, node: Node, *, is_lost: bool
    ) -> None:
        due = self.now + self.random.uniform(*DETECTION_DELAY)
        incarnation = node.incarnation
        self._pending_changes.append(
            (due, viewer.id, node.id, incarnation, is_lost)
        )

    def _apply_change(
        self,
        viewer_id: str,
        subject: str,
        incarnation: int,
        *,
        is_lost: bool,
    ) -> None:
        viewer = self.nodes_by_id[viewer_id]
        known = viewer.view.get(subject, 0)
        if known > incarnation or (is_lost and known != incarnation):
            return
        if is_lost:
            node = self.nodes_by_id[subject]
            is_back = node.is_alive and node.incarnation == incarnation
            if is_back and node.side == viewer.side:
                return
            del viewer.view[subject]
            gone = Member(
                subject, incarnation, 0, int(MemberState.GONE), 'a', 's'
            )
            viewer.history.on_lost(gone, self.now)
        else:
            viewer.view[subject] = incarnation
        viewer.observe(self.now)
