"""Finds other nodes by the platform's store, and is found there."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.logs import get_logger
from bluebellsill.node_directory import DirectoryEntry

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.node_directory import DirectoryFailure, NodeDirectory
    from bluebellsill.peer_stack import PeerStack
    from bluebellsill.timers import TimerService

__all__ = ('Discovery',)

# Entries of one zone; a few are enough to meet, whatever the zone's size.
_ENTRIES_PER_ZONE = 8
_FIRST_SPREAD = 0.3  # seconds over which nodes that start together call
_ALONE_PERIOD = 1.0  # seconds between looks while no peer is known
_CHECK_PERIOD = 10.0  # seconds between looks whether the entry is there
_IDLE_PERIOD = 60.0  # seconds between looks without an entry of its own
_MAX_BACKOFF = 4.0  # seconds
_MEETINGS = 8  # strangers that are asked at once
_RENEWALS = 3  # in the lifetime of an entry
_EARLIEST = 0.75  # of a period; spreads the looks of nodes that began together


class Discovery:
    """Keeps a few entries a zone in the store, and reads them to meet.

    Membership itself spreads from node to node; the store is only where
    nodes that know nobody meet. An entry may vanish without a word, so it
    is looked for from time to time.
    """

    def __init__(
        self,
        directory: NodeDirectory,
        peers: PeerStack,
        timers: TimerService,
        random: Random,
        lease_seconds: float,
    ) -> None:
        """Create a discovery; ``start`` begins its work.

        Args:
            directory: The entries in the store.
            peers: The membership to join.
            timers: Drive the looks.
            random: Spreads the calls of nodes that start together.
            lease_seconds: How long an entry lasts without a renewal.
        """
        self.is_stopped = False
        self._directory = directory
        self._peers = peers
        self._members: Members = peers.members
        self._timers = timers
        self._random = random
        self._renew_period = lease_seconds / _RENEWALS
        self._is_registered = False
        self._failures = 0
        self._log = get_logger('discovery')

    def start(self, *, hurries: bool = False) -> None:
        """Look for other nodes soon.

        Args:
            hurries: Whether callers wait, so that calls are not spread.
        """
        delay = self._random.uniform(0, _FIRST_SPREAD)
        self._timers.after(0 if hurries else delay, self._look)
        self._timers.every(self._renew_period, self._renew)

    @property
    def is_alone(self) -> bool:
        """Whether no other node is known to live."""
        return len(self._members.live()) <= 1

    def _look(self) -> None:
        if not self.is_stopped:
            self._directory.list_nodes(self._on_listed)

    def _on_listed(
        self,
        done: Result[list[DirectoryEntry], DirectoryFailure],
    ) -> None:
        if isinstance(done, Err):
            self._on_failed(done.err_value)
            return
        self._failures = 0
        entries = done.ok_value
        known = self._members.by_id
        strangers = [
            entry.node_id for entry in entries if entry.node_id not in known
        ]
        self._peers.swim.seeds = strangers
        if strangers:
            some = self._random.sample(
                strangers, min(_MEETINGS, len(strangers))
            )
            self._log.info('meeting', strangers=len(strangers), asked=some)
            self._peers.gossip_task.meet(some)
        own = self._members.own
        self._is_registered = any(one.node_id == own.id for one in entries)
        in_zone = Counter(entry.zone for entry in entries)[own.zone]
        if not self._is_registered and in_zone < _ENTRIES_PER_ZONE:
            entry = DirectoryEntry(own.id, own.zone)
            self._directory.register(entry, self._on_registered)
        else:
            self._look_later()

    def _on_registered(self, done: Result[None, DirectoryFailure]) -> None:
        if isinstance(done, Err):
            self._on_failed(done.err_value)
            return
        self._log.info('registered', node=self._members.own.id)
        self._is_registered = True
        self._look_later()

    def _on_failed(self, failure: DirectoryFailure) -> None:
        self._failures += 1
        self._log.warning(
            'directory not reached',
            reason=failure.reason,
            failures=self._failures,
        )
        backoff = min(_MAX_BACKOFF, _ALONE_PERIOD * 2 ** (self._failures - 1))
        self._timers.after(backoff * self._random.uniform(0.5, 1), self._look)

    def _look_later(self) -> None:
        if self.is_alone:
            period = _ALONE_PERIOD
        elif self._is_registered:
            period = _CHECK_PERIOD
        else:
            period = _IDLE_PERIOD
        self._timers.after(
            period * self._random.uniform(_EARLIEST, 1), self._look
        )

    def _renew(self) -> None:
        if self._is_registered and not self.is_stopped:
            self._directory.renew(self._on_renewed)

    def _on_renewed(self, done: Result[None, DirectoryFailure]) -> None:
        if isinstance(done, Err):
            # The next look finds out whether the entry is still there.
            self._log.warning('not renewed', reason=done.err_value.reason)
