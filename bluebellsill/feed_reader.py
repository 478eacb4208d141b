"""Store watch of the node that is the reader of its availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.logs import get_logger
from bluebellsill.rendezvous import rank
from bluebellsill.replica_version import NO_VERSION

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.operator_feed import (
        FeedFailure,
        FeedSnapshot,
        FeedUpdate,
        OperatorFeed,
    )
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.timers import TimerService

__all__ = ('FeedReader',)

_CHECK_PERIOD = 0.2  # seconds between checks of the reader role
# Seconds. A network partition that drops packets is detected only when a
# watch times out, so the wait is short.
_WATCH_WAIT = 3.0
# Seconds. While it is unknown whether the store still has the position, a
# watch must not wait: a store that was restored and has reached the same
# revision again would answer only at the end.
_UNVERIFIED_WAIT = 0
_MIN_BACKOFF = 0.2  # seconds
_MAX_BACKOFF = 2.0  # seconds
_FAILURES_UNTIL_LOST = 2  # consecutive failures before another node reads
_LOST_RETRY_DELAY = 5.0  # seconds until a node that lost the store retries
_PEER_DATA_TIMEOUT = 1.0  # seconds without peer data until any node reads
_SOURCE = 'store'


class FeedReader:
    """Keeps one watch per availability zone on the store.

    Each node derives the reader of its zone from the members, so no
    election is needed. A reader that cannot reach the store announces it,
    and the next node takes over. All other nodes receive the data from the
    readers, so that the load on the store grows with the number of zones
    and not of nodes. In a fleet that starts, a node that knows no other one
    does not take itself for the reader until it has received no data for
    some time. A restarted node reads at once, since callers wait.
    """

    def __init__(
        self,
        feed: OperatorFeed,
        state: OperatorState,
        members: Members,
        timers: TimerService,
        random: Random,
    ) -> None:
        """Create a reader; call ``start`` to activate it."""
        self._is_stopped = False
        self._feed = feed
        self._state = state
        self._members = members
        self._timers = timers
        self._random = random
        self._cursor = NO_VERSION.position
        self._is_verified = False
        self._has_pending_read = False
        # Whether the snapshot that replaces a lost position has been requested
        # and no watch has succeeded since.
        self._has_lost_position = False
        self._failures = 0
        self._was_reader = False
        self._started_at = timers.clock.now()
        self._may_read_alone = False
        self._log = get_logger('feed')

    def start(self, *, immediate: bool = False) -> None:
        """Check periodically whether this node has to read.

        Args:
            immediate: Whether to check at once, because callers wait.
        """
        self._timers.every(_CHECK_PERIOD, self._check)
        if immediate:
            self._may_read_alone = True
            self._check()

    def stop(self) -> None:
        """Stop reading, and let another node of the zone take over."""
        self._is_stopped = True
        self._members.update_own(is_store_lost=True)

    @property
    def is_reader(self) -> bool:
        """Whether this node is the reader of its availability zone."""
        own = self._members.own
        zone_members = self._members.live_in_zone(own.zone)
        candidate_ids = [
            member.id for member in zone_members if not member.is_store_lost
        ]
        ids = candidate_ids or [member.id for member in zone_members]
        return own.id in rank(own.zone, ids, 1)

    @property
    def _is_store_lost_in_zone(self) -> bool:
        """Whether a node of this availability zone has lost the store."""
        zone_members = self._members.live_in_zone(self._members.own.zone)
        return any(member.is_store_lost for member in zone_members)

    def _check(self) -> None:
        if self._has_pending_read or self._is_stopped:
            return
        is_overdue = (
            self._timers.clock.now() - self._started_at > _PEER_DATA_TIMEOUT
        )
        is_peer_data_overdue = is_overdue and not self._state.position.revision
        may_read = (
            self._may_read_alone or is_overdue or len(self._members.live()) > 1
        )
        is_reader = self.is_reader and may_read
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            self._is_verified = (
                self._is_verified and not self._is_store_lost_in_zone
            )
            self._log.info('reader changed', is_reader=is_reader)
        if is_reader or is_peer_data_overdue:
            self._send_read()

    def _send_read(self) -> None:
        self._has_pending_read = True
        self._cursor = max(self._cursor, self._state.position)
        if not self._cursor.revision:
            self._feed.read(self._on_read_done)
            return
        wait = _WATCH_WAIT if self._is_verified else _UNVERIFIED_WAIT
        self._feed.watch(self._cursor, wait, self._on_watch_done)

    def _on_read_done(self, outcome: Result[FeedSnapshot, FeedFailure]) -> None:
        if isinstance(outcome, Err):
            self._on_failure(outcome.err_value)
            return
        snapshot = outcome.ok_value
        self._log.info(
            'snapshot read',
            epoch=snapshot.position.epoch,
            revision=snapshot.position.revision,
            in_force=self._state.position.revision,
            document_bytes=len(snapshot.document),
            zones_out=list(snapshot.zones_out),
        )
        self._cursor = snapshot.position
        self._on_success()
        self._state.apply_snapshot(snapshot, _SOURCE)
        self._read_next()

    def _on_watch_done(self, outcome: Result[FeedUpdate, FeedFailure]) -> None:
        if isinstance(outcome, Err):
            failure = outcome.err_value
            if failure.is_position_lost and not self._has_lost_position:
                self._has_lost_position = True
                self._log.info(
                    'position lost, reading a snapshot',
                    reason=failure.reason,
                    epoch=self._cursor.epoch,
                    revision=self._cursor.revision,
                )
                self._feed.read(self._on_read_done)
            else:
                self._on_failure(failure)
            return
        update = outcome.ok_value
        self._has_lost_position = False
        self._cursor = max(self._cursor, update.position)
        self._on_success()
        self._state.apply_update(update, _SOURCE)
        self._read_next()

    def _read_next(self) -> None:
        self._has_pending_read = False
        self._check()

    def _on_success(self) -> None:
        if self._failures:
            self._log.info('store regained', failures=self._failures)
        self._failures = 0
        self._is_verified = True
        self._clear_store_lost()

    def _on_failure(self, failure: FeedFailure) -> None:
        self._failures += 1
        self._is_verified = False
        self._has_lost_position = False
        self._log.warning(
            'store not read',
            reason=failure.reason,
            failures=self._failures,
            epoch=self._cursor.epoch,
            revision=self._cursor.revision,
        )
        is_marked_lost = self._members.own.is_store_lost
        if self._failures >= _FAILURES_UNTIL_LOST and not is_marked_lost:
            self._members.update_own(is_store_lost=True)
            self._timers.after(_LOST_RETRY_DELAY, self._retry_store)
        backoff = min(_MAX_BACKOFF, _MIN_BACKOFF * 2**self._failures)
        self._read_after(backoff * self._random.uniform(0.5, 1))

    def _read_after(self, seconds: float) -> None:
        self._timers.after(seconds, self._read_next)

    def _retry_store(self) -> None:
        self._failures = 0
        self._clear_store_lost()

    def _clear_store_lost(self) -> None:
        if self._members.own.is_store_lost and not self._is_stopped:
            self._members.update_own(is_store_lost=False)
