"""Nodes that release a version of a service, without a network or a store."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from msgspec.structs import replace
from result import Err, Ok

from bluebellsill.clock import ManualClock
from bluebellsill.gossip_messages import Member
from bluebellsill.membership import Members, MemberState
from bluebellsill.operator_feed import OrderWritten
from bluebellsill.order_set import NO_ORDERS, OrderSet
from bluebellsill.platform.rollout_keys import decode_order
from bluebellsill.replica_version import StorePosition
from bluebellsill.rollouts.acting import (
    HeldLease,
    RenewalFailure,
    StoredRelease,
)
from bluebellsill.rollouts.order import CanaryRecord, CanaryStage
from bluebellsill.rollouts.releases import CanaryReleases

SERVICE = 'shop'
_STEP = 0.02  # seconds
_TICK = 0.25  # seconds between steps of a node
_HOP = 0.005  # seconds between two nodes
_STORE_LATENCY = 0.004  # seconds
_TIMEOUT = 1.5  # seconds of a call of the store
_GOSSIP_TIME = 0.5  # seconds until all nodes know the state of the others

Behaviour = Callable[['Run'], tuple[bool, float]]


@dataclass(frozen=True)
class Run:
    """A request at a target.

    Attributes:
        route: The route.
        at: Seconds since the order.
        load: Requests that run at the target, this one included.
        luck: A random number from 0 to 1.
    """

    route: str
    at: float
    load: int
    luck: float


def good(run: Run) -> tuple[bool, float]:
    """Answer as the old version does: 1 in 200 fails, some take longer."""
    seconds = 0.05 if run.route == 'read' else 0.12
    return run.luck < 0.005, seconds * (0.7 + 0.6 * (run.luck * 97 % 1))


class Store:
    """The keys of one service, with their revisions, leases and epoch."""

    def __init__(self, world: World) -> None:
        self.epoch = 1
        self.revision = 10
        self.lease: tuple[int, int, float] | None = None  # id, revision, end
        self.record: tuple[CanaryRecord, int] | None = None
        self.status: list[CanaryStage] = []
        self.calls: Counter[str] = Counter()
        self._leases = count(1)
        self._world = world
        self._copy: tuple[Any, ...] = ()

    def copy(self) -> None:
        """Make a copy of the keys."""
        self._copy = (self.revision, self.lease, self.record)

    def restore(self) -> None:
        """Go back to the copy, in a new epoch."""
        self.epoch += 1
        self.revision, self.lease, self.record = self._copy

    def lease_revision(self) -> int:
        """Return the revision of the key with the lease."""
        if self.lease is not None and self._world.now() >= self.lease[2]:
            self.lease = None
        return self.lease[1] if self.lease else 0

    def acquire(self, lifetime: float) -> Any:
        """Write the key with a new lease."""
        if self.lease_revision():
            return Err('precondition failed')
        self.revision += 1
        lease = next(self._leases)
        self.lease = (lease, self.revision, self._world.now() + lifetime)
        return Ok(HeldLease(lease, StorePosition(self.epoch, self.revision)))

    def renew(self, lease: int) -> Any:
        """Renew a lease."""
        if not self.lease_revision() or self.lease is None:
            return Err(RenewalFailure('not found', is_ended=True))
        if self.lease[0] != lease:
            return Err(RenewalFailure('not found', is_ended=True))
        self.lease = (lease, self.lease[1], self._world.now() + 3)
        return Ok(None)

    def save(
        self, token: StorePosition, expected: int, record: CanaryRecord
    ) -> Any:
        """Write a record if the conditions hold."""
        known = self.record[1] if self.record else 0
        if self.lease_revision() != token.revision or known != expected:
            return Err('precondition failed')
        self.revision += 1
        self.record = (record, self.revision)
        if not self.status or self.status[-1] is not record.stage:
            self.status.append(record.stage)
        return Ok(self.revision)

    def read(self) -> Any:
        """Return all keys."""
        record, revision = self.record or (None, 0)
        return Ok(StoredRelease(self.lease_revision(), record, revision))


class StoreClient:
    """The store as one node reaches it.

    Attributes:
        is_away: Whether no call is executed.
        loses: Whether calls are executed without an answer.
        late: Seconds after which such a call is executed.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self.epoch = 1
        self.is_away = False
        self.loses = False
        self.late: float = 0

    def read(self, service: str, on_done: Any) -> None:
        self._call('read', self._world.store.read, on_done)

    def read_stale(self, service: str, on_done: Any) -> None:
        store = self._world.store
        read = lambda: Ok(store.record[0] if store.record else None)
        self._call('read_stale', read, on_done)

    def acquire(
        self, service: str, holder: str, lifetime: float, on_done: Any
    ) -> None:
        store = self._world.store
        self._call('acquire', lambda: store.acquire(lifetime), on_done)

    def renew(self, lease: int, on_done: Any) -> None:
        failure = RenewalFailure('timeout', is_ended=False)
        store = self._world.store
        self._call('renew', lambda: store.renew(lease), on_done, failure)

    def save(
        self,
        token: StorePosition,
        record_revision: int,
        record: CanaryRecord,
        on_done: Any,
    ) -> None:
        store = self._world.store
        call = lambda: store.save(token, record_revision, record)
        self._call('save', call, on_done)

    def _call(
        self, name: str, call: Any, on_done: Any, failure: Any = 'timeout'
    ) -> None:
        world = self._world
        world.store.calls[name] += 1
        if self.is_away or self.loses:
            world.after(_TIMEOUT, lambda: on_done(Err(failure)))
            if not self.is_away:
                world.after(self.late, call)
            return

        def execute() -> None:
            answer = call()
            self.epoch = max(self.epoch, world.store.epoch)
            world.after(_STORE_LATENCY / 2, lambda: on_done(answer))

        world.after(_STORE_LATENCY / 2, execute)


class Orders:
    """The operators' orders as one node has them."""

    def __init__(self) -> None:
        self.orders: OrderSet = NO_ORDERS
        self.position = StorePosition(1, 5)
        self._listeners: list[Callable[[], None]] = []

    def subscribe(self, listener: Callable[[], None]) -> None:
        self._listeners.append(listener)

    def is_zone_out(self, name: str) -> bool:
        return False

    def put(self, orders: OrderSet, position: StorePosition) -> None:
        """Put orders in force."""
        self.orders = orders
        self.position = position
        for listener in self._listeners:
            listener()


@dataclass
class Node:
    """One node, which is an entry node and has a target."""

    id: str
    members: Members
    orders: Orders
    client: StoreClient
    counts: Counter[str]
    releases: CanaryReleases
    is_alive: bool = True
    is_cut_off: bool = False


class Sender:
    """Delivers messages of one node to the others after a hop."""

    def __init__(self, world: World, node_id: str) -> None:
        self._world = world
        self._node_id = node_id

    def send(self, peer: str, message: Any) -> None:
        self._world.deliver(self._node_id, peer, message)


@dataclass
class Sent:
    """A request that a target of the new version has run."""

    at: float
    ends_at: float
    is_bad: bool


@dataclass
class World:
    """All nodes of one service, and the requests to it.

    Attributes:
        old: The number of targets with the old version.
        new: The number of targets with the new version.
        rate: Requests a second to the service.
        behave: How the new version answers.
        disturb: How many times longer than usual a target takes at a time,
            whatever its version.
    """

    old: int = 10
    new: int = 10
    rate: float = 200
    behave: Behaviour = good
    disturb: Callable[[str, float], float] = lambda target, at: 1
    seed: int = 1
    nodes: list[Node] = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    requests: int = 0
    refused: int = 0
    duration: float = 0

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self._clock = ManualClock(100)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._loads: Counter[str] = Counter()
        self._owed: float = 0
        self._ordered_at: float = 100
        self.store = Store(self)
        versions = ['v1'] * self.old + ['v2'] * self.new
        records = [
            Member(
                f'10.0.{one}.1:1',
                1,
                0,
                int(MemberState.READY),
                'abcd'[one % 4],
                SERVICE,
                6,
                target_version=version,
            )
            for one, version in enumerate(versions)
        ]
        for record in records:
            self.nodes.append(self._make(record, records))

    def now(self) -> float:
        return self._clock.now()

    @property
    def since(self) -> float:
        """Seconds since the order."""
        return self.now() - self._ordered_at

    def after(self, seconds: float, callback: Callable[[], None]) -> None:
        due = self.now() + seconds
        heappush(self._events, (due, next(self._numbers), callback))

    def order(self, duration: float, revision: int = 9, epoch: int = 1) -> None:
        """Write an order, which all nodes learn within half a second."""
        self.duration = duration
        self._ordered_at = self.now()
        self.put_order(revision, epoch, 'v2', duration)

    def put_order(
        self, revision: int, epoch: int, version: str, duration: float
    ) -> None:
        """Have all nodes learn of an order."""
        payload = (
            f'{{"service":"{SERVICE}","target_version":"{version}",'
            f'"duration_s":{duration}}}'
        ).encode()
        change = OrderWritten(revision, SERVICE, payload)
        orders = OrderSet().apply(change, epoch)
        position = StorePosition(epoch, revision)
        for node in self.nodes:
            put = lambda node=node: node.orders.put(orders, position)
            self.after(self.random.uniform(0, _GOSSIP_TIME), put)

    def deliver(self, sender: str, peer: str, message: Any) -> None:
        ends = [one for one in self.nodes if one.id in {sender, peer}]
        if any(one.is_cut_off or not one.is_alive for one in ends):
            return
        receiver = next(one for one in ends if one.id == peer)
        is_share = hasattr(message, 'share')
        handle = (
            receiver.releases.on_share
            if is_share
            else receiver.releases.on_report
        )
        self.after(_HOP, lambda: receiver.is_alive and handle(message))

    def play(self, seconds: float) -> None:
        """Let time pass."""
        ends_at = self.now() + seconds
        while self.now() < ends_at:
            self._clock.advance(_STEP)
            while self._events and self._events[0][0] <= self.now():
                heappop(self._events)[2]()
            self._owed += self.rate * _STEP
            while self._owed >= 1:
                self._owed -= 1
                self._request()

    def acting(self) -> list[Node]:
        """Return the nodes that take themselves for the acting one."""
        return [
            one for one in self.nodes if one.is_alive and one.releases.acting
        ]

    def kill(self, node: Node) -> None:
        """End a node; the others notice after some seconds."""
        node.is_alive = False
        gone = replace(node.members.own, state=int(MemberState.GONE), version=9)

        def notice() -> None:
            for one in self.nodes:
                if one is not node:
                    one.members.merge(gone, self.now())

        self.after(3, notice)

    def check_bounds(self, total: int | None = None) -> None:
        """Check the exposure and the time until the roll-back."""
        limit = self._ordered_at + self.duration
        exposed = sum(one.at <= limit for one in self.sent)
        assert exposed <= 0.1 * (total or self.requests) + 50
        bad = sorted(one.ends_at for one in self.sent if one.is_bad)
        if len(bad) >= 50:
            last = max(one.at for one in self.sent)
            assert last <= bad[49] + 5

    def _make(self, own: Member, records: list[Member]) -> Node:
        members = Members(own)
        for record in records:
            members.merge(record, self.now())
        orders = Orders()
        client = StoreClient(self)
        counts: Counter[str] = Counter()
        releases = CanaryReleases(
            members,
            Sender(self, own.id),
            orders,
            client,
            decode_order,
            self._clock,
            counts,
        )
        node = Node(own.id, members, orders, client, counts, releases)
        self.after(self.random.uniform(0, _TICK), lambda: self._tick(node))
        return node

    def _tick(self, node: Node) -> None:
        if node.is_alive:
            node.releases.tick()
            self.after(_TICK, lambda: self._tick(node))

    def _request(self) -> None:
        self.requests += 1
        entries = [one for one in self.nodes if one.is_alive]
        entry = self.random.choice(entries)
        ready = [
            one
            for one in entry.members.of_service(SERVICE)
            if one.state == MemberState.READY
        ]
        traffic = entry.releases.of_service(SERVICE)
        chosen: list[Member] = ready
        if traffic is not None:
            chosen, canaries = traffic.split(ready)
            if traffic.takes_canary(self.now(), has_canary=bool(canaries)):
                chosen = canaries
        if not chosen:
            self.refused += 1
            return
        target = self.random.choice(chosen)
        route = self.random.choice(['read', 'read', 'read', 'write'])
        self._loads[target.id] += 1
        run = Run(
            route, self.since, self._loads[target.id], self.random.random()
        )
        is_new = target.target_version == 'v2'
        has_failed, seconds = self.behave(run) if is_new else good(run)
        seconds *= self.disturb(target.id, self.since)
        if is_new and traffic is not None:
            is_bad = has_failed or seconds > 3 * good(run)[1]
            ends_at = self.now() + seconds
            self.sent.append(Sent(self.now(), ends_at, is_bad))

        def end() -> None:
            self._loads[target.id] -= 1
            if traffic is not None and entry.is_alive:
                traffic.on_outcome(
                    target.id, route, seconds, has_failed=has_failed
                )

        self.after(seconds, end)
