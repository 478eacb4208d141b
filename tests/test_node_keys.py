"""A node renews the lease that its entry has in the store."""

from __future__ import annotations

from typing import Any

from result import Err, Ok

from bluebellsill.node_directory import DirectoryEntry
from bluebellsill.platform.kv_store import Item, ItemPage, KvFailure
from bluebellsill.platform.node_keys import NODE_PREFIX, NodeKeys

_OWN = DirectoryEntry('10.0.0.1:7000', 'a')


class _Store:
    """A store that has an entry of the node with another lease already."""

    def __init__(self, lease: int) -> None:
        key = f'{NODE_PREFIX}{_OWN.node_id}'
        self.items = [Item(key, b'{"zone":"a"}', 3, lease)]
        self.renewed: list[int] = []

    def grant_lease(self, lifetime: float, on_done: Any) -> None:
        on_done(Ok(9))

    def write(self, write: Any, on_done: Any) -> None:
        on_done(Err(KvFailure('store answered 412', status=412)))

    def range(self, prefix: str, after: str, on_done: Any, **_: Any) -> None:
        on_done(Ok(ItemPage(self.items, 3)))

    def renew_lease(self, lease: int, on_done: Any) -> None:
        self.renewed.append(lease)
        on_done(Ok(None))


def test_lease_of_an_entry_that_exists_already_is_renewed() -> None:
    """The entry of an earlier process, or of a store that was restored."""
    store: Any = _Store(lease=7)
    keys = NodeKeys(store)
    keys.register(_OWN, lambda _: None)
    keys.list_nodes(lambda _: None, allow_stale=False)
    keys.renew(lambda _: None)
    assert store.renewed == [7]
