"""Reading of the operators' declarations from the store, at each node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.backoff import exponential_backoff
from bluebellsill.logs import get_logger
from bluebellsill.replica_version import NO_VERSION

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.confirmations import Confirmations
    from bluebellsill.membership import Members
    from bluebellsill.operator_feed import (
        FeedFailure,
        FeedSnapshot,
        FeedUpdate,
        OperatorFeed,
        PendingWatch,
    )
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.reading_order import ReadingOrder
    from bluebellsill.timers import TimerService
    from bluebellsill.view_age import ViewAge

__all__ = ('FeedReader',)

_CHECK_PERIOD = 0.1  # seconds between checks of the role and the view's age
# Seconds. The watch of the node that confirms the views is short, because an
# answer that gets lost is noticed only at its end.
_CONFIRMING_WAIT = 2.0
_WATCH_WAIT = 25.0  # seconds; of the other readers
# Seconds. While it is unknown whether the store still has the position, a
# watch must not wait: a store that was restored and has reached the same
# revision again would answer only at the end.
_UNVERIFIED_WAIT = 0
# Seconds since an answer to a watch for which the store's answers to other
# calls show that the next watch is in place.
_MAX_UNVERIFIED = 2.7
# Seconds by which a watch may deliver a change later than peers do.
_MAX_BEHIND = 0.5
_MIN_BACKOFF = 0.2  # seconds
_MAX_BACKOFF = 2.0  # seconds
# Seconds between the calls of a node that stands by while nobody is answered.
# It has to notice within 3 s that the store answers it again.
_STANDBY_PERIOD = 2.4
_MIN_PERIOD_FRACTION = 0.8  # spreads these calls
_FAILURES_UNTIL_LOST = 2  # consecutive failures before another node reads
_LOST_RETRY_DELAY = 5.0  # seconds until a node that lost the store retries
_PEER_DATA_TIMEOUT = 1.0  # seconds without peer data until any node reads
# Seconds for which a node that took over for readers goes on reading after
# others have confirmed its view in time.
_STAND_IN_TIME = 2.0
# Seconds. A node that stands in confirms the views before the next one in the
# order asks, and after the first reader does if it is back.
_STAND_IN_PATIENCE = 0.7
_SOURCE = 'store'


class FeedReader:
    """Reads the store as far as the other nodes do not.

    One reader in each zone keeps a watch, and the first of them confirms the
    views of all nodes: every node knows how old its own view may be. Where it
    gets older than the ``ReadingOrder`` allows, the node asks the store itself,
    whatever it believes of the readers, and stands in for them. A cheap call
    shows whether the store answers before a watch is sent, so that nodes ask
    often at a low price while it is down.

    In a fleet that starts, a node that knows no other one does not take itself
    for the reader until it has received no data for some time. A restarted
    node reads at once, since callers wait.
    """

    def __init__(
        self,
        feed: OperatorFeed,
        state: OperatorState,
        members: Members,
        order: ReadingOrder,
        confirmations: Confirmations,
        view: ViewAge,
        timers: TimerService,
        random: Random,
    ) -> None:
        """Create a reader; call ``start`` to activate it."""
        self._is_stopped = False
        self._feed = feed
        self._state = state
        self._members = members
        self._order = order
        self._confirmations = confirmations
        self._view = view
        self._timers = timers
        self._clock = timers.clock
        self._random = random
        self._cursor = NO_VERSION.position
        self._is_verified = False
        self._verified_at: float | None = None
        self._is_reading = False  # whether a read of all keys is in flight
        self._watch: PendingWatch | None = None
        self._is_verifying = False  # whether the watch does not wait
        # Since when peers have had changes that the watch has not delivered.
        self._behind_since: float | None = None
        self._is_pinging = False
        # Whether this node confirmed the view last when a watch was answered.
        self._is_confirming = False
        # Whether the snapshot that replaces a lost position has been requested
        # and no watch has succeeded since.
        self._has_lost_position = False
        self._failures = 0
        self._retry_at: float = 0  # no call is made before
        self._was_reader = False
        # When this node last confirmed the view in place of the readers; None
        # while it does not stand in for them.
        self._stood_in_at: float | None = None
        self._started_at = self._clock.now()
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
    def _patience(self) -> float:
        """The age in seconds of its view at which this node asks the store."""
        patience = self._order.patience
        if self._stood_in_at is None:
            return patience
        return min(patience, _STAND_IN_PATIENCE)

    @property
    def _is_due(self) -> bool:
        """Whether it is this node's turn to confirm the view."""
        return self._view.seconds > self._patience

    def _check(self) -> None:
        if self._is_stopped:
            return
        now = self._clock.now()
        has_data = bool(self._state.position.revision)
        is_overdue = now - self._started_at > _PEER_DATA_TIMEOUT
        may_read = (
            self._may_read_alone or is_overdue or len(self._members.live()) > 1
        )
        self._update_role(is_reader=self._order.is_reader and may_read)
        if self._is_wanted(is_data_overdue=is_overdue and not has_data):
            self._keep_reading(now)
        else:
            self._drop_watch()
        if not has_data:
            self._view.restart()
        elif self._is_due:
            self._ask(now)

    def _is_wanted(self, *, is_data_overdue: bool) -> bool:
        """Whether this node has to follow the store."""
        is_standing_in = self._stood_in_at is not None
        return self._was_reader or is_standing_in or is_data_overdue

    def _update_role(self, *, is_reader: bool) -> None:
        if is_reader != self._was_reader:
            self._was_reader = is_reader
            self._is_verified = (
                self._is_verified and not self._order.is_store_lost_in_zone
            )
            self._log.info('reader changed', is_reader=is_reader)
        since = self._stood_in_at
        if since is not None and self._clock.now() - since > _STAND_IN_TIME:
            self._stood_in_at = None
            self._log.info(
                'no longer standing in for the readers',
                view_age=round(self._view.seconds, 3),
                confirmed_by=self._view.source,
            )

    def _drop_watch(self) -> None:
        """Cancel the pending watch, unless its answer is arriving."""
        if self._watch is not None and not self._watch.is_receiving:
            self._watch.cancel()
            self._watch = None

    def _keep_reading(self, now: float) -> None:
        """Send the next call, after failures a cheap one first."""
        if self._is_reading or self._is_watching(now):
            return
        if self._failures >= _FAILURES_UNTIL_LOST:
            self._ask(now)
        elif now >= self._retry_at:
            self._send_read()

    def _is_watching(self, now: float) -> bool:
        """Whether a watch is pending; drop one that does not deliver."""
        if self._cursor >= self._state.position:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since > _MAX_BEHIND:
            self._behind_since = None
            self._is_verified = False
            self._drop_watch()
        return self._watch is not None

    def _send_read(self) -> None:
        self._cursor = max(self._cursor, self._state.position)
        if not self._cursor.revision:
            self._send_full_read()
            return
        wait: float = _UNVERIFIED_WAIT
        if self._is_verified:
            wait = _CONFIRMING_WAIT if self._is_confirming else _WATCH_WAIT
        sent_at = self._clock.now()
        self._is_verifying = not wait
        self._watch = self._feed.watch(
            self._cursor,
            wait,
            lambda outcome: self._on_watch_done(outcome, sent_at, wait),
        )

    def _send_full_read(self) -> None:
        self._is_reading = True
        sent_at = self._clock.now()
        self._feed.read(lambda outcome: self._on_read_done(outcome, sent_at))

    def _ask(self, now: float) -> None:
        """Check whether the store answers, and then for what is newer."""
        if self._is_pinging or self._is_reading or now < self._retry_at:
            return
        watch = self._watch
        if watch is not None and (self._is_verifying or watch.is_receiving):
            return
        self._is_pinging = True
        self._log.debug(
            'view not confirmed, asking the store',
            view_age=round(self._view.seconds, 3),
            confirmed_by=self._view.source,
            is_reader=self._was_reader,
        )
        self._feed.ping(lambda outcome: self._on_pinged(outcome, now))

    def _on_pinged(
        self, outcome: Result[int, FeedFailure], sent_at: float
    ) -> None:
        self._is_pinging = False
        if self._is_stopped:
            return
        if isinstance(outcome, Err):
            self._on_failure(outcome.err_value, sent_at)
            return
        watch = self._watch
        if not self._is_due and (watch is not None or not self._was_reader):
            self._on_store_answered()
            return
        if watch is not None and self._is_in_place(outcome.ok_value):
            self._on_store_answered()
            self._confirm(sent_at)
        else:
            self._verify()

    def _is_in_place(self, epoch: int) -> bool:
        """Whether the pending watch covers what the store has now."""
        verified_at = self._verified_at
        if verified_at is None or epoch != self._cursor.epoch:
            return False
        if self._cursor < self._state.position:
            # A peer has got a change that the watch has not delivered.
            return False
        is_recent = self._clock.now() - verified_at <= _MAX_UNVERIFIED
        return self._is_verified and is_recent

    def _verify(self) -> None:
        """Ask the store for what is newer than this node's view."""
        if not self._was_reader and self._stood_in_at is None:
            self._stood_in_at = self._clock.now()
            self._log.info(
                'standing in for the readers',
                view_age=round(self._view.seconds, 3),
                confirmed_by=self._view.source,
            )
        self._drop_watch()
        if self._watch is None:
            self._is_verified = False
            self._send_read()

    def _on_read_done(
        self, outcome: Result[FeedSnapshot, FeedFailure], sent_at: float
    ) -> None:
        self._is_reading = False
        if isinstance(outcome, Err):
            self._on_failure(outcome.err_value, sent_at)
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
        self._on_verified()
        self._state.apply_snapshot(snapshot, _SOURCE)
        self._confirm(sent_at)
        self._check()

    def _on_watch_done(
        self,
        outcome: Result[FeedUpdate, FeedFailure],
        sent_at: float,
        wait: float,
    ) -> None:
        self._watch = None
        if isinstance(outcome, Err):
            self._on_watch_failed(outcome.err_value, sent_at + wait)
            return
        update = outcome.ok_value
        self._has_lost_position = False
        self._cursor = max(self._cursor, update.position)
        self._on_verified()
        self._state.apply_update(update, _SOURCE)
        self._is_confirming = self._view.source == self._members.own.id
        # At the end of the wait the answer is as new as that moment. An earlier
        # one may have waited while this process was paused.
        ends_at = sent_at + wait
        self._confirm(sent_at if ends_at > self._clock.now() else ends_at)
        self._check()

    def _on_watch_failed(self, failure: FeedFailure, due_at: float) -> None:
        if not failure.is_position_lost or self._has_lost_position:
            self._on_failure(failure, due_at)
            return
        self._has_lost_position = True
        self._log.info(
            'position lost, reading a snapshot',
            reason=failure.reason,
            epoch=self._cursor.epoch,
            revision=self._cursor.revision,
        )
        self._send_full_read()

    def _confirm(self, at: float) -> None:
        if self._stood_in_at is not None and self._is_due:
            self._stood_in_at = self._clock.now()
        self._confirmations.publish(at)

    def _on_verified(self) -> None:
        self._is_verified = True
        self._verified_at = self._clock.now()
        self._on_store_answered()

    def _on_store_answered(self) -> None:
        if self._failures:
            self._log.info('store regained', failures=self._failures)
        self._failures = 0
        self._retry_at = 0
        self._clear_store_lost()

    def _on_failure(self, failure: FeedFailure, sent_at: float) -> None:
        now = self._clock.now()
        self._failures += 1
        self._is_verified = False
        self._has_lost_position = False
        self._log.warning(
            'store not read',
            reason=failure.reason,
            failures=self._failures,
            view_age=round(self._view.seconds, 3),
            epoch=self._cursor.epoch,
            revision=self._cursor.revision,
        )
        is_marked_lost = self._members.own.is_store_lost
        has_lost = self._failures >= _FAILURES_UNTIL_LOST
        if has_lost and self._was_reader and not is_marked_lost:
            self._members.update_own(is_store_lost=True)
            self._timers.after(_LOST_RETRY_DELAY, self._clear_store_lost)
        fraction = self._random.uniform(0, 1)
        if self._state.position.revision and not self._was_reader:
            self._retry_at = sent_at + _standby_period(fraction)
        else:
            longest = exponential_backoff(
                _MIN_BACKOFF, self._failures, _MAX_BACKOFF
            )
            self._retry_at = now + longest * (1 + fraction) / 2

    def _clear_store_lost(self) -> None:
        if self._members.own.is_store_lost and not self._is_stopped:
            self._members.update_own(is_store_lost=False)


def _standby_period(fraction: float) -> float:
    """Return the seconds between two calls of a node that stands by."""
    spread = 1 - _MIN_PERIOD_FRACTION
    return _STANDBY_PERIOD * (_MIN_PERIOD_FRACTION + spread * fraction)
