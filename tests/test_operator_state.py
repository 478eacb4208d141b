"""The operator state of a node never returns to an older revision."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok, Result

from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedChange,
    FeedSnapshot,
    ZoneWritten,
)
from bluebellsill.operator_state import OperatorState
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan


def _decode(payload: bytes) -> Result[RoutingPlan, str]:
    if not payload.isdigit():
        return Err(f'{payload!r} is not a number')
    return Ok(RoutingPlan(int(payload), RouteTable([])))


def _version(state: OperatorState) -> int:
    return state.plan.version if state.plan else 0


def test_older_snapshots_and_changes_are_ignored() -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(FeedSnapshot(9, b'4', ('a',)), 'test')
    state.apply_snapshot(FeedSnapshot(8, b'3', ()), 'test')
    state.apply_changes([ZoneWritten(7, 'a', is_out=False)], 'test')
    assert (state.revision, _version(state)) == (9, 4)
    assert state.is_zone_out('a')


@pytest.mark.parametrize('document', [b'broken', b'3'])
def test_invalid_or_older_document_keeps_the_plan(document: bytes) -> None:
    state = OperatorState(_decode)
    state.apply_snapshot(FeedSnapshot(9, b'4', ()), 'test')
    changes: list[FeedChange] = [
        DocumentWritten(10, document),
        ZoneWritten(11, 'a', is_out=True),
    ]
    state.apply_changes(changes, 'test')
    assert (state.revision, _version(state)) == (11, 4)
    assert state.is_zone_out('a')


def test_export_updates_a_peer_that_lags() -> None:
    ahead, behind = OperatorState(_decode), OperatorState(_decode)
    ahead.apply_snapshot(FeedSnapshot(9, b'4', ('a',)), 'test')
    behind.merge(*ahead.export(behind.revision), 'peer')
    assert (behind.revision, _version(behind)) == (9, 4)
    assert ahead.export(9) == (b'', [])
    with pytest.raises(ValueError, match='peer sent an invalid snapshot'):
        behind.merge(b'\xc1', [], 'peer')


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
    complete.apply_changes(changes, 'test')
    snapshots = []
    for end in range(len(changes) + 1):
        partial = OperatorState(_decode)
        partial.apply_changes(changes[:end], 'test')
        snapshots.append(partial.export(0)[0])
    state = OperatorState(_decode)
    last_revision = 0
    for _ in range(30):
        state.merge(random.choice(snapshots), [], 'peer')
        assert state.revision >= last_revision
        last_revision = state.revision
    state.merge(snapshots[-1], [], 'peer')
    assert state.export(0) == complete.export(0)
