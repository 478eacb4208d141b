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
    ZoneWritten,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.platform.kv_store import (
        Item,
        ItemEvent,
        ItemPage,
        ItemWatch,
        KvFailure,
        KvStore,
    )

__all__ = ('DOCUMENT_KEY', 'ZONE_PREFIX', 'OperatorKeys')

_PREFIX = 'op/'
DOCUMENT_KEY = 'op/config'
ZONE_PREFIX = 'op/evacuate/'


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
        self._read_page('', [], 0, on_done)

    def watch(
        self,
        revision: int,
        wait: float,
        on_done: Callable[[Result[FeedUpdate, FeedFailure]], None],
    ) -> None:
        """Wait up to ``wait`` seconds for the changes after a revision."""
        self._store.watch(
            _PREFIX,
            revision,
            wait,
            lambda done: on_done(_feed_update(done)),
        )

    def _read_page(
        self,
        after: str,
        items: list[Item],
        revision: int,
        on_done: Callable[[Result[FeedSnapshot, FeedFailure]], None],
    ) -> None:
        def on_page(done: Result[ItemPage, KvFailure]) -> None:
            if isinstance(done, Err):
                on_done(Err(_failure(done.err_value)))
                return
            page = done.ok_value
            read = [*items, *page.items]
            # Pages are read one after another, so a later page may contain
            # newer data; only the first revision is valid for all pages.
            first = revision or page.current_rev
            if page.more_pages and page.items:
                self._read_page(page.items[-1].key, read, first, on_done)
            else:
                on_done(Ok(_snapshot(read, first)))

        self._store.range(_PREFIX, after, on_page)


def _snapshot(items: list[Item], revision: int) -> FeedSnapshot:
    document = b''
    zones: list[str] = []
    for item in items:
        if item.key == DOCUMENT_KEY:
            document = item.value
        elif item.key.startswith(ZONE_PREFIX):
            zones.append(item.key.removeprefix(ZONE_PREFIX))
    return FeedSnapshot(revision, document, tuple(sorted(zones)))


def _feed_update(
    done: Result[ItemWatch, KvFailure],
) -> Result[FeedUpdate, FeedFailure]:
    if isinstance(done, Err):
        return Err(_failure(done.err_value))
    watch = done.ok_value
    changes = [_change(event) for event in watch.events]
    known = tuple(change for change in changes if change is not None)
    return Ok(FeedUpdate(known, watch.current_rev))


def _change(event: ItemEvent) -> FeedChange | None:
    if event.key.startswith(ZONE_PREFIX):
        zone = event.key.removeprefix(ZONE_PREFIX)
        return ZoneWritten(event.revision, zone, is_out=not event.deleted)
    if event.key == DOCUMENT_KEY and event.value is not UNSET:
        return DocumentWritten(event.revision, event.value)
    return None


def _failure(failure: KvFailure) -> FeedFailure:
    is_gone = failure.status == HTTPStatus.GONE
    return FeedFailure(failure.reason, is_history_discarded=is_gone)
