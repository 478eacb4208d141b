"""Who reads the store, who is found there, and what a restart looks for."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

from result import Err, Ok, Result

from bluebellsill.clock import ManualClock
from bluebellsill.discovery import Discovery
from bluebellsill.feed_reader import FeedReader
from bluebellsill.gossip_messages import Member
from bluebellsill.membership import Members, MemberState
from bluebellsill.node_directory import DirectoryEntry, DirectoryFailure
from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedFailure,
    FeedNews,
    FeedSnapshot,
)
from bluebellsill.operator_state import OperatorState
from bluebellsill.rendezvous import rank
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan
from bluebellsill.timers import TimerService

_STEP = 0.05  # seconds


class _Feed:
    """A store that answers when the test says so."""

    def __init__(self) -> None:
        self.reads: list[Callable[[Any], None]] = []
        self.watches: list[tuple[int, Callable[[Any], None]]] = []

    def read(self, on_done: Callable[[Any], None]) -> None:
        self.reads.append(on_done)

    def watch(
        self, revision: int, wait: float, on_done: Callable[[Any], None]
    ) -> None:
        self.watches.append((revision, on_done))


class _World:
    """One node whose store and peers the test plays."""

    def __init__(self, own: str = '10.0.0.1:1') -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        ready = int(MemberState.READY)
        self.members = Members(Member(own, 1, 0, ready, 'a', 's'))
        self.state = OperatorState(
            lambda payload: Ok(RoutingPlan(int(payload), RouteTable([]))),
        )
        self.feed = _Feed()
        self.reader = FeedReader(
            self.feed, self.state, self.members, self.timers, Random(1)
        )

    def meet(self, other: str, zone: str = 'a', **fields: Any) -> None:
        """Learn of another node."""
        ready = int(MemberState.READY)
        record = Member(other, 1, 0, ready, zone, 's', **fields)
        self.members.merge(record, self.clock.now())

    def let_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            self.timers.run_due()


def test_lonely_node_reads_and_then_watches_from_there() -> None:
    world = _World()
    world.reader.start(immediate=True)
    assert len(world.feed.reads) == 1
    world.feed.reads[0](Ok(FeedSnapshot(7, b'3', ('b',))))
    assert world.state.is_zone_out('b')
    revision, on_done = world.feed.watches[0]
    assert revision == 7
    on_done(Ok(FeedNews((DocumentWritten(9, b'4'),), 12)))
    assert world.state.plan is not None
    assert (world.state.revision, world.state.plan.version) == (9, 4)
    assert world.feed.watches[1][0] == 12


def test_forgotten_history_is_read_anew() -> None:
    world = _World()
    world.reader.start(immediate=True)
    world.feed.reads[0](Ok(FeedSnapshot(7, b'3', ())))
    world.feed.watches[0][1](Err(FeedFailure('gone', is_history_gone=True)))
    assert len(world.feed.reads) == 2


def test_node_that_cannot_read_lets_another_one() -> None:
    ids = ['10.0.0.1:1', '10.0.0.2:1']
    first = rank('a', ids, 1)[0]
    ids.remove(first)
    world = _World(first)
    world.reader.start(immediate=True)
    world.feed.reads[0](Ok(FeedSnapshot(7, b'3', ())))
    world.meet(ids[0])
    assert world.reader.is_reader
    for index in range(2):
        world.feed.watches[index][1](Err(FeedFailure('refused')))
        world.let_pass(1)
    assert world.members.own.is_store_lost
    assert not world.reader.is_reader
    world.let_pass(6)
    assert not world.members.own.is_store_lost


def test_one_reader_a_zone() -> None:
    ids = [f'10.0.0.{index}:1' for index in range(1, 6)]
    readers = 0
    for own in ids:
        world = _World(own)
        for other in ids:
            if other != own:
                world.meet(other)
        world.meet('10.1.0.1:1', 'b')
        readers += world.reader.is_reader
    assert readers == 1


class _Directory:
    """Entries in a store that the test plays."""

    def __init__(self) -> None:
        self.entries: list[DirectoryEntry] = []
        self.is_down = False
        self.lists = 0

    def list_nodes(self, on_done: Callable[[Any], None]) -> None:
        self.lists += 1
        on_done(self._result(list(self.entries)))

    def register(
        self, entry: DirectoryEntry, on_done: Callable[[Any], None]
    ) -> None:
        if not self.is_down:
            self.entries.append(entry)
        on_done(self._result(None))

    def renew(self, on_done: Callable[[Any], None]) -> None:
        on_done(self._result(None))

    def _result(self, found: Any) -> Result[Any, DirectoryFailure]:
        return Err(DirectoryFailure('down')) if self.is_down else Ok(found)


def _discovery(world: _World, directory: _Directory) -> list[str]:
    met: list[str] = []
    peers: Any = SimpleNamespace(
        members=world.members,
        swim=SimpleNamespace(seeds=[]),
        gossip_task=SimpleNamespace(sync_with=met.extend),
    )
    discovery = Discovery(directory, peers, world.timers, Random(1), 600)
    discovery.start(immediate=True)
    return met


def test_entry_that_vanished_is_written_again() -> None:
    world, directory = _World(), _Directory()
    directory.entries = [DirectoryEntry('10.0.0.2:1', 'a')]
    met = _discovery(world, directory)
    world.let_pass(0.1)
    assert met == ['10.0.0.2:1']
    assert directory.entries[-1].node_id == '10.0.0.1:1'
    world.meet('10.0.0.2:1')
    directory.entries.clear()
    world.let_pass(11)
    assert directory.entries == [DirectoryEntry('10.0.0.1:1', 'a')]


def test_zone_with_enough_entries_gets_no_more() -> None:
    world, directory = _World(), _Directory()
    directory.entries = [
        DirectoryEntry(f'10.0.1.{index}:1', 'a') for index in range(8)
    ]
    _discovery(world, directory)
    world.let_pass(0.1)
    assert len(directory.entries) == 8


def test_outage_is_met_with_growing_pauses() -> None:
    world, directory = _World(), _Directory()
    directory.is_down = True
    _discovery(world, directory)
    world.let_pass(20)
    assert 4 <= directory.lists <= 12
    directory.is_down = False
    world.let_pass(5)
    assert directory.entries
