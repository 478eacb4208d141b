"""The operator state of a node never returns to an older state."""

from __future__ import annotations

from random import Random
from string import ascii_letters

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import msgpack
from result import Err, Ok, Result

from bluebellsill.clock import ManualClock
from bluebellsill.lost_exclusions import LostExclusions
from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedChange,
    FeedSnapshot,
    FeedUpdate,
    ZoneWritten,
)
from bluebellsill.operator_state import OperatorState
from bluebellsill.replica_version import (
    NO_VERSION,
    ReplicaVersion,
    StorePosition,
)
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan
from bluebellsill.timers import TimerService


def _decode(payload: bytes) -> Result[RoutingPlan, str]:
    if not payload.isdigit():
        return Err(f'{payload!r} is not a number')
    return Ok(RoutingPlan(int(payload), RouteTable([])))


def _version(state: OperatorState) -> int:
    return state.plan.version if state.plan else 0


def _zones_out(state: OperatorState) -> set[str]:
    return {zone for zone in ascii_letters if state.is_zone_out(zone)}


def _at(revision: int, epoch: int = 1) -> StorePosition:
    return StorePosition(epoch, revision)


def _snapshot(
    revision: int, document: bytes, zones: str = '', epoch: int = 1
) -> FeedSnapshot:
    return FeedSnapshot(_at(revision, epoch), document, frozenset(zones))


def _update(*changes: FeedChange, epoch: int = 1) -> FeedUpdate:
    return FeedUpdate(changes, _at(changes[-1].revision, epoch))


def _meet(one: OperatorState, other: OperatorState) -> None:
    """Let two nodes exchange what either of them lacks."""
    for asking, asked in ((one, other), (other, one)):
        if asking.lacks(asked.version):
            asking.merge(*asked.export(asking.version), 'peer')


def test_older_snapshots_and_changes_are_ignored() -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(_snapshot(9, b'4', 'a'), 'test')
    state.apply_snapshot(_snapshot(8, b'3'), 'test')
    state.apply_update(_update(ZoneWritten(7, 'a', is_out=False)), 'test')
    assert state.version == ReplicaVersion(_at(9), 4)
    assert state.is_zone_out('a')


@pytest.mark.parametrize('document', [b'broken', b'3'])
def test_invalid_or_older_document_keeps_the_plan(document: bytes) -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(_snapshot(9, b'4'), 'test')
    state.apply_update(
        _update(
            DocumentWritten(10, document), ZoneWritten(11, 'a', is_out=True)
        ),
        'test',
    )
    assert state.version == ReplicaVersion(_at(11), 4)
    assert state.is_zone_out('a')


@pytest.mark.parametrize('document', [b'broken', b'3', b''])
def test_invalid_or_older_document_is_not_passed_on(document: bytes) -> None:
    """A node that starts then got no routes, or older ones, from its peers."""
    state, started = OperatorState(_decode), OperatorState(_decode)
    state.apply_snapshot(_snapshot(9, b'4'), 'test')
    state.apply_snapshot(_snapshot(10, document), 'test')
    _meet(state, started)
    assert started.version == ReplicaVersion(_at(10), 4)


def test_export_updates_a_peer_that_lags() -> None:
    ahead, behind = OperatorState(_decode), OperatorState(_decode)
    ahead.apply_snapshot(_snapshot(9, b'4', 'a'), 'test')
    behind.merge(*ahead.export(behind.version), 'peer')
    assert behind.version == ReplicaVersion(_at(9), 4)
    assert ahead.export(ahead.version) == (b'', [])
    with pytest.raises(ValueError, match='peer sent an invalid snapshot'):
        behind.merge(b'\xc1', [], 'peer')


def test_state_of_a_node_of_an_earlier_version_is_read() -> None:
    state = OperatorState(_decode)
    state.merge(msgpack.encode((9, b'4', ('a',))), [], 'peer')
    assert state.version == ReplicaVersion(_at(9, epoch=0), 4)
    assert state.is_zone_out('a')


def test_document_that_only_a_peer_can_decode_is_fetched_once() -> None:
    newer, other = OperatorState(_decode), OperatorState(_decode)
    older = OperatorState(lambda payload: Err('too new'))
    newer.apply_snapshot(_snapshot(9, b'4'), 'test')
    _meet(older, newer)
    assert not older.lacks(newer.version)
    # It does not claim to have that document either.
    _meet(other, older)
    assert other.lacks(newer.version)
    _meet(other, newer)
    assert other.version == newer.version


def test_restored_store_with_a_lower_revision_is_followed() -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(_snapshot(9, b'4'), 'test')
    state.apply_snapshot(_snapshot(5, b'3', epoch=2), 'test')
    assert state.version == ReplicaVersion(_at(5, epoch=2), 4)
    state.apply_update(_update(DocumentWritten(6, b'5'), epoch=2), 'test')
    assert state.version == ReplicaVersion(_at(6, epoch=2), 5)


def test_change_of_an_earlier_epoch_is_ignored() -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(_snapshot(5, b'4', 'a', epoch=2), 'test')
    state.apply_update(_update(ZoneWritten(9, 'a', is_out=False)), 'test')
    assert state.is_zone_out('a')


def test_peers_in_an_earlier_epoch_do_not_pull_a_node_back() -> None:
    ahead, behind = OperatorState(_decode), OperatorState(_decode)
    ahead.apply_snapshot(_snapshot(5, b'4', epoch=2), 'test')
    behind.apply_snapshot(_snapshot(9, b'4'), 'test')
    _meet(ahead, behind)
    assert ahead.version == behind.version
    assert ahead.position == _at(5, epoch=2)


def test_node_started_on_a_restored_store_gets_newer_document_of_peers() -> (
    None
):
    """Both are at the same position of the store, with other documents."""
    running, started = OperatorState(_decode), OperatorState(_decode)
    running.apply_snapshot(_snapshot(9, b'4'), 'test')
    for state in (running, started):
        state.apply_snapshot(_snapshot(5, b'3', epoch=2), 'test')
    _meet(running, started)
    assert started.version == ReplicaVersion(_at(5, epoch=2), 4)


def test_exclusion_that_the_store_has_lost_stays_until_it_is_repeated() -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(_snapshot(9, b'4', 'a'), 'test')
    state.apply_snapshot(_snapshot(5, b'4', epoch=2), 'test')
    assert state.is_zone_out('a')
    assert state.unconfirmed_zones == {'a'}
    repeated = ZoneWritten(6, 'a', is_out=True)
    state.apply_update(_update(repeated, epoch=2), 'test')
    assert not state.unconfirmed_zones
    state.drop_unconfirmed_zones(2)
    assert state.is_zone_out('a')


def test_exclusion_that_is_never_repeated_ends() -> None:
    clock = ManualClock()
    timers = TimerService(clock)
    state = OperatorState(_decode)
    LostExclusions(state, timers)
    state.apply_snapshot(_snapshot(9, b'4', 'a'), 'test')
    state.apply_snapshot(_snapshot(5, b'4', epoch=2), 'test')
    clock.advance(8)
    state.apply_snapshot(_snapshot(3, b'4', epoch=3), 'test')
    for _ in range(2):
        assert state.is_zone_out('a')
        clock.advance(6)
        timers.run_due()
    assert not state.is_zone_out('a')


def test_zone_returned_after_a_restore_is_used_at_nodes_that_learn_late() -> (
    None
):
    reader, late = OperatorState(_decode), OperatorState(_decode)
    for state in (reader, late):
        state.apply_snapshot(_snapshot(9, b'4', 'a'), 'test')
    reader.apply_snapshot(_snapshot(5, b'4', epoch=2), 'test')
    returned = ZoneWritten(6, 'a', is_out=False)
    reader.apply_update(_update(returned, epoch=2), 'test')
    _meet(reader, late)
    assert not late.is_zone_out('a')


@given(st.integers(0, 2**32))
def test_merges_in_any_order_converge_and_never_revert(seed: int) -> None:
    random = Random(seed)
    changes: list[FeedChange] = []
    for revision in range(1, 12):
        if random.random() < 0.5:
            document = str(revision).encode()
            changes.append(DocumentWritten(revision, document))
        else:
            zone = random.choice('ab')
            is_out = random.random() < 0.5
            changes.append(ZoneWritten(revision, zone, is_out=is_out))
    complete = OperatorState(_decode)
    complete.apply_update(_update(*changes), 'test')
    snapshots = []
    for end in range(1, len(changes) + 1):
        partial = OperatorState(_decode)
        partial.apply_update(_update(*changes[:end]), 'test')
        snapshots.append(partial.export(NO_VERSION)[0])
    state = OperatorState(_decode)
    last = state.position
    for _ in range(30):
        state.merge(random.choice(snapshots), [], 'peer')
        assert state.position >= last
        last = state.position
    state.merge(snapshots[-1], [], 'peer')
    assert state.version == complete.version
    assert state.export(NO_VERSION)[0] == complete.export(NO_VERSION)[0]


class _Store:
    """A store that operators write to and that is restored at times."""

    def __init__(self, random: Random, zones: str) -> None:
        self.random = random
        self.zones = zones
        self.returned: set[str] = set()  # at any time
        self.epoch = 1
        self.version = 1
        self.zones_out: set[str] = set()
        self.history = [(b'1', frozenset[str]())]

    def snapshot(self) -> FeedSnapshot:
        document, zones = self.history[-1]
        return FeedSnapshot(_at(len(self.history), self.epoch), document, zones)

    def write(self) -> None:
        """Let the operators change the routes or a zone."""
        if self.random.random() < 0.5:
            self.version += 1
        else:
            zone = self.random.choice(self.zones)
            if zone in self.zones_out:
                self.returned.add(zone)
            self.zones_out ^= {zone}
        self._append()

    def restore(self) -> None:
        """Lose the latest writes, which operators then repeat."""
        lost = self.random.randrange(len(self.history))
        del self.history[len(self.history) - lost :]
        self.epoch += 1

    def repeat(self) -> None:
        """Let the operators write what they want to be in force."""
        self._append()

    def _append(self) -> None:
        document = str(self.version).encode()
        self.history.append((document, frozenset(self.zones_out)))


@pytest.mark.parametrize('zones', ['ab', ascii_letters])
@given(seed=st.integers(0, 2**32))
def test_nodes_agree_with_operators_through_restores(
    seed: int, zones: str
) -> None:
    """In any order of writes, restores, reads, exchanges and restarts."""
    random = Random(seed)
    # Of many zones, most are taken out once at most, so that it is plain which
    # of their states a node has seen.
    store = _Store(random, zones)
    nodes = [OperatorState(_decode) for _ in range(4)]
    for _ in range(60):
        index = random.randrange(len(nodes))
        action = random.random()
        out_before = [_zones_out(node) for node in nodes]
        if action < 0.2:
            store.write()
        elif action < 0.3:
            store.restore()
        elif action < 0.35:
            nodes[index] = OperatorState(_decode)
            out_before[index] = set()
        else:
            versions = [_version(node) for node in nodes]
            if action < 0.6:
                nodes[index].apply_snapshot(store.snapshot(), 'store')
            else:
                _meet(nodes[index], random.choice(nodes))
            assert all(
                _version(node) >= version
                for node, version in zip(nodes, versions, strict=True)
            )
        for node, out in zip(nodes, out_before, strict=True):
            assert out - _zones_out(node) <= store.returned
    store.repeat()
    nodes[0].apply_snapshot(store.snapshot(), 'store')
    for node in nodes[1:]:
        _meet(node, nodes[0])
    for node in nodes:
        node.drop_unconfirmed_zones(store.epoch)
        assert node.position == store.snapshot().position
        assert _version(node) == store.version
        assert _zones_out(node) == store.zones_out
