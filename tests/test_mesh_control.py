"""Selection of the store reader, and discovery of peers in the directory."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from msgspec.structs import replace
from result import Err, Ok, Result

from bluebellsill.clock import ManualClock
from bluebellsill.confirmations import Confirmations
from bluebellsill.discovery import Discovery
from bluebellsill.feed_reader import FeedReader
from bluebellsill.gossip_messages import Confirmation, Member
from bluebellsill.membership import Members, MemberState
from bluebellsill.node_directory import DirectoryEntry, DirectoryFailure
from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedFailure,
    FeedSnapshot,
    FeedUpdate,
)
from bluebellsill.operator_state import OperatorState
from bluebellsill.reading_order import ReadingOrder
from bluebellsill.registration import ENTRIES_PER_ZONE
from bluebellsill.rendezvous import rank
from bluebellsill.replica_version import ReplicaVersion, StorePosition
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan
from bluebellsill.timers import TimerService
from bluebellsill.view_age import ViewAge

_STEP = 0.05  # seconds


def _at(revision: int, epoch: int = 1) -> StorePosition:
    return StorePosition(epoch, revision)


class _FakeFeed:
    """An operator feed whose pending calls the test answers."""

    def __init__(self) -> None:
        self.reads: list[Callable[[Any], None]] = []
        self.pings: list[Callable[[Any], None]] = []
        self.cancelled = 0
        self.watches: list[
            tuple[StorePosition, float, Callable[[Any], None]]
        ] = []

    def read(self, on_done: Callable[[Any], None]) -> None:
        self.reads.append(on_done)

    def watch(
        self,
        position: StorePosition,
        wait: float,
        on_done: Callable[[Any], None],
    ) -> Any:
        self.watches.append((position, wait, on_done))
        return SimpleNamespace(is_receiving=False, cancel=self._on_cancelled)

    def ping(self, on_done: Callable[[Any], None]) -> None:
        self.pings.append(on_done)

    def _on_cancelled(self) -> None:
        self.cancelled += 1


class _Harness:
    """The feed reader of a node, with simulated store and peers."""

    def __init__(self, own: str = '10.0.0.1:1') -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        ready = int(MemberState.READY)
        self.members = Members(Member(own, 1, 0, ready, 'a', 's'))
        self.state = OperatorState(
            lambda payload: Ok(RoutingPlan(int(payload), RouteTable([]))),
        )
        self.feed = _FakeFeed()
        self.order = ReadingOrder(self.members, Random(1))
        self.view = ViewAge(self.clock)
        self.sent: list[str] = []
        sender = SimpleNamespace(
            send=lambda address, _message: self.sent.append(address)
        )
        self.confirmations = Confirmations(
            sender,
            self.members,
            self.order,
            self.state,
            self.clock,
            self.view,
        )
        self.reader = FeedReader(
            self.feed,
            self.state,
            self.members,
            self.order,
            self.confirmations,
            self.view,
            self.timers,
            Random(1),
        )

    def add_member(self, other: str, zone: str = 'a', **fields: Any) -> None:
        """Add another node to the members."""
        ready = int(MemberState.READY)
        record = Member(other, 1, 0, ready, zone, 's', **fields)
        self.members.merge(record, self.clock.now())

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps and run the due timers."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            self.timers.run_due()


def test_node_without_peers_reads_then_watches_from_that_revision() -> None:
    harness = _Harness()
    harness.reader.start(immediate=True)
    assert len(harness.feed.reads) == 1
    harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset('b'))))
    assert harness.state.is_zone_out('b')
    position, wait, on_done = harness.feed.watches[0]
    assert position == _at(7)
    assert wait > 0
    on_done(Ok(FeedUpdate((DocumentWritten(9, b'4'),), _at(12))))
    assert harness.state.plan is not None
    assert harness.state.version == ReplicaVersion(_at(9), 4)
    assert harness.feed.watches[1][0] == _at(12)


def test_nodes_that_start_together_read_once_per_zone() -> None:
    """Each knows no other one at first, and none must act as the reader."""
    ids = [f'10.0.0.{index}:1' for index in range(1, 21)]
    harnesses = [_Harness(own) for own in ids]
    for harness in harnesses:
        harness.reader.start()
        harness.advance(0.4)
        for other in ids:
            if other != harness.members.own.id:
                harness.add_member(other)
        harness.advance(0.4)
    reading = [one for one in harnesses if one.feed.reads]
    assert len(reading) == 1
    # There is no document yet: the reader waits for it with one call.
    reading[0].feed.reads[0](Ok(FeedSnapshot(_at(7), b'', frozenset())))
    reading[0].advance(2)
    assert len(reading[0].feed.reads) == 1
    assert [one[0] for one in reading[0].feed.watches] == [_at(7)]
    reading[0].feed.watches[0][2](
        Ok(FeedUpdate((DocumentWritten(9, b'4'),), _at(9)))
    )
    assert reading[0].state.plan is not None


def test_discarded_history_causes_a_full_read() -> None:
    harness = _Harness()
    harness.reader.start(immediate=True)
    harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset())))
    harness.feed.watches[0][2](Err(FeedFailure('gone', is_position_lost=True)))
    assert len(harness.feed.reads) == 2


def test_reader_that_loses_the_store_yields_to_another_node() -> None:
    ids = ['10.0.0.1:1', '10.0.0.2:1']
    first = rank('a', ids, 1)[0]
    ids.remove(first)
    harness = _Harness(first)
    harness.reader.start(immediate=True)
    harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset())))
    harness.add_member(ids[0])
    assert harness.order.is_reader
    for index in range(2):
        harness.feed.watches[index][2](Err(FeedFailure('refused')))
        harness.advance(1)
    assert harness.members.own.is_store_lost
    assert not harness.order.is_reader
    harness.advance(6)
    assert not harness.members.own.is_store_lost


def test_reader_does_not_wait_until_the_store_has_its_position() -> None:
    """A restored store may be at the reader's revision again."""
    harness = _Harness()
    harness.reader.start(immediate=True)
    harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset())))
    harness.feed.watches[0][2](Err(FeedFailure('reset')))
    harness.advance(1)
    position, wait, on_done = harness.feed.watches[1]
    assert (position, wait) == (_at(7), 0)
    on_done(Ok(FeedUpdate((), _at(7))))
    assert harness.feed.watches[2][1] > 0


def test_next_reader_does_not_wait_while_the_store_is_lost_to_another() -> None:
    ids = ['10.0.0.1:1', '10.0.0.2:1']
    first = rank('a', ids, 1)[0]
    ids.remove(first)
    for is_lost in (False, True):
        harness = _Harness(ids[0])
        harness.reader.start(immediate=True)
        harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset())))
        harness.add_member(first)
        harness.feed.watches[0][2](Ok(FeedUpdate((), _at(7))))
        harness.advance(1)
        assert len(harness.feed.watches) == 1
        record = harness.members.by_id[first]
        state = record.state if is_lost else int(MemberState.GONE)
        gone = replace(record, version=1, state=state, is_store_lost=is_lost)
        harness.members.merge(gone, harness.clock.now())
        harness.advance(1)
        wait = harness.feed.watches[1][1]
        # On a calm day, the next reader asks the store no more than before.
        assert (wait == 0) == is_lost


def test_reader_follows_a_restored_store_to_a_lower_revision() -> None:
    harness = _Harness()
    harness.reader.start(immediate=True)
    harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset())))
    lost = FeedFailure('restored', is_position_lost=True)
    harness.feed.watches[0][2](Err(lost))
    restored = FeedSnapshot(_at(4, epoch=2), b'2', frozenset())
    harness.feed.reads[1](Ok(restored))
    assert harness.state.version == ReplicaVersion(_at(4, epoch=2), 3)
    position, _, on_done = harness.feed.watches[1]
    assert position == _at(4, epoch=2)
    change = DocumentWritten(5, b'5')
    on_done(Ok(FeedUpdate((change,), _at(5, epoch=2))))
    assert harness.state.version == ReplicaVersion(_at(5, epoch=2), 5)


def test_position_that_is_lost_at_once_again_is_retried_with_a_delay() -> None:
    harness = _Harness()
    harness.reader.start(immediate=True)
    snapshot = FeedSnapshot(_at(7), b'3', frozenset())
    lost = FeedFailure('gone', is_position_lost=True)
    reads = 0
    for _ in range(200):
        while harness.feed.reads:
            reads += 1
            harness.feed.reads.pop()(Ok(snapshot))
        if harness.feed.watches:
            harness.feed.watches.pop()[2](Err(lost))
        harness.advance(_STEP)
    # Ten seconds; without a delay there is a read in each step.
    assert reads < 40


def test_watch_that_does_not_deliver_what_peers_have_is_renewed() -> None:
    """Its answer was lost, and nothing would be read until its end."""
    harness = _Harness()
    harness.reader.start(immediate=True)
    harness.feed.reads[0](Ok(FeedSnapshot(_at(7), b'3', frozenset())))
    harness.feed.watches[0][2](Ok(FeedUpdate((), _at(7))))
    assert len(harness.feed.watches) == 2
    newer = FeedUpdate((DocumentWritten(9, b'4'),), _at(9))
    harness.state.apply_update(newer, 'a peer')
    harness.advance(1)
    assert harness.feed.cancelled == 1
    position, wait, _ = harness.feed.watches[2]
    assert (position, wait) == (_at(9), 0)


def test_reader_that_is_behind_confirms_nothing() -> None:
    harness = _Harness()
    harness.add_member('10.0.0.2:1')
    newer = FeedSnapshot(_at(9), b'4', frozenset())
    harness.state.apply_snapshot(newer, 'a peer')
    harness.advance(2)
    now = harness.clock.now()
    for revision in (7, 11):
        other = Confirmation('10.0.0.2:1', '10.0.0.2:1', 10, revision, 1, 4)
        harness.confirmations.on_message(other, now)
        assert harness.view.seconds >= 2
    same = Confirmation('10.0.0.2:1', '10.0.0.2:1', 10, 9, 1, 4)
    harness.confirmations.on_message(same, now)
    assert harness.view.seconds < 0.1


def test_each_zone_has_one_reader() -> None:
    ids = [f'10.0.0.{index}:1' for index in range(1, 6)]
    readers = 0
    for own in ids:
        harness = _Harness(own)
        for other in ids:
            if other != own:
                harness.add_member(other)
        harness.add_member('10.1.0.1:1', 'b')
        readers += harness.order.is_reader
    assert readers == 1


class _FakeDirectory:
    """An in-memory node directory that can be made unavailable."""

    def __init__(self) -> None:
        self.entries: list[DirectoryEntry] = []
        self.is_down = False
        self.list_calls = 0
        self.exact_calls = 0
        self.stale_entries: list[DirectoryEntry] | None = None

    def list_nodes(
        self, on_done: Callable[[Any], None], *, allow_stale: bool
    ) -> None:
        self.list_calls += 1
        self.exact_calls += not allow_stale
        entries = self.stale_entries if allow_stale else None
        on_done(self._result(list(entries or self.entries)))

    def register(
        self, entry: DirectoryEntry, on_done: Callable[[Any], None]
    ) -> None:
        if not self.is_down:
            self.entries.append(entry)
        on_done(self._result(None))

    def renew(self, on_done: Callable[[Any], None]) -> None:
        on_done(self._result(None))

    def _result(self, value: Any) -> Result[Any, DirectoryFailure]:
        return Err(DirectoryFailure('down')) if self.is_down else Ok(value)


def _start_discovery(
    harness: _Harness,
    directory: _FakeDirectory,
    joined_addresses: list[str],
) -> Discovery:
    peers: Any = SimpleNamespace(
        members=harness.members,
        swim=SimpleNamespace(seeds=[]),
        gossip_task=SimpleNamespace(sync_with=joined_addresses.extend),
    )
    discovery = Discovery(directory, peers, harness.timers, Random(1), 600)
    discovery.start(immediate=True)
    return discovery


def _discovery(harness: _Harness, directory: _FakeDirectory) -> list[str]:
    joined_addresses: list[str] = []
    _start_discovery(harness, directory, joined_addresses)
    return joined_addresses


def test_missing_entry_is_registered_again() -> None:
    harness, directory = _Harness(), _FakeDirectory()
    directory.entries = [DirectoryEntry('10.0.0.2:1', 'a')]
    joined_addresses = _discovery(harness, directory)
    harness.advance(0.1)
    assert joined_addresses == ['10.0.0.2:1']
    harness.add_member('10.0.0.2:1')
    harness.advance(3.1)
    assert directory.entries[-1].node_id == '10.0.0.1:1'
    directory.entries.clear()
    harness.advance(5.1)
    assert directory.entries == [DirectoryEntry('10.0.0.1:1', 'a')]


def test_entry_that_a_restored_store_has_lost_is_written_at_once() -> None:
    """Reads that may be stale still show it for some seconds."""
    harness, directory = _Harness(), _FakeDirectory()
    discovery = _start_discovery(harness, directory, [])
    harness.advance(2)
    harness.add_member('10.0.0.2:1')
    own = DirectoryEntry('10.0.0.1:1', 'a')
    assert directory.entries == [own]
    harness.advance(10)
    directory.stale_entries = [own]
    directory.entries.clear()
    directory.is_down = True
    discovery.on_store_restored()
    harness.advance(1)
    directory.is_down = False
    assert directory.exact_calls
    harness.advance(2)
    assert directory.entries == [own]


def test_entry_that_was_just_written_and_lost_is_written_again() -> None:
    """A new entry need not be listed yet, but by a read that is exact."""
    harness, directory = _Harness(), _FakeDirectory()
    discovery = _start_discovery(harness, directory, [])
    harness.add_member('10.0.0.2:1')
    while not directory.entries:
        harness.advance(_STEP)
    directory.entries.clear()
    discovery.on_store_restored()
    harness.advance(0.5)
    assert directory.entries == [DirectoryEntry('10.0.0.1:1', 'a')]


def test_directory_is_polled_after_thousands_of_failures() -> None:
    """After 1,024 failures the time until the next poll exceeded a float."""
    harness, directory = _Harness(), _FakeDirectory()
    directory.is_down = True
    discovery = _start_discovery(harness, directory, [])
    discovery._failures = 1100
    harness.advance(10)
    directory.is_down = False
    harness.advance(5)
    assert directory.entries


def test_store_is_read_after_thousands_of_failures() -> None:
    harness = _Harness()
    harness.reader.start(immediate=True)
    harness.reader._failures = 1100
    harness.feed.reads[0](Err(FeedFailure('refused')))
    harness.advance(3)
    assert harness.feed.pings


def test_calm_directory_is_never_read_exactly() -> None:
    harness, directory = _Harness(), _FakeDirectory()
    _discovery(harness, directory)
    harness.advance(60)
    assert not directory.exact_calls


def test_single_node_registers_within_two_seconds() -> None:
    for _ in range(20):
        harness, directory = _Harness(), _FakeDirectory()
        _discovery(harness, directory)
        harness.advance(2)
        assert directory.entries == [DirectoryEntry('10.0.0.1:1', 'a')]


def test_node_that_finds_only_lost_nodes_registers() -> None:
    """The entries of nodes that were replaced outlive them by minutes."""
    harness, directory = _Harness(), _FakeDirectory()
    directory.entries = [
        DirectoryEntry(f'10.9.0.{index}:1', 'a') for index in range(8)
    ]
    _discovery(harness, directory)
    harness.advance(2)
    assert directory.entries[-1].node_id == '10.0.0.1:1'


def test_no_entry_is_added_to_a_zone_that_has_enough() -> None:
    ids = [f'10.0.1.{index}:1' for index in range(8)]
    registered = 0
    for own in ids:
        harness, directory = _Harness(own), _FakeDirectory()
        for other in ids:
            if other != own:
                harness.add_member(other)
        _discovery(harness, directory)
        harness.advance(10)
        registered += len(directory.entries)
    assert registered == ENTRIES_PER_ZONE


class _Fleet:
    """Nodes that start together; each gets to know those that it contacts.

    Reads of the directory are as old as ``lag``, and members spread to all
    nodes in rounds, as gossip spreads them.
    """

    def __init__(self, zones: int, nodes_per_zone: int, lag: float) -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.writes: list[tuple[float, DirectoryEntry]] = []
        self.list_calls = 0
        self._lag = lag
        self._random = Random(1)
        self._members_by_id: dict[str, Members] = {}
        for zone in range(zones):
            for index in range(nodes_per_zone):
                self._start(f'10.{zone}.0.{index}:1', f'zone-{zone}')

    def play(self, seconds: float) -> None:
        """Advance the clock; every 0.2 s each node syncs with one it knows."""
        for step in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            self.timers.run_due()
            if step % 4 == 0:
                self._gossip()

    def is_joined(self) -> bool:
        """Return whether every node knows every other one."""
        count = len(self._members_by_id)
        return all(
            len(one.live()) == count for one in self._members_by_id.values()
        )

    def list_nodes(
        self, on_done: Callable[[Any], None], *, allow_stale: bool
    ) -> None:
        """Answer with the entries that are older than the lag."""
        self.list_calls += 1
        limit = self.clock.now() - self._lag
        on_done(Ok([entry for at, entry in self.writes if at <= limit]))

    def register(
        self, entry: DirectoryEntry, on_done: Callable[[Any], None]
    ) -> None:
        """Write an entry."""
        self.writes.append((self.clock.now(), entry))
        on_done(Ok(None))

    def renew(self, on_done: Callable[[Any], None]) -> None:
        """Accept every renewal."""
        on_done(Ok(None))

    def _start(self, own: str, zone: str) -> None:
        ready = int(MemberState.READY)
        members = Members(Member(own, 1, 0, ready, zone, 's'))
        self._members_by_id[own] = members
        peers: Any = SimpleNamespace(
            members=members,
            swim=SimpleNamespace(seeds=[]),
            gossip_task=SimpleNamespace(
                sync_with=lambda others: self._sync(own, others)
            ),
        )
        random = Random(own)
        Discovery(self, peers, self.timers, random, 600).start()

    def _gossip(self) -> None:
        for own, members in self._members_by_id.items():
            others = sorted(one.id for one in members.live() if one.id != own)
            if others:
                self._sync(own, [self._random.choice(others)])

    def _sync(self, own: str, others: list[str]) -> None:
        now = self.clock.now()
        for other in others:
            pair = self._members_by_id[own], self._members_by_id[other]
            for known, learner in (pair, pair[::-1]):
                for member in known.live():
                    if member.id not in learner.by_id:
                        learner.merge(member, now)


@pytest.mark.parametrize('lag', [0.0, 0.5])
@pytest.mark.parametrize(('zones', 'nodes'), [(3, 3), (5, 40)])
def test_few_of_the_nodes_that_start_together_register(
    zones: int, nodes: int, lag: float
) -> None:
    """Registering costs two calls, so their number must not follow the fleet.

    Each node of a fleet that starts is alone at its first read of the
    directory, and none of them finds an entry there.
    """
    fleet = _Fleet(zones, nodes, lag)
    fleet.play(4)
    assert fleet.is_joined()
    # Those that are chosen, and those that were drawn while they were alone:
    # a tenth, or a third if the store shows entries only after half a second.
    alone = zones * nodes / (3 if lag else 10)
    assert len(fleet.writes) <= zones * ENTRIES_PER_ZONE + alone
    written = {entry.node_id for _, entry in fleet.writes}
    assert len(written) == len(fleet.writes)
    writes = len(fleet.writes)
    fleet.play(20)
    assert len(fleet.writes) == writes


def test_retry_delay_grows_during_an_outage() -> None:
    harness, directory = _Harness(), _FakeDirectory()
    directory.is_down = True
    _discovery(harness, directory)
    harness.advance(20)
    assert 4 <= directory.list_calls <= 12
    directory.is_down = False
    harness.advance(5)
    assert directory.entries
