"""Nodes that follow a played store, which fails for each of them apart."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from msgspec.structs import replace
from result import Err, Ok

from bluebellsill.clock import ManualClock
from bluebellsill.confirmations import Confirmations
from bluebellsill.feed_reader import FeedReader
from bluebellsill.gossip_messages import Confirmation, Member, version_of
from bluebellsill.membership import Members, MemberState
from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedChange,
    FeedFailure,
    FeedSnapshot,
    FeedUpdate,
    ZoneWritten,
)
from bluebellsill.operator_state import OperatorState
from bluebellsill.reading_order import ReadingOrder
from bluebellsill.replica_version import StorePosition
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan
from bluebellsill.timers import TimerService
from bluebellsill.view_age import ViewAge

_STEP = 0.01  # seconds
_STORE_LATENCY = 0.004  # seconds
_HOP = 0.002  # seconds between two nodes
_GOSSIP_TIME = 0.2  # seconds until all nodes have a changed record
_DETECTION_TIME = 3.5  # seconds until a frozen node is gone for the others
_FANOUT = 3  # nodes to which a new version is pushed
_TIMEOUT = 1.5  # seconds of a call that does not wait
_MARGIN = 0.5  # seconds beyond the wait of a watch
_SLOW = 3.0  # seconds that the answers of a slow store take
_PING_PRICE = 0.1  # of a call; a renewal of a lease costs a tenth


@dataclass(slots=True)
class _Watch:
    """A watch that waits at the store, and its client's handle."""

    node: Node
    position: StorePosition
    answer: Callable[[Any], None]
    is_receiving: bool = False
    is_over: bool = False

    def cancel(self) -> None:
        """Give the watch up."""
        self.is_over = True


class Store:
    """The declarations of the operators, and what nodes pay to read them."""

    def __init__(self, world: World) -> None:
        self.revision = 1
        self.price: float = 0
        self.calls = 0
        self.changes: list[FeedChange] = [DocumentWritten(1, b'1')]
        self.watches: list[_Watch] = []
        self._world = world

    def write_document(self, version: int) -> None:
        """Write a routing document, which answers the waiting watches."""
        self.revision += 1
        document = str(version).encode()
        self._add(DocumentWritten(self.revision, document))

    def take_out(self, zone: str) -> None:
        """Order that a zone gets nothing."""
        self.revision += 1
        self._add(ZoneWritten(self.revision, zone, is_out=True))

    def pay(self, price: float = 1) -> None:
        """Count a call."""
        self.price += price
        self.calls += 1

    def update(self, position: StorePosition) -> FeedUpdate:
        """Return the changes after a position."""
        changes = [
            one for one in self.changes if one.revision > position.revision
        ]
        return FeedUpdate(tuple(changes), StorePosition(1, self.revision))

    def snapshot(self) -> FeedSnapshot:
        """Return all declarations."""
        documents = [
            one.document
            for one in self.changes
            if isinstance(one, DocumentWritten)
        ]
        zones = frozenset(
            one.zone for one in self.changes if isinstance(one, ZoneWritten)
        )
        position = StorePosition(1, self.revision)
        return FeedSnapshot(position, documents[-1], zones)

    def _add(self, change: FeedChange) -> None:
        self.changes.append(change)
        waiting, self.watches = self.watches, []
        for watch in waiting:
            watch.answer(self.update(watch.position))


class _Feed:
    """The store as one node reaches it, with the time-outs of its client."""

    def __init__(self, world: World, node: Node) -> None:
        self._world = world
        self._node = node

    def read(self, on_done: Callable[[Any], None]) -> None:
        self._world.store.pay()
        self._call(self._world.store.snapshot, _TIMEOUT, on_done)

    def ping(self, on_done: Callable[[Any], None]) -> None:
        self._world.store.pay(_PING_PRICE)
        self._call(lambda: 1, _MARGIN, on_done)

    def watch(
        self,
        position: StorePosition,
        wait: float,
        on_done: Callable[[Any], None],
    ) -> _Watch:
        store = self._world.store
        store.pay()
        watch = _Watch(self._node, position, lambda _: None)

        def finish(outcome: Any) -> None:
            if not watch.is_over:
                watch.is_over = True
                on_done(outcome)

        watch.answer = lambda update: self._deliver(Ok(update), finish)
        timeout = wait + _MARGIN if wait else _TIMEOUT
        self._node.after(timeout, lambda: finish(Err(FeedFailure('timeout'))))

        def arrive() -> None:
            update = store.update(position)
            if update.changes or not wait:
                watch.answer(update)
                return
            store.watches.append(watch)
            self._world.after(wait, lambda: end(watch))

        def end(ended: _Watch) -> None:
            if ended in store.watches:
                store.watches.remove(ended)
                ended.answer(store.update(position))

        self._send(arrive, finish)
        return watch

    def _call(
        self,
        serve: Callable[[], Any],
        timeout: float,
        on_done: Callable[[Any], None],
    ) -> None:
        state = {'is_over': False}

        def finish(outcome: Any) -> None:
            if not state['is_over']:
                state['is_over'] = True
                on_done(outcome)

        self._node.after(timeout, lambda: finish(Err(FeedFailure('timeout'))))
        self._send(lambda: self._deliver(Ok(serve()), finish), finish)

    def _send(
        self, arrive: Callable[[], None], finish: Callable[[Any], None]
    ) -> None:
        fault = self._node.store_fault
        if fault == 'refused':
            refusal = Err(FeedFailure('store answered 503'))
            self._node.receive_after(_STORE_LATENCY, lambda: finish(refusal))
        elif fault != 'cut':
            delay = _SLOW if fault == 'slow' else _STORE_LATENCY
            self._world.after(delay / 2, arrive)

    def _deliver(self, outcome: Any, finish: Callable[[Any], None]) -> None:
        fault = self._node.store_fault
        if fault in {'cut', 'lost'}:
            return
        if fault == 'refused':
            outcome = Err(FeedFailure('connection reset'))
        delay = _SLOW if fault == 'slow' else _STORE_LATENCY
        self._node.receive_after(delay / 2, lambda: finish(outcome))


class Node:
    """The parts of a node that follow the store."""

    def __init__(self, world: World, own: Member) -> None:
        self.id = own.id
        self.zone = own.zone
        self.store_fault = ''  # 'cut', 'refused', 'slow' or 'lost' (answers)
        self.is_frozen = False
        self.has_peers = True
        self.version_at: dict[int, float] = {}
        self.zone_out_at: dict[str, float] = {}
        self._world = world
        self._held: list[Callable[[], None]] = []
        self._polled_since: float = 0
        self.clock = world.clock
        self.timers = TimerService(self.clock)
        self.members = Members(own)
        self.state = OperatorState(
            lambda payload: Ok(RoutingPlan(int(payload), RouteTable([]))),
        )
        self.state.subscribe(self._on_applied)
        self.view = ViewAge(self.clock)
        self.order = ReadingOrder(self.members, world.random)
        self._confirmations = Confirmations(
            self,
            self.members,
            self.order,
            self.state,
            self.clock,
            self.view,
        )
        self.reader = FeedReader(
            _Feed(world, self),
            self.state,
            self.members,
            self.order,
            self._confirmations,
            self.view,
            self.timers,
            world.random,
        )
        self.members.subscribe(self._on_member)

    def step(self) -> None:
        """Run what is due, or hold it while the process is frozen."""
        if self.is_frozen:
            return
        self.timers.run_due()
        held, self._held = self._held, []
        for callback in held:
            callback()
        self._polled_since = self.clock.now()

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback on the node's own timers."""
        self.timers.after(seconds, callback)

    def receive_after(
        self, seconds: float, callback: Callable[[], None]
    ) -> None:
        """Run a callback with data from the network, once the node runs."""
        self._world.after(seconds, lambda: self._held.append(callback))

    def send(self, address: str, message: Any) -> None:
        """Send a datagram to another node."""
        peer = self._world.by_id[address]
        if self.has_peers and peer.has_peers and not self._world.loses():
            peer.receive_after(_HOP, lambda: peer.on_datagram(self, message))

    def on_datagram(self, peer: Node, message: Any) -> None:
        """Handle a confirmation, or a version that a peer has in force."""
        version = message
        if isinstance(message, Confirmation):
            version = version_of(message)
            self._confirmations.on_message(message, self._polled_since)
        if self.state.lacks(version):
            self.receive_after(2 * _HOP, lambda: self._fetch(peer))

    def merge(self, record: Member) -> None:
        """Merge a record that another node has sent."""
        self.members.merge(record, self.clock.now())

    def _fetch(self, peer: Node) -> None:
        snapshot, changes = peer.state.export(self.state.version)
        self.state.merge(snapshot, changes, peer.id)

    def _on_applied(self) -> None:
        now = self.clock.now()
        version = self.state.version
        self.version_at.setdefault(version.document, now)
        for zone in 'abcdefgh':
            if self.state.is_zone_out(zone):
                self.zone_out_at.setdefault(zone, now)
        others = [one for one in self._world.nodes if one is not self]
        for peer in self._world.random.sample(
            others, min(_FANOUT, len(others))
        ):
            self.send(peer.id, version)

    def _on_member(self, known: Member | None, record: Member) -> None:
        if record.id == self.id:
            self._world.spread(record)


@dataclass
class World:
    """Nodes in zones, their store and their network."""

    nodes_per_zone: tuple[int, ...]
    seed: int
    loss: float = 0  # the share of the datagrams
    clock: ManualClock = field(default_factory=ManualClock)
    nodes: list[Node] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.by_id: dict[str, Node] = {}
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = count()
        self.store = Store(self)
        records = [
            Member(f'10.{zone}.0.{index}:1', 1, 0, 1, 'abcdefgh'[zone], 's')
            for zone, size in enumerate(self.nodes_per_zone)
            for index in range(size)
        ]
        self.nodes = [Node(self, record) for record in records]
        self.by_id = {one.id: one for one in self.nodes}
        for node in self.nodes:
            for record in records:
                node.merge(record)
            node.reader.start()

    def play(self, seconds: float) -> None:
        """Advance the clock in steps."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            while self._queue and self._queue[0][0] <= self.clock.now():
                heappop(self._queue)[2]()
            for node in self.nodes:
                node.step()

    def settle(self) -> None:
        """Play until all nodes follow the store, and on to a random moment."""
        self.play(8 + self.random.uniform(0, 3))

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run a callback of the store or the network."""
        due = self.clock.now() + seconds
        heappush(self._queue, (due, next(self._sequence), callback))

    def loses(self) -> bool:
        """Return whether the next datagram is lost."""
        return self.random.random() < self.loss

    def spread(self, record: Member) -> None:
        """Bring a changed record to the other nodes, as gossip does."""
        for node in self.nodes:
            node.receive_after(
                _GOSSIP_TIME * self.random.random(),
                lambda node=node: node.merge(record),  # type: ignore[misc]
            )

    def readers(self) -> list[Node]:
        """Return the nodes that have a watch at the store."""
        watching = {
            watch.node.id for watch in self.store.watches if not watch.is_over
        }
        return [one for one in self.nodes if one.id in watching]

    def freeze(self, node: Node) -> None:
        """Stop a process, which the others notice after some seconds."""
        node.is_frozen = True

        def detect() -> None:
            if node.is_frozen:
                gone = int(MemberState.GONE)
                self.spread(replace(node.members.own, state=gone))

        self.after(_DETECTION_TIME, detect)

    def late(self, nodes: list[Node], version: int, bound: float) -> list[str]:
        """Return the nodes that put a version in force too late."""
        now = self.clock.now()
        return [
            f'{node.id} after {node.version_at.get(version, now):.2f}'
            for node in nodes
            if node.version_at.get(version, now + 1) > bound
        ]
