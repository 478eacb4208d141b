"""Discovers other nodes through the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.backoff import exponential_backoff
from bluebellsill.logs import get_logger
from bluebellsill.node_directory import DirectoryEntry
from bluebellsill.registration import RegistrationPolicy

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.node_directory import DirectoryFailure, NodeDirectory
    from bluebellsill.peer_stack import PeerStack
    from bluebellsill.timers import Timer, TimerService

__all__ = ('Discovery',)

# Seconds over which the first polls of nodes that start together are spread.
_START_JITTER = 0.3
_ALONE_PERIOD = 1.0  # seconds between polls while no peer is known
_FIRST_ALONE_PERIOD = 0.5  # seconds between the first of these polls
_FIRST_ALONE_POLLS = 5  # polls at the shorter period
# Seconds between polls that check whether the node's own entry still exists.
_REGISTERED_PERIOD = 5.0
# Seconds between the first polls after a registration. Groups of nodes that
# started together and met at different entries join through them.
_EARLY_PERIOD = 1.0
_EARLY_POLLS = 4  # polls at that period
_MAX_READ_AGE = 3.0  # seconds that the entries of a poll may lag behind
_UNREGISTERED_PERIOD = 60.0  # seconds between polls without an entry
# Seconds between checks whether this node has become one that registers; the
# members of a zone are known to all of its nodes within about that time.
_ROLE_CHECK_PERIOD = 1.0
_MAX_BACKOFF = 4.0  # longest wait in seconds after a failed call
_MAX_CONTACTS = 8  # unknown nodes that are contacted after one poll
_RENEWALS_PER_LEASE = 3
# Shortest time between polls as a fraction of the period; spreads the polls of
# nodes that start together.
_MIN_PERIOD_FRACTION = 0.75


class Discovery:
    """Registers a few nodes of each zone in the store and polls for others.

    Membership itself is gossiped from node to node; the store only serves
    to find a first peer. An entry may disappear without notice, so each
    registered node checks periodically that its own still exists. The calls
    of the store grow with the number of zones: only the few registered nodes
    read often; the others read at their start and once a minute.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        peers: PeerStack,
        timers: TimerService,
        random: Random,
        lease_seconds: float,
    ) -> None:
        """Create a discovery; ``start`` begins to poll.

        Args:
            directory: The entries in the store.
            peers: The membership to join.
            timers: Schedule the polls and the renewals.
            random: Adds jitter to polls and selects the nodes to contact.
            lease_seconds: Lifetime of an entry without renewal.
        """
        self.is_stopped = False
        self._directory = directory
        self._peers = peers
        self._members: Members = peers.members
        self._timers = timers
        self._random = random
        self._renew_period = lease_seconds / _RENEWALS_PER_LEASE
        self._is_registered = False
        self._registered_at: float = 0
        self._policy = RegistrationPolicy(peers.members, random, timers.clock)
        self._poll_timer: Timer | None = None
        self._polls_alone = 0
        self._early_polls = 0
        # Whether the next poll must read the newest entries, since the store
        # may have lost this node's own.
        self._needs_exact_poll = False
        self._failures = 0
        self._log = get_logger('discovery')

    def start(self, *, immediate: bool = False) -> None:
        """Poll the directory soon and renew the entry from then on.

        Args:
            immediate: Whether to poll at once, without jitter, because callers
                are waiting.
        """
        if immediate:
            self._policy.on_restart()
        delay = self._random.uniform(0, _START_JITTER)
        self._schedule(0 if immediate else delay)
        self._timers.every(self._renew_period, self._renew)
        self._timers.every(_ROLE_CHECK_PERIOD, self._check_role)

    def on_store_restored(self) -> None:
        """Check whether the restored store still has the node's entry."""
        if not self._is_registered or self.is_stopped:
            return
        self._needs_exact_poll = True
        if self._poll_timer is not None:
            self._poll_timer.cancel()
            self._schedule(self._random.uniform(0, _START_JITTER))

    @property
    def is_alone(self) -> bool:
        """Whether no other live node is known."""
        return len(self._members.live()) <= 1

    def _schedule(self, seconds: float) -> None:
        self._poll_timer = self._timers.after(seconds, self._poll)

    def _poll(self) -> None:
        self._poll_timer = None
        if self.is_stopped:
            return
        is_exact = self._needs_exact_poll
        self._directory.list_nodes(
            lambda done: self._on_listed(done, is_exact=is_exact),
            allow_stale=not is_exact,
        )

    def _check_role(self) -> None:
        """Poll at once if this node has to register since members changed."""
        self._policy.observe()
        timer = self._poll_timer
        if timer is None or self._failures or self._is_registered:
            return
        if self._policy.is_chosen():
            timer.cancel()
            self._poll()

    def _on_listed(
        self,
        done: Result[list[DirectoryEntry], DirectoryFailure],
        *,
        is_exact: bool,
    ) -> None:
        if isinstance(done, Err):
            self._on_failed(done.err_value)
            return
        self._failures = 0
        entries = done.ok_value
        known = self._members.by_id
        unknown = [
            entry.node_id for entry in entries if entry.node_id not in known
        ]
        self._peers.swim.seeds = unknown
        if unknown:
            contacts = self._random.sample(
                unknown, min(_MAX_CONTACTS, len(unknown))
            )
            self._log.info('meeting', strangers=len(unknown), asked=contacts)
            self._peers.gossip_task.sync_with(contacts)
        own = self._members.own
        is_listed = any(one.node_id == own.id for one in entries)
        written_ago = self._timers.clock.now() - self._registered_at
        is_new = self._is_registered and written_ago <= _MAX_READ_AGE
        self._is_registered = is_listed or (is_new and not is_exact)
        if is_exact:
            self._needs_exact_poll = False
        if not self._is_registered and self._policy.must_register():
            entry = DirectoryEntry(own.id, own.zone)
            self._directory.register(entry, self._on_registered)
        else:
            self._schedule_poll()

    def _on_registered(self, done: Result[None, DirectoryFailure]) -> None:
        if isinstance(done, Err):
            self._on_failed(done.err_value)
            return
        self._log.info(
            'registered in node directory', node=self._members.own.id
        )
        self._is_registered = True
        self._registered_at = self._timers.clock.now()
        self._early_polls = _EARLY_POLLS
        self._schedule_poll()

    def _on_failed(self, failure: DirectoryFailure) -> None:
        self._failures += 1
        self._log.warning(
            'node directory call failed',
            reason=failure.reason,
            failures=self._failures,
        )
        backoff = exponential_backoff(
            _ALONE_PERIOD, self._failures - 1, _MAX_BACKOFF
        )
        self._schedule(backoff * self._random.uniform(0.5, 1))

    def _schedule_poll(self) -> None:
        period = self._next_period()
        self._schedule(period * self._random.uniform(_MIN_PERIOD_FRACTION, 1))

    def _next_period(self) -> float:
        """Return the longest time in seconds until the next poll."""
        if self._needs_exact_poll:
            return _START_JITTER
        if self.is_alone:
            self._polls_alone += 1
            is_early = self._polls_alone <= _FIRST_ALONE_POLLS
            return _FIRST_ALONE_PERIOD if is_early else _ALONE_PERIOD
        if self._early_polls:
            self._early_polls -= 1
            return _EARLY_PERIOD
        return (
            _REGISTERED_PERIOD if self._is_registered else _UNREGISTERED_PERIOD
        )

    def _renew(self) -> None:
        if self._is_registered and not self.is_stopped:
            self._directory.renew(self._on_renewed)

    def _on_renewed(self, done: Result[None, DirectoryFailure]) -> None:
        if isinstance(done, Err):
            # The next poll finds out whether the entry still exists.
            self._log.warning(
                'node directory entry not renewed',
                reason=done.err_value.reason,
            )
