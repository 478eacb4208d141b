"""The configuration revision never decreases, in any order of changes."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from result import Err, Ok

from bluebellsill.change_records import (
    Change,
    ConfigurationError,
    Draft,
    Head,
    Snapshot,
    StoredResource,
)
from bluebellsill.configuration import Configuration
from bluebellsill.errors import ErrorKind
from bluebellsill.resources import Kind

_ZONE = Kind.AVAILABILITY_ZONE


def _change(revision: int) -> Change:
    spec = {'in_service': revision % 2 == 0}
    return Change(revision, f'token-{revision}', _ZONE, 'piraeus', spec)


@given(st.lists(st.lists(st.integers(1, 12), max_size=6), max_size=30))
def test_revision_never_reverts(batches: list[list[int]]) -> None:
    configuration = Configuration()
    for batch in batches:
        previous_revision = configuration.revision
        configuration.apply_changes([_change(revision) for revision in batch])
        assert configuration.revision >= previous_revision
        if configuration.revision:
            is_out = configuration.revision % 2 == 1
            assert configuration.is_zone_out('piraeus') is is_out


def test_gap_stops_later_changes() -> None:
    configuration = Configuration()
    configuration.apply_changes([_change(1), _change(3)])
    assert configuration.revision == 1


def test_older_snapshot_changes_nothing() -> None:
    configuration = Configuration()
    configuration.apply_changes([_change(1), _change(2), _change(3)])
    stored = StoredResource(2, _ZONE, 'piraeus', {'in_service': True})
    assert not configuration.apply_snapshot(Snapshot(2, [stored]))
    assert configuration.is_zone_out('piraeus')


def test_invalid_snapshot_changes_nothing() -> None:
    configuration = Configuration()
    configuration.apply_changes([_change(1)])
    valid = StoredResource(9, _ZONE, 'marousi', {'in_service': False})
    invalid = StoredResource(9, _ZONE, 'piraeus', {'in_service': 'perhaps'})
    with pytest.raises(ConfigurationError, match='perhaps'):
        configuration.apply_snapshot(Snapshot(9, [valid, invalid]))
    assert configuration.revision == 1
    assert configuration.is_zone_out('piraeus')


def test_snapshot_equals_applied_changes() -> None:
    ahead = Configuration()
    ahead.apply_changes([_change(revision) for revision in range(1, 6)])
    behind = Configuration()
    behind.apply_snapshot(ahead.snapshot())
    assert behind.snapshot() == ahead.snapshot()
    assert behind.changes_after(3) is None
    assert [item.revision for item in ahead.changes_after(3) or []] == [4, 5]


def test_invalid_head_is_an_error() -> None:
    with pytest.raises(ConfigurationError, match='Head record is invalid'):
        Head.decode(b'{"revision": "seven"}')


def _draft(kind: Kind, required_revision: int | None) -> Draft:
    return Draft('t', kind, 'x', {}, required_revision)


def test_draft_for_another_revision_is_refused() -> None:
    configuration = Configuration()
    change = Change(1, 'a', Kind.SERVICE, 'x', {})
    configuration.apply_changes([change])
    refused = configuration.check(_draft(Kind.SERVICE, 0))
    assert isinstance(refused, Err)
    assert refused.err_value.kind is ErrorKind.REVISION_CONFLICT
    assert 'revision 1, not 0' in refused.err_value.message
    assert isinstance(configuration.check(_draft(Kind.SERVICE, 1)), Ok)


def test_running_shift_blocks_only_service_changes() -> None:
    configuration = Configuration()
    shift = Change(1, 'a', Kind.SHIFT, 'current', {'running': True})
    configuration.apply_changes([shift])
    refused = configuration.check(_draft(Kind.SERVICE, None))
    assert isinstance(refused, Err)
    assert refused.err_value.kind is ErrorKind.SHIFT_RUNNING
    assert isinstance(configuration.check(_draft(_ZONE, None)), Ok)
    assert isinstance(configuration.check(_draft(Kind.TARGET, None)), Ok)
