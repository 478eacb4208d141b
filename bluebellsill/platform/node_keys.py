"""The node directory in the platform's metadata store."""

from __future__ import annotations

from http import HTTPStatus
from ipaddress import AddressValueError, IPv4Address
from typing import TYPE_CHECKING

from msgspec import Struct, json
from result import Err, Ok, Result

from bluebellsill.decoding import decode_json
from bluebellsill.logs import get_logger
from bluebellsill.node_directory import DirectoryEntry, DirectoryFailure
from bluebellsill.platform.kv_store import KvWrite
from bluebellsill.streams import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.node_directory import Listing
    from bluebellsill.platform.kv_store import (
        Item,
        ItemPage,
        KvFailure,
        KvStore,
    )

__all__ = ('LEASE_SECONDS', 'NODE_PREFIX', 'NodeKeys')

LEASE_SECONDS = 600.0  # the longest lease that the platform grants
NODE_PREFIX = 'bluebellsill/nodes/'


class _NodeValue(Struct, frozen=True):
    """The value stored under a node's key."""

    zone: str


class NodeKeys:
    """A node directory that stores one key per node under a prefix."""

    def __init__(self, store: KvStore) -> None:
        """Create a directory that uses a client of the store."""
        self._store = store
        self._own_id = ''  # of the entry that this node has registered
        self._lease = 0
        self._log = get_logger('directory')

    def list_nodes(
        self,
        on_done: Callable[[Listing], None],
        *,
        allow_stale: bool,
    ) -> None:
        """List the first page of entries."""

        def on_page(done: Result[ItemPage, KvFailure]) -> None:
            if isinstance(done, Err):
                on_done(Err(DirectoryFailure(done.err_value.reason)))
                return
            entries = [self._entry(item) for item in done.ok_value.items]
            on_done(Ok([entry for entry in entries if entry is not None]))

        self._store.range(NODE_PREFIX, '', on_page, allow_stale=allow_stale)

    def register(
        self,
        entry: DirectoryEntry,
        on_done: Callable[[Result[None, DirectoryFailure]], None],
    ) -> None:
        """Write the entry with a lease unless it exists already."""

        def on_granted(done: Result[int, KvFailure]) -> None:
            if isinstance(done, Err):
                on_done(Err(DirectoryFailure(done.err_value.reason)))
                return
            self._own_id = entry.node_id
            self._lease = done.ok_value
            write = KvWrite(
                f'{NODE_PREFIX}{entry.node_id}',
                json.encode(_NodeValue(entry.zone)),
                0,
                self._lease,
            )
            self._store.write(write, on_written)

        def on_written(done: Result[int, KvFailure]) -> None:
            exists = isinstance(done, Err) and (
                done.err_value.status == HTTPStatus.PRECONDITION_FAILED
            )
            if isinstance(done, Err) and not exists:
                on_done(Err(DirectoryFailure(done.err_value.reason)))
            else:
                on_done(Ok(None))

        self._store.grant_lease(LEASE_SECONDS, on_granted)

    def renew(
        self,
        on_done: Callable[[Result[None, DirectoryFailure]], None],
    ) -> None:
        """Renew the lease of the entry."""
        self._store.renew_lease(
            self._lease,
            lambda done: on_done(
                done.map_err(lambda failure: DirectoryFailure(failure.reason)),
            ),
        )

    def _entry(self, item: Item) -> DirectoryEntry | None:
        """Return a node's entry, None for one that another writer has left."""
        decoded = decode_json(item.value, _NodeValue)
        node_id = item.key.removeprefix(NODE_PREFIX)
        fault = decoded.err() or _address_fault(node_id)
        if fault is not None or isinstance(decoded, Err):
            self._log.warning(
                'directory entry ignored', key=item.key, reason=fault
            )
            return None
        if node_id == self._own_id and item.lease:
            # The entry of an earlier process, or in a restored store, has
            # another lease than the one granted last.
            self._lease = item.lease
        return DirectoryEntry(node_id, decoded.ok_value.zone)


def _address_fault(text: str) -> str | None:
    """Return why a node cannot listen at an address, None if it can."""
    try:
        address = Address.parse(text)
        # A host name would be looked up, which blocks the node.
        IPv4Address(address.host)
    except (AddressValueError, ValueError) as error:
        return str(error)
    return None if address.port else f'{text!r} has no port'
