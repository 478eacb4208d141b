"""The node process on the platform, with all its components."""

from __future__ import annotations

from os import urandom
from random import Random
from typing import TYPE_CHECKING

from circuits import BaseComponent, handler

from bluebellsill._signals import handle_signals
from bluebellsill.acceptance import Acceptance
from bluebellsill.caller_side import CallerSide
from bluebellsill.clock import SystemClock
from bluebellsill.confirmations import Confirmations
from bluebellsill.crash_replication import CrashReplicator
from bluebellsill.discovery import Discovery
from bluebellsill.errors import ErrorKind
from bluebellsill.feed_reader import FeedReader
from bluebellsill.graceful_stop import GracefulStop
from bluebellsill.http_server import HttpServer
from bluebellsill.logs import bind_logs, flush_logs, get_logger
from bluebellsill.lost_exclusions import LostExclusions
from bluebellsill.membership import MemberState
from bluebellsill.messages import CanaryReport, CanaryShare
from bluebellsill.metrics import Metrics
from bluebellsill.operator_state import OperatorState
from bluebellsill.peer_stack import PeerStack
from bluebellsill.platform.endpoints import (
    ExplainApi,
    MetricsApi,
    ReadyApi,
)
from bluebellsill.platform.kv_store import KvStore
from bluebellsill.platform.node_keys import LEASE_SECONDS, NodeKeys
from bluebellsill.platform.operator_keys import OperatorKeys
from bluebellsill.platform.rollout_keys import RolloutKeys, decode_order
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.quarantine import Quarantine
from bluebellsill.reactor import Reactor
from bluebellsill.readiness import Readiness
from bluebellsill.reading_order import ReadingOrder
from bluebellsill.resources import Service
from bluebellsill.rollouts import CanaryReleases
from bluebellsill.streams import Address
from bluebellsill.suspicion_sync import SuspicionSync
from bluebellsill.target_side import TargetSide
from bluebellsill.teams import RevokedKeys
from bluebellsill.timers import TimerService
from bluebellsill.view_age import ViewAge

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.mesh_settings import MeshSettings
    from bluebellsill.messages import Call

__all__ = ('MeshNode',)

_LOG_FLUSH_PERIOD = 0.1  # seconds between attempts to write log lines left over
_STATE_LOG_PERIOD = 5.0  # seconds between log lines with the gauges
_MS_PER_SECOND = 1000
_CANARY_PERIOD = 0.25  # seconds between steps of canary releases
_RANDOM_SEED_BYTES = 8  # bytes read from the operating system


class MeshNode(BaseComponent):
    """Owns the sockets and the state of one node."""

    channel = 'node'

    def __init__(
        self,
        settings: MeshSettings,
        reload: Callable[[], MeshSettings | None],
    ) -> None:
        """Create the components and bind every socket.

        Args:
            settings: The settings.
            reload: Reads the settings again; returns None if they are
                invalid.

        Raises:
            OSError: An address cannot be bound.
        """
        super().__init__()
        self._settings = settings
        self._reload = reload
        self._log = get_logger('node')
        self._clock = SystemClock()
        self._timers = TimerService(self._clock)
        self._reactor = Reactor(self._timers).register(self)
        self._random = Random(urandom(_RANDOM_SEED_BYTES))
        self._metrics = Metrics()
        self._quarantine = Quarantine()
        self._build_peers()
        self._build_releases()
        self._build_interfaces()
        self._build_gauges()
        self._store_epoch = 0  # at the last change of the operator state
        self._graceful_stop = GracefulStop(
            self._timers,
            self._in_flight,
            self._on_draining,
            self._caller_side.server.stop_accepting,
            self._caller_side.gateway.fail_open_calls,
            self._on_stopped,
        )

    # Called by the target runner.

    def refusal(self, call: Call) -> ErrorKind | None:
        """Return why this node refuses a call, None if it accepts it."""
        if self._state.plan is None:
            return ErrorKind.NOT_CONFIGURED
        if self._revoked_keys.concerns(call):
            return ErrorKind.UNAUTHORIZED
        return self._acceptance.refusal()

    def service_of(self, name: str) -> Service | None:
        """Return the declaration of a service, None if there is none."""
        return self._state.service(name)

    def on_target_changed(self) -> None:
        """Publish to the other nodes whether the target is ready."""
        if self._acceptance.is_leaving:
            return
        announcement = self._runner.announcement
        if announcement is None:
            state = MemberState.JOINING
        elif announcement.is_leaving:
            state = MemberState.LEAVING
        elif self._runner.watch.is_ready and self._suspicions.is_current:
            state = MemberState.READY
        else:
            state = MemberState.JOINING
        self._log.info('target state changed', state=state.name.lower())
        self._peers.members.update_own(
            state=state,
            service=self._settings.target.service,
            slots=announcement.slots if announcement else None,
            target_version=announcement.target_version
            if announcement
            else None,
        )
        self._peers.gossip_task.push()

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Report a crash of the target to the service's other nodes."""
        self._crashes.on_crash(start_id, fingerprints)

    def on_cleared(self, fingerprint: int) -> None:
        """Report to the service's other nodes that a suspect was answered."""
        self._crashes.on_cleared(fingerprint)

    # Construction.

    def _build_peers(self) -> None:
        settings = self._settings
        self._state = OperatorState(decode_plan)
        self._state.subscribe(self._on_operator_change)
        LostExclusions(self._state, self._timers)
        self._revoked_keys = RevokedKeys()
        address = Address.parse(settings.listen.peers)
        self._peers = PeerStack(
            self._reactor,
            address,
            settings.node.availability_zone,
            self._random,
            self._state,
            lambda: self._runner.in_flight,
            advertised=settings.listen.advertised_peers or '',
        )
        self._peers.swim.seeds = [
            str(address._replace(host=Address.parse(seed).host))
            for seed in settings.seeds
        ]
        self._acceptance = Acceptance(
            self._peers.members,
            self._state,
            lambda: (
                self._peers.gossip_task.is_fresh and self._suspicions.is_current
            ),
        )
        self._store = KvStore(
            self._reactor,
            Address.parse(settings.store.address),
        )
        self._feed_reader = self._build_feed_reader()
        self._readiness = Readiness(
            self._state,
            self._peers.members,
            self._clock,
        )
        self._discovery = Discovery(
            NodeKeys(self._store),
            self._peers,
            self._timers,
            self._random,
            LEASE_SECONDS,
        )
        self._crashes = CrashReplicator(
            self._peers.members,
            self._peers.links,
            self._quarantine,
            self._random,
        )
        # Its peers are known by the service from the start.
        self._peers.members.update_own(service=settings.target.service)
        self._suspicions = SuspicionSync(
            self._peers,
            self._quarantine,
            self._crashes,
            self._timers,
            self._random,
            is_first_start=settings.node.is_first_start,
        )
        self._suspicions.on_current = self.on_target_changed

    def _build_releases(self) -> None:
        self._releases = CanaryReleases(
            self._peers.members,
            self._peers.links,
            self._state,
            RolloutKeys(self._store),
            decode_order,
            self._clock,
            self._metrics.counts,
        )
        server = self._peers.server
        server.on(CanaryShare, lambda _, news: self._releases.on_share(news))
        server.on(CanaryReport, lambda _, got: self._releases.on_report(got))

    def _build_feed_reader(self) -> FeedReader:
        members = self._peers.members
        order = ReadingOrder(members, self._random)
        self._view = ViewAge(self._clock)
        confirmations = Confirmations(
            self._peers.gossip,
            members,
            order,
            self._state,
            self._clock,
            self._view,
        )
        self._peers.gossip_task.on_confirmation = lambda message: (
            confirmations.on_message(message, self._reactor.polled_since)
        )
        return FeedReader(
            OperatorKeys(self._store),
            self._state,
            members,
            order,
            confirmations,
            self._view,
            self._timers,
            self._random,
        )

    def _build_interfaces(self) -> None:
        settings = self._settings
        self._target_side = TargetSide(
            self._reactor,
            settings,
            self,
            self._quarantine,
            self._metrics,
        )
        self._runner = self._target_side.runner
        self._target_side.serve(self._peers.server)
        self._caller_side = CallerSide(
            self._reactor,
            settings,
            self._peers,
            self._state,
            self._quarantine,
            self._metrics,
            self._target_side,
            self._random,
            self._releases,
        )
        self._caller_side.confirm_lookups(self._view, self._state, self._timers)
        self._ready_server = HttpServer(
            self._reactor,
            Address.parse(settings.listen.ready),
            ReadyApi(self._is_ready).handle,
        )
        self._metrics_server = HttpServer(
            self._reactor,
            Address.parse(settings.listen.metrics),
            MetricsApi(
                self._metrics, ExplainApi(self._caller_side.explainer)
            ).handle,
        )

    def _build_gauges(self) -> None:
        self._metrics.gauges.update(
            store_calls=lambda: self._store.calls,
            store_epoch=lambda: self._store.epoch,
            members=lambda: len(self._peers.members.live()),
            links=lambda: len(self._peers.links),
            body_links=lambda: len(self._peers.call_links.body_links),
            body_bytes_held=lambda: (
                self._peers.call_links.held_bytes
                + self._target_side.bodies.held_bytes
            ),
            **self._peers.call_links.gauges(),
            gossip_bytes_sent=lambda: self._peers.gossip.bytes_sent,
            in_flight=lambda: self._caller_side.gateway.in_flight,
            client_connections=lambda: (
                self._caller_side.server.open_connections
            ),
            client_bytes=lambda: self._caller_side.server.budget.used,
            at_target=lambda: self._runner.in_flight,
            starts=lambda: self._metrics.counts['starts'],
            target_rate_limit=lambda: self._runner.directives.rate_limit_gauge,
            target_connections=lambda: self._runner.watch.connections.opened,
            target_responses_dropped=lambda: (
                self._runner.watch.connections.budget.dropped
            ),
            target_connections_unclean=lambda: (
                self._runner.watch.connections.unclean
            ),
            revision=lambda: self._state.position.revision,
            epoch=lambda: self._state.position.epoch,
            canaries=lambda: self._releases.running,
            canaries_acted_on=lambda: self._releases.acting,
            view_age_ms=lambda: round(self._view.seconds * _MS_PER_SECOND),
            log_lines_dropped=flush_logs,
        )

    # Lifecycle.

    @handler('started', channel='*')
    def _on_started(self, *_: object) -> None:
        handle_signals(self._reactor, self._begin_shutdown, self._on_reload)
        bind_logs(
            node=self._settings.node.name,
            zone=self._settings.node.availability_zone,
        )
        self._log.info(
            'started',
            peers=self._peers.members.own.id,
            service=self._settings.target.service,
            is_first_start=self._settings.node.is_first_start,
        )
        self._timers.every(_LOG_FLUSH_PERIOD, _flush)
        self._timers.every(_STATE_LOG_PERIOD, self._log_state)
        self._timers.every(_CANARY_PERIOD, self._releases.tick)
        is_first = self._settings.node.is_first_start
        self._discovery.start(immediate=not is_first)
        self._feed_reader.start(immediate=not is_first)
        self._peers.gossip_task.tick()

    def _log_state(self) -> None:
        """Log the gauges, so that past values can be read from the log."""
        gauges = self._metrics.gauges
        self._log.info('state', **{name: gauges[name]() for name in gauges})

    def _on_reload(self) -> None:
        settings = self._reload()
        if settings is None:
            return
        self._caller_side.bounds = settings.enforced_bounds()
        self._log.info('settings reloaded', bounds=settings.bounds)

    def _begin_shutdown(self) -> None:
        """Begin the graceful shutdown."""
        self._feed_reader.stop()
        self._discovery.is_stopped = True
        self._caller_side.server.is_closing = True
        self._peers.gossip_task.push()
        self._graceful_stop.begin(self._caller_side.bounds.grace_s)

    def _on_draining(self) -> None:
        """Refuse new and queued requests, and announce that the node leaves."""
        self._caller_side.is_draining = True
        self._caller_side.gateway.ends_at = self._graceful_stop.ends_at
        self._acceptance.is_leaving = True
        self._runner.refuse_queue(ErrorKind.LEAVING)
        self._peers.members.update_own(state=MemberState.LEAVING)
        self._peers.gossip_task.push()

    def _on_stopped(self) -> None:
        self._peers.members.update_own(state=MemberState.GONE)
        self._peers.gossip_task.push()
        flush_logs()
        self.stop()

    def _in_flight(self) -> int:
        return self._runner.in_flight + self._caller_side.gateway.in_flight

    def _is_ready(self) -> bool:
        return not self._graceful_stop.has_begun and self._readiness.is_ready()

    def _on_operator_change(self) -> None:
        is_out = self._state.is_zone_out(self._peers.members.own.zone)
        self._target_side.on_zone(is_out=is_out)
        plan = self._state.plan
        if plan is not None:
            self._caller_side.server.limits = plan.limits
            self._target_side.order.on_plan(has_teams=plan.teams is not None)
            self._revoked_keys.follow(plan.version, plan.teams)
            self._runner.refuse_queue(
                ErrorKind.UNAUTHORIZED, self._revoked_keys.concerns
            )
        if not self._settings.node.is_first_start:
            self._target_side.discover_target()
        epoch = self._state.position.epoch
        if self._store_epoch and epoch > self._store_epoch:
            self._discovery.on_store_restored()
        self._store_epoch = epoch


def _flush() -> None:
    flush_logs()
