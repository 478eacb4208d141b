"""Drives the failure detector and sends its datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.freshness import CHECK_PERIOD, Freshness
from bluebellsill.gossip_messages import (
    Ack,
    Applied,
    Confirmation,
    Ping,
    SuspicionQuery,
    Sync,
    SyncRequest,
    version_of,
)
from bluebellsill.logs import get_logger
from bluebellsill.messages import Message
from bluebellsill.revision_replication import Replica
from bluebellsill.rollout import RolloutTracker, readers_of
from bluebellsill.swim import PERIOD, Swim

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.gossip import Gossip
    from bluebellsill.replica_version import ReplicaVersion
    from bluebellsill.timers import TimerService

__all__ = ('GossipTask', 'ObservableReplica')

_REPORT_PERIOD = (
    2.0  # seconds between reports to readers; longer in large zones
)
# Seconds without the answer to any ping; one is sent each 0.5 s.
_CUT_OFF_AFTER = 2.0
_REPORTS_PER_SECOND = 50  # that a reader receives from all nodes of its zone


class ObservableReplica(Replica, Protocol):
    """A replica that notifies listeners of new revisions."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener to call after each new revision."""


class GossipTask:
    """Connects the failure detector to the UDP socket and the timers.

    Attributes:
        on_version: Called with the version of a peer's replica.
        on_confirmation: Called with confirmations of readers.
        on_suspicion_query: Called with the queries of other nodes.
        on_interrupted: Called after a pause of this process, or when a peer
            answers again after none has for a while, as other messages of
            that time may be lost.
    """

    def __init__(
        self,
        swim: Swim,
        gossip: Gossip,
        replica: ObservableReplica,
        rollout: RolloutTracker | None,
        timers: TimerService,
        load: Callable[[], int],
    ) -> None:
        """Create a task; its work starts with the timers.

        Args:
            swim: The failure detector.
            gossip: The socket.
            replica: The replica whose version is sent to other nodes.
            rollout: Collects the reports that this node receives as a reader;
                None in deployments without rollout status.
            timers: Call the detector periodically.
            load: Returns the number of calls in flight at the target.
        """
        self.on_version: Callable[[str, ReplicaVersion], None] | None = None
        self.on_confirmation: Callable[[Confirmation], None] | None = None
        self.on_suspicion_query: Callable[[SuspicionQuery], None] | None = None
        self.on_interrupted: Callable[[], None] | None = None
        self._answered_at: float | None = None  # the latest ping
        self._swim = swim
        self._gossip = gossip
        self._replica = replica
        self._rollout = rollout
        self._clock = timers.clock
        self._load = load
        self._reported_at: float = 0
        self._freshness = Freshness(timers.clock.now())
        self._log = get_logger('gossip')
        # Registered first, so that a pause of the process is detected before
        # other timers act on outdated state.
        timers.every(CHECK_PERIOD, self._check_freshness)
        timers.every(PERIOD, self.tick)
        timers.every(PERIOD / 4, self._check)
        if rollout is not None:
            timers.every(_REPORT_PERIOD, self._repeat_report)
        replica.subscribe(self._on_applied)

    @property
    def is_fresh(self) -> bool:
        """Whether this node may accept new work."""
        return self._freshness.is_fresh

    def tick(self) -> None:
        """Run one period of the detector."""
        self._gossip.send_all(self._swim.tick(self._clock.now()))

    def push(self) -> None:
        """Send pending updates to a few random members immediately."""
        self._gossip.send_all(self._swim.push())

    def verify(self, peer: str) -> None:
        """Ping a peer immediately because its connection was lost."""
        self._gossip.send_all(self._swim.verify(peer, self._clock.now()))

    def on_message(self, message: Message) -> None:
        """Handle one datagram."""
        if isinstance(message, Applied):
            if self._rollout is not None:
                self._rollout.on_applied(message)
            return
        if isinstance(message, Confirmation):
            self._on_confirmation(message)
            return
        if isinstance(message, SuspicionQuery):
            if self.on_suspicion_query is not None:
                self.on_suspicion_query(message)
            return
        if isinstance(message, Ack):
            self._note_contact()
            is_behind = self._replica.lacks(version_of(message))
            self._freshness.on_answer(message.sequence, is_behind=is_behind)
        self._gossip.send_all(self._swim.handle(message, self._clock.now()))
        if isinstance(message, Ping | Ack | Sync | SyncRequest):
            self._on_peer_version(message.sender.id, version_of(message))

    def sync_with(self, addresses: list[str]) -> None:
        """Request syncs from nodes, which need not be known members."""
        self._gossip.send_all(self._swim.sync_with(addresses))

    def report_applied(self) -> None:
        """Report the revision in force to the readers of this zone."""
        if self._rollout is None:
            return
        self._reported_at = self._clock.now()
        own = self._swim.members.own
        applied = Applied(
            own.id,
            own.incarnation,
            self._replica.version.position.revision,
            self._load(),
        )
        members = self._swim.members.live_in_zone(own.zone)
        for reader in readers_of(own.zone, [one.id for one in members]):
            if reader == own.id:
                self._rollout.on_applied(applied)
            else:
                self._gossip.send(reader, applied)

    def _note_contact(self) -> None:
        now = self._clock.now()
        silence = 0 if self._answered_at is None else now - self._answered_at
        self._answered_at = now
        if silence > _CUT_OFF_AFTER:
            self._log.info('contact is back', silence=round(silence, 1))
            self._report_interruption()

    def _report_interruption(self) -> None:
        if self.on_interrupted is not None:
            self.on_interrupted()

    def _on_confirmation(self, message: Confirmation) -> None:
        if self.on_confirmation is not None:
            self.on_confirmation(message)
        self._on_peer_version(message.sender_id, version_of(message))

    def _on_peer_version(self, peer: str, version: ReplicaVersion) -> None:
        if self.on_version is not None:
            self.on_version(peer, version)

    def _repeat_report(self) -> None:
        """Repeat the report, less often the larger the zone is."""
        zone = self._swim.members.own.zone
        period = (
            len(self._swim.members.live_in_zone(zone)) / _REPORTS_PER_SECOND
        )
        if self._clock.now() - self._reported_at >= period:
            self.report_applied()

    def _check(self) -> None:
        self._gossip.send_all(self._swim.check_timeouts(self._clock.now()))

    def _check_freshness(self) -> None:
        if self._freshness.check(self._clock.now()):
            self._log.warning(
                'process was paused; refusing new work until a peer answers'
            )
            self._freshness.on_paused(self._swim.next_sequence)
            self._report_interruption()
            self.push()

    def _on_applied(self) -> None:
        version = self._replica.version
        self._log.info(
            'version in force',
            epoch=version.position.epoch,
            revision=version.position.revision,
            document=version.document,
        )
        self.report_applied()
        self.push()
