"""Watches what operators declare, where this node is a reader of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.logs import get_logger
from bluebellsill.rendezvous import rank

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.operator_feed import (
        FeedFailure,
        FeedNews,
        FeedSnapshot,
        OperatorFeed,
    )
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.timers import TimerService

__all__ = ('FeedReader',)

_CHECK_PERIOD = 0.2  # seconds
_WATCH_SECONDS = 3.0  # a cut that drops packets shows after that
_MIN_BACKOFF = 0.2  # seconds
_MAX_BACKOFF = 2.0  # seconds
_LOST_AFTER = 2  # failures in a row until another node is to read
_LOST_SECONDS = 5.0  # until a node that could not read tries again
_LONELY_SECONDS = 1.0  # without news from peers until any node reads
_SOURCE = 'store'


class FeedReader:
    """Keeps one watch a zone on the store.

    The reader of a zone follows from the members, so nothing is elected.
    One that cannot read says so, and the next node takes its place. All
    others hear from the readers, so that the calls of the store grow with
    the zones and not with the nodes.
    """

    def __init__(
        self,
        feed: OperatorFeed,
        state: OperatorState,
        members: Members,
        timers: TimerService,
        random: Random,
    ) -> None:
        """Create a reader; ``start`` begins its work."""
        self._is_stopped = False
        self._feed = feed
        self._state = state
        self._members = members
        self._timers = timers
        self._random = random
        self._cursor = 0
        self._is_busy = False
        self._failures = 0
        self._is_reading = False
        self._started_at = timers.clock.now()
        self._log = get_logger('feed')

    def start(self, *, immediate: bool = False) -> None:
        """Look from time to time whether this node is to read.

        Args:
            immediate: Whether callers wait, so that it looks at once.
        """
        self._timers.every(_CHECK_PERIOD, self._check)
        if immediate:
            self._check()

    def stop(self) -> None:
        """Read no more, and let another node of the zone take over."""
        self._is_stopped = True
        self._members.update_own(is_store_lost=True)

    @property
    def is_reader(self) -> bool:
        """Whether this node reads for its zone."""
        own = self._members.own
        in_zone = self._members.live_in_zone(own.zone)
        able = [one.id for one in in_zone if not one.is_store_lost]
        ids = able or [one.id for one in in_zone]
        return own.id in rank(own.zone, ids, 1)

    def _check(self) -> None:
        if self._is_busy or self._is_stopped:
            return
        has_nothing = not self._state.revision
        is_lonely = has_nothing and (
            self._timers.clock.now() - self._started_at > _LONELY_SECONDS
        )
        is_reader = self.is_reader
        if is_reader != self._is_reading:
            self._is_reading = is_reader
            self._log.info('reader changed', is_reader=is_reader)
        if is_reader or is_lonely:
            self._read_on()

    def _read_on(self) -> None:
        self._is_busy = True
        if not self._state.revision or not self._state.plan:
            self._feed.read(self._on_read)
            return
        self._cursor = max(self._cursor, self._state.revision)
        self._feed.watch(self._cursor, _WATCH_SECONDS, self._on_news)

    def _on_read(self, done: Result[FeedSnapshot, FeedFailure]) -> None:
        if isinstance(done, Err):
            self._on_failed(done.err_value)
            return
        snapshot = done.ok_value
        self._cursor = snapshot.revision
        self._on_succeeded()
        self._state.take_snapshot(snapshot, _SOURCE)
        if snapshot.document:
            self._go_on()
        else:
            self._wait(_MIN_BACKOFF)

    def _on_news(self, done: Result[FeedNews, FeedFailure]) -> None:
        if isinstance(done, Err):
            if done.err_value.is_history_gone:
                self._log.info('history is gone', after=self._cursor)
                self._feed.read(self._on_read)
            else:
                self._on_failed(done.err_value)
            return
        news = done.ok_value
        self._cursor = max(self._cursor, news.revision)
        self._on_succeeded()
        self._state.take_changes(news.changes, _SOURCE)
        self._go_on()

    def _go_on(self) -> None:
        self._is_busy = False
        self._check()

    def _on_succeeded(self) -> None:
        if self._failures:
            self._log.info('store regained', failures=self._failures)
        self._failures = 0
        self._restate_able()

    def _on_failed(self, failure: FeedFailure) -> None:
        self._failures += 1
        self._log.warning(
            'store not read',
            reason=failure.reason,
            failures=self._failures,
            cursor=self._cursor,
        )
        is_lost = self._members.own.is_store_lost
        if self._failures >= _LOST_AFTER and not is_lost:
            self._members.update_own(is_store_lost=True)
            self._timers.after(_LOST_SECONDS, self._try_again)
        backoff = min(_MAX_BACKOFF, _MIN_BACKOFF * 2**self._failures)
        self._wait(backoff * self._random.uniform(0.5, 1))

    def _wait(self, seconds: float) -> None:
        self._timers.after(seconds, self._go_on)

    def _try_again(self) -> None:
        self._failures = 0
        self._restate_able()

    def _restate_able(self) -> None:
        if self._members.own.is_store_lost and not self._is_stopped:
            self._members.update_own(is_store_lost=False)
