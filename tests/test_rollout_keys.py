"""The keys of canary releases, as other writers and restores leave them."""

from __future__ import annotations

from typing import Any

import pytest
from msgspec import json
from result import Err, Ok

from bluebellsill.messages import OutcomeRow
from bluebellsill.order_set import WrittenOrder
from bluebellsill.platform.kv_store import Item, ItemPage, Txn
from bluebellsill.platform.rollout_keys import (
    LEASE_PREFIX,
    RECORD_PREFIX,
    STATUS_PREFIX,
    RolloutKeys,
    decode_order,
)
from bluebellsill.replica_version import StorePosition
from bluebellsill.rollouts.order import CanaryOrder, CanaryRecord, CanaryStage

_ORDER = CanaryOrder('shop', 'v2', 60, StorePosition(1, 4))
_RECORD = CanaryRecord(
    _ORDER,
    CanaryStage.SWITCHING,
    12.5,
    1700000000,
    frozenset(('v1',)),
    500,
    30,
    (OutcomeRow('read', True, 2, [(20, 28)]),),
)


class _Store:
    """A store that keeps the values of one transaction."""

    epoch = 1

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.written: list[Txn] = []

    def range(self, prefix: str, after: str, on_done: Any, **_: Any) -> None:
        found = [one for one in self.items if one.key.startswith(prefix)]
        on_done(Ok(ItemPage(found, 9)))

    def transact(self, txn: Txn, on_done: Any) -> None:
        self.written.append(txn)
        on_done(Ok(9))


def _save(store: Any, record: CanaryRecord = _RECORD) -> Txn:
    keys = RolloutKeys(store)
    keys.save(StorePosition(1, 7), 5, record, lambda _: None)
    written: Txn = store.written[-1]
    return written


def _read(store: Any) -> Any:
    answers: list[Any] = []
    RolloutKeys(store).read('shop', answers.append)
    return answers[0].ok_value


def test_record_is_read_as_it_was_written() -> None:
    """Another node must continue with the same step and evidence."""
    store = _Store()
    value = _save(store).writes[-1].value
    store.items = [
        json.decode(
            json.encode(
                {
                    'key': f'{RECORD_PREFIX}shop',
                    'value': value,
                    'revision': 5,
                }
            ),
            type=Item,
        ),
        Item(f'{RECORD_PREFIX}shop-2', b'{}', 6),
        Item(f'{LEASE_PREFIX}shop', b'{}', 7, 3),
    ]
    found = _read(store)
    assert found.record == _RECORD
    assert (found.record_revision, found.lease_revision) == (5, 7)


def test_write_is_conditional_on_lease_and_record() -> None:
    """An earlier acting node must not overwrite what a later one wrote."""
    txn = _save(_Store())
    assert [(one.key, one.revision) for one in txn.conditions] == [
        (f'{LEASE_PREFIX}shop', 7),
        (f'{RECORD_PREFIX}shop', 5),
    ]
    assert [one.key for one in txn.writes] == [
        f'{STATUS_PREFIX}shop',
        f'{RECORD_PREFIX}shop',
    ]


def test_status_is_written_when_it_changes() -> None:
    """Each write costs about what a request is worth."""
    store: Any = _Store()
    keys = RolloutKeys(store)
    for _ in range(3):
        keys.save(StorePosition(1, 7), 5, _RECORD, lambda _: None)
    assert [len(one.writes) for one in store.written] == [2, 1, 1]
    keys.save(StorePosition(1, 8), 5, _RECORD, lambda _: None)
    assert len(store.written[-1].writes) == 2


@pytest.mark.parametrize(
    'value', [b'', b'[]', b'{"service":1}', b'[' * 5000, b'\xff']
)
def test_record_of_another_writer_is_ignored(value: bytes) -> None:
    """The key is taken over, with the revision that it has."""
    store = _Store()
    store.items = [Item(f'{RECORD_PREFIX}shop', value, 5)]
    found = _read(store)
    assert found.record is None
    assert found.record_revision == 5


@pytest.mark.parametrize(
    'payload',
    [
        b'{"service":"shop","target_version":"v2","duration_s":0}',
        b'{"service":"shop","target_version":"v2","duration_s":1e99}',
        b'{"service":"shop","target_version":"","duration_s":9}',
        b'{"service":"pay","target_version":"v2","duration_s":9}',
        b'{"service":"shop","duration_s":9}',
        b'null',
    ],
)
def test_malformed_order_is_refused(payload: bytes) -> None:
    """A corrupt order must not begin a release."""
    assert isinstance(decode_order(WrittenOrder('shop', payload, 1, 4)), Err)


def test_order_is_decoded_with_its_position() -> None:
    """A second write of the same order is told from the first by it."""
    payload = b'{"service":"shop","target_version":"v2","duration_s":60}'
    assert decode_order(WrittenOrder('shop', payload, 1, 4)) == Ok(_ORDER)
