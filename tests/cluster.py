"""A simulated network of members with loss, delay and partitions."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from bluebellsill.gossip_messages import Member
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import Message, decode, encode
from bluebellsill.replica_version import NO_VERSION
from bluebellsill.swim import PERIOD, Datagram, Swim

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

_STEP = 0.025  # seconds by which the clock advances at a time


class Cluster:
    """Runs the failure detectors of all members on one simulated clock."""

    def __init__(self, size: int, seed: int, *, loss: float = 0) -> None:
        self.now: float = 0
        self.random = Random(seed)
        self.loss = loss
        self.cut_links: set[frozenset[str]] = set()
        self.frozen: set[str] = set()
        self.dead: set[str] = set()
        self.sent = 0
        self.sent_bytes = 0
        self.crossed_bytes = 0  # of them between availability zones
        self._sequence = count()
        self._queue: list[tuple[float, int, str, bytes]] = []
        self.swims_by_id: dict[str, Swim] = {}
        for index in range(size):
            self.start(f'10.0.0.{index + 1}:7000', incarnation=1)
        self._next_check: dict[str, float] = {}
        self._next_tick = dict.fromkeys(self.swims_by_id, 0.0)

    def start(self, member_id: str, *, incarnation: int) -> None:
        """Start a member, replacing a dead one with the same address."""
        zone = 'abc'[len(self.swims_by_id) % 3]
        own = Member(
            member_id,
            incarnation,
            0,
            int(MemberState.READY),
            zone,
            'bookings',
        )
        swim = Swim(
            Members(own), Random(self.random.random()), lambda: NO_VERSION
        )
        swim.seeds = ['10.0.0.1:7000', '10.0.0.2:7000']
        self.swims_by_id[member_id] = swim
        self.dead.discard(member_id)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end - _STEP / 2:
            self.now += _STEP
            self._deliver()
            for member_id, swim in self.swims_by_id.items():
                if member_id in self.dead or member_id in self.frozen:
                    continue
                if self.now >= self._next_tick.setdefault(member_id, 0):
                    self._next_tick[member_id] = self.now + PERIOD
                    self.post(member_id, swim.tick(self.now))
                    self._next_check[member_id] = self.now + PERIOD / 4
                elif self.now >= self._next_check.get(member_id, 0):
                    self._next_check[member_id] = self.now + PERIOD / 4
                    self.post(member_id, swim.check_timeouts(self.now))

    def run_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Advance the clock until a condition holds or time is up.

        Returns:
            Whether the condition holds.
        """
        end = self.now + seconds
        while self.now < end and not condition():
            self.run(_STEP)
        return condition()

    def partition(self, one: Iterable[str], other: Iterable[str]) -> None:
        """Drop all datagrams between two groups of members."""
        ids = list(other)
        for left in one:
            self.cut_links.update(frozenset((left, right)) for right in ids)

    def states(self, of: str) -> set[tuple[int, int]]:
        """Return a member's states and incarnations as known to the others."""
        return {
            (swim.members.by_id[of].state, swim.members.by_id[of].incarnation)
            for member_id, swim in self.swims_by_id.items()
            if member_id not in self.dead | self.frozen
            and member_id != of
            and of in swim.members.by_id
        }

    def views_agree(self) -> bool:
        """Return whether all members but dead ones agree on who is live."""
        views = {
            frozenset(
                (one.id, one.incarnation, one.state)
                for one in swim.members.live()
            )
            for member_id, swim in self.swims_by_id.items()
            if member_id not in self.dead
        }
        return len(views) == 1

    def post(self, sender: str, datagrams: list[Datagram]) -> None:
        """Send datagrams of a member."""
        for datagram in datagrams:
            self.sent += 1
            payload = encode(datagram.message)
            self.sent_bytes += len(payload)
            receiver = self.swims_by_id.get(datagram.address)
            zone = self.swims_by_id[sender].members.own.zone
            if receiver is not None and receiver.members.own.zone != zone:
                self.crossed_bytes += len(payload)
            is_cut = frozenset((sender, datagram.address)) in self.cut_links
            if is_cut or self.random.random() < self.loss:
                continue
            due = self.now + self.random.uniform(0, 0.05)
            item = (due, next(self._sequence), datagram.address)
            heappush(self._queue, (*item, payload))

    def _deliver(self) -> None:
        while self._queue and self._queue[0][0] <= self.now:
            _, _, address, payload = heappop(self._queue)
            swim = self.swims_by_id.get(address)
            if swim is None or address in self.dead:
                continue
            if address in self.frozen:
                later = (self.now + 1, next(self._sequence), address, payload)
                heappush(self._queue, later)
                continue
            message: Message = decode(payload)
            self.post(address, swim.handle(message, self.now))
