"""Entry nodes and grantors of many fake peers, with demand and faults.

The membership is that of the real failure detector on the simulated network
of ``tests.cluster``; token requests take a delay of their own. A node's links
to killed peers are refused at once, those across a partition become silent.
"""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate, count
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from bluebellsill.allowances.assembly import observe
from bluebellsill.allowances.grantor import Grantor
from bluebellsill.allowances.grantor_service import GrantorService
from bluebellsill.allowances.step import AllowanceStep
from bluebellsill.clock import ManualClock
from bluebellsill.filters import InboundRequest
from bluebellsill.http import Request
from bluebellsill.membership import MemberState
from bluebellsill.metrics import Metrics
from bluebellsill.peers import LinkLost
from bluebellsill.resources import EXTERNAL_CALLER
from bluebellsill.teams import Allowance, Team
from bluebellsill.timers import TimerService
from tests.cluster import Cluster

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from bluebellsill.errors import Problem
    from bluebellsill.messages import TokenRequest

WINDOW = 5.0  # seconds
_EXCESS, _SLACK = 0.1, 20
_MIN_DELAY, _MAX_DELAY = 0.0004, 0.004  # seconds of a message one way
_SILENT_AFTER = 0.7  # seconds until a link without an answer is lost
_GOSSIP_STEP = 0.025  # seconds


def bound(allowance: Allowance) -> float:
    """Return how many requests may run in any window."""
    full = allowance.rate * WINDOW + allowance.burst
    return full * (1 + _EXCESS) + _SLACK


class FakePeer:
    """One node: its entry step, and its grantor for some teams."""

    def __init__(self, world: AllowanceWorld, node_id: str) -> None:
        self.node_id = node_id
        self.is_dead = False
        self.random = Random(world.random.random())
        self.metrics = Metrics()
        self.swim = world.cluster.swims_by_id[node_id]
        self.population, self.grantors = observe(self.swim.members, world.clock)
        self.grantor = Grantor(node_id, self.grantors, self.population)
        self.service = GrantorService(
            self.grantor, self.population, world.clock, self.metrics
        )
        links: Any = _FakeLinks(world, self)
        self.step = AllowanceStep(
            node_id,
            self.grantors,
            self.service,
            self.population,
            links,
            lambda: world.document_version,
            self.random,
            self.metrics,
        )


class _FakeLinks:
    """The links of one node; answers come after two delays."""

    def __init__(self, world: AllowanceWorld, own: FakePeer) -> None:
        self.reactor = SimpleNamespace(timers=world.timers)
        self._world = world
        self._own = own
        self._ids = count(1)

    def next_id(self) -> int:
        """Return a new request id."""
        return next(self._ids)

    def request(
        self,
        peer: str,
        message: TokenRequest,
        on_reply: Callable[[Any], None],
    ) -> None:
        """Send a token request to a peer, which may be unreachable."""
        world = self._world
        world.token_requests += 1
        own = self._own

        def reply(answer: Any) -> None:
            if not own.is_dead:
                on_reply(answer)

        def lose() -> None:
            now = world.cluster.now
            if not own.is_dead:
                world.cluster.post(own.node_id, own.swim.verify(peer, now))
            reply(LinkLost('no answer', is_sent=True))

        def arrive() -> None:
            remote = world.peers_by_id[peer]
            if remote.is_dead:
                lose()
            elif world.is_cut(own.node_id, peer) or world.loses():
                world.timers.after(_SILENT_AFTER, lose)
            else:
                answer = remote.service.answer(message)
                world.after_delay(lambda: reply(answer))

        world.after_delay(arrive)


class AllowanceWorld:
    """Many fake peers on one simulated clock.

    Attributes:
        team: The team whose requests arrive.
        document_version: The version of the document that declares the team.
        admitted_at: When each request was admitted.
        refused_at: When each request was refused.
    """

    def __init__(
        self,
        size: int,
        allowance: Allowance,
        *,
        seed: int = 1,
        loss: float = 0,
        has_gossip: bool = False,
    ) -> None:
        """Create peers that know each other and are settled."""
        self.clock = ManualClock(100)
        self.timers = TimerService(self.clock)
        self.random = Random(seed)
        self.loss = loss
        self.document_version = 1
        self.team = Team('atlas', allowance=allowance)
        self.token_requests = 0
        self.admitted_at: list[float] = []
        self.refused_at: list[float] = []
        self.waits: list[float] = []
        self.ids: list[str] = []
        self.weights: list[float] = []
        self.cluster = Cluster(size, seed)
        self.cluster.now = self.clock.now()
        self._groups: list[set[str]] = []
        self._incarnation = 1
        self._rate: float = 0
        swims = self.cluster.swims_by_id
        records = [swim.members.own for swim in swims.values()]
        for swim in swims.values():
            for record in records:
                swim.members.merge(record, self.clock.now())
            # The records that everyone has need no dissemination.
            swim._dissemination._sent_by_id.clear()
        self.peers_by_id = {one: FakePeer(self, one) for one in swims}
        self.ids = list(self.peers_by_id)
        self.spread_demand()
        if has_gossip:
            self.timers.every(_GOSSIP_STEP, self._gossip)
        self.run(3)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.clock.now() + seconds
        while True:
            step = self.timers.seconds_to_next()
            if step is None or self.clock.now() + step > end:
                break
            # Rounding must not leave the clock before the timer.
            self.clock.advance(step + 1e-9)
            self.timers.run_due()
        self.clock.advance(max(0, end - self.clock.now()))

    def demand(self, rate: float) -> None:
        """Let requests arrive at a rate, as a Poisson process."""
        is_running = bool(self._rate)
        self._rate = rate
        if rate and not is_running:
            self._schedule_arrival()

    def spread_demand(self) -> None:
        """Distribute the demand unevenly over the nodes, at random."""
        self.weights = [self.random.paretovariate(1.2) for _ in self.ids]
        self._cumulated = list(accumulate(self.weights))

    def concentrate_demand(self, node_id: str) -> None:
        """Send all demand to one node."""
        self.weights = [float(one == node_id) for one in self.ids]
        self._cumulated = list(accumulate(self.weights))

    def declare(self, allowance: Allowance, version: int) -> None:
        """Change the team's allowance at all nodes."""
        self.team = Team(self.team.name, allowance=allowance)
        self.document_version = version

    def leave(self, node_id: str) -> None:
        """Let a node announce that it leaves; it goes on serving clients."""
        swim = self.cluster.swims_by_id[node_id]
        swim.members.update_own(state=MemberState.LEAVING)
        self.cluster.post(node_id, swim.push())

    def after_delay(self, callback: Callable[[], None]) -> None:
        """Call back after the delay of a message."""
        delay = self.random.uniform(_MIN_DELAY, _MAX_DELAY)
        self.timers.after(delay, callback)

    def loses(self) -> bool:
        """Return whether the next message is lost."""
        return self.loss > 0 and self.random.random() < self.loss

    def is_cut(self, one: str, other: str) -> bool:
        """Return whether a partition is between two nodes."""
        return any((one in group) != (other in group) for group in self._groups)

    def cut_off(self, ids: Iterable[str]) -> None:
        """Cut some nodes off from all others."""
        group = set(ids)
        self._groups.append(group)
        self.cluster.partition(group, set(self.ids) - group)

    def heal(self) -> None:
        """End all partitions."""
        self._groups.clear()
        self.cluster.cut_links.clear()

    def kill(self, node_id: str) -> None:
        """Kill a node; its clients connect to others."""
        self.peers_by_id[node_id].is_dead = True
        self.cluster.dead.add(node_id)

    def restart(self, ids: Iterable[str]) -> None:
        """Start nodes anew, which were killed or are killed now."""
        self._incarnation += 10000
        for node_id in ids:
            self.peers_by_id[node_id].is_dead = True
            self.cluster.start(node_id, incarnation=self._incarnation)
            self.peers_by_id[node_id] = FakePeer(self, node_id)

    def grantor_id(self) -> str:
        """Return the team's grantor as the first live node sees it."""
        peer = next(one for one in self.peers_by_id.values() if not one.is_dead)
        return peer.grantors.tenure(self.team.name, self.clock.now()).grantor

    def busiest_window(self, since: float = 0) -> int:
        """Return the most requests admitted in any window."""
        times = [one for one in self.admitted_at if one >= since]
        return max(
            (
                bisect_left(times, start + WINDOW) - index
                for index, start in enumerate(times)
            ),
            default=0,
        )

    def admitted_since(self, since: float) -> int:
        """Return the number of requests admitted since a time."""
        return len(self.admitted_at) - bisect_left(self.admitted_at, since)

    def refused_since(self, since: float) -> int:
        """Return the number of requests refused since a time."""
        return len(self.refused_at) - bisect_left(self.refused_at, since)

    def counts(self, name: str) -> int:
        """Return the sum of a counter over all nodes."""
        return sum(
            peer.metrics.counts[name] for peer in self.peers_by_id.values()
        )

    def send(self, node_id: str) -> None:
        """Let one request arrive at a node."""
        now = self.clock.now()
        inbound = InboundRequest(
            Request('GET', '/', [], b''),
            EXTERNAL_CALLER,
            'id',
            now,
            team=self.team,
        )
        self.peers_by_id[node_id].step.admit(
            inbound, lambda problem: self._on_decided(problem, now)
        )

    def _on_decided(self, problem: Problem | None, sent_at: float) -> None:
        now = self.clock.now()
        if problem is None:
            self.admitted_at.append(now)
            self.waits.append(now - sent_at)
        else:
            self.refused_at.append(now)

    def _schedule_arrival(self) -> None:
        if self._rate:
            gap = self.random.expovariate(self._rate)
            self.timers.after(gap, self._arrive)

    def _arrive(self) -> None:
        self._schedule_arrival()
        while True:
            (node_id,) = self.random.choices(
                self.ids, cum_weights=self._cumulated
            )
            if not self.peers_by_id[node_id].is_dead:
                break
        self.send(node_id)

    def _gossip(self) -> None:
        self.cluster.now = self.clock.now() - _GOSSIP_STEP
        self.cluster.run(_GOSSIP_STEP)
