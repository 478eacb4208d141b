"""Reads the operators' keys from the platform's metadata store."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from msgspec import UNSET
from result import Err, Ok, Result

from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedChange,
    FeedFailure,
    FeedSnapshot,
    FeedUpdate,
    OrderWritten,
    ZoneWritten,
)
from bluebellsill.replica_version import StorePosition

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.operator_feed import PendingWatch
    from bluebellsill.platform.kv_store import (
        Item,
        ItemEvent,
        ItemPage,
        ItemWatch,
        KvFailure,
        KvStore,
    )

__all__ = ('DOCUMENT_KEY', 'ORDER_PREFIX', 'ZONE_PREFIX', 'OperatorKeys')

_PREFIX = 'op/'
DOCUMENT_KEY = 'op/config'
ZONE_PREFIX = 'op/evacuate/'
ORDER_PREFIX = 'op/rollout/'


class OperatorKeys:
    """An operator feed that reads the keys starting with ``op/``."""

    def __init__(self, store: KvStore) -> None:
        """Create a feed that uses a client of the store."""
        self._store = store

    def read(
        self,
        on_done: Callable[[Result[FeedSnapshot, FeedFailure]], None],
    ) -> None:
        """Read all keys."""
        self._read_page('', [], None, on_done)

    def watch(
        self,
        position: StorePosition,
        wait: float,
        on_done: Callable[[Result[FeedUpdate, FeedFailure]], None],
    ) -> PendingWatch:
        """Wait up to ``wait`` seconds for the changes after a position."""

        def on_watched(done: Result[ItemWatch, KvFailure]) -> None:
            update = _feed_update(done, position.epoch)
            epoch = self._store.epoch
            if isinstance(update, Ok) and epoch > position.epoch:
                # A restored store gives out the lost revisions again, so it
                # may answer a watch from one of an earlier epoch.
                reason = f'store is in epoch {epoch}, not {position.epoch}'
                update = Err(FeedFailure(reason, is_position_lost=True))
            on_done(update)

        return self._store.watch(_PREFIX, position.revision, wait, on_watched)

    def ping(
        self,
        on_done: Callable[[Result[int, FeedFailure]], None],
    ) -> None:
        """Check whether the store answers; the result is its epoch."""

        def on_answered(done: Result[None, KvFailure]) -> None:
            epoch = self._store.epoch
            on_done(done.map(lambda _: epoch).map_err(_failure))

        self._store.ping(on_answered)

    def _read_page(
        self,
        after: str,
        items: list[Item],
        first: StorePosition | None,
        on_done: Callable[[Result[FeedSnapshot, FeedFailure]], None],
    ) -> None:
        def on_page(done: Result[ItemPage, KvFailure]) -> None:
            if isinstance(done, Err):
                on_done(Err(_failure(done.err_value)))
                return
            page = done.ok_value
            read = [*items, *page.items]
            # Pages are read one after another, so a later page may contain
            # newer data; only the first position is valid for all pages.
            epoch = self._store.epoch
            position = first or StorePosition(epoch, page.current_rev)
            if epoch > position.epoch:
                reason = f'store was restored in between, epoch {epoch}'
                on_done(Err(FeedFailure(reason)))
            elif page.more_pages and page.items:
                self._read_page(page.items[-1].key, read, position, on_done)
            else:
                on_done(Ok(_snapshot(read, position)))

        self._store.range(_PREFIX, after, on_page)


def _snapshot(items: list[Item], position: StorePosition) -> FeedSnapshot:
    document = b''
    zones: set[str] = set()
    orders: list[OrderWritten] = []
    for item in items:
        if item.key == DOCUMENT_KEY:
            document = item.value
        elif item.key.startswith(ZONE_PREFIX):
            zones.add(item.key.removeprefix(ZONE_PREFIX))
        elif item.key.startswith(ORDER_PREFIX):
            service = item.key.removeprefix(ORDER_PREFIX)
            orders.append(OrderWritten(item.revision, service, item.value))
    return FeedSnapshot(position, document, frozenset(zones), tuple(orders))


def _feed_update(
    done: Result[ItemWatch, KvFailure], epoch: int
) -> Result[FeedUpdate, FeedFailure]:
    if isinstance(done, Err):
        return Err(_failure(done.err_value))
    watch = done.ok_value
    changes = [_change(event) for event in watch.events]
    known = tuple(change for change in changes if change is not None)
    return Ok(FeedUpdate(known, StorePosition(epoch, watch.current_rev)))


def _change(event: ItemEvent) -> FeedChange | None:
    if event.key.startswith(ZONE_PREFIX):
        zone = event.key.removeprefix(ZONE_PREFIX)
        return ZoneWritten(event.revision, zone, is_out=not event.deleted)
    if event.key.startswith(ORDER_PREFIX):
        service = event.key.removeprefix(ORDER_PREFIX)
        payload = b'' if event.value is UNSET else event.value
        return OrderWritten(event.revision, service, payload)
    if event.key == DOCUMENT_KEY and event.value is not UNSET:
        return DocumentWritten(event.revision, event.value)
    return None


def _failure(failure: KvFailure) -> FeedFailure:
    is_gone = failure.status == HTTPStatus.GONE
    is_lost = is_gone or failure.is_unusable
    return FeedFailure(failure.reason, is_position_lost=is_lost)
