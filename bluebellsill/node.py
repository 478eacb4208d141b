"""The node process, which serves one target, with all its components."""

from __future__ import annotations

import sys
from os import urandom
from random import Random
from time import time
from typing import TYPE_CHECKING, Any

from circuits import BaseComponent, Event, handler
from msgspec import json

from bluebellsill._signals import handle_signals
from bluebellsill.acceptance import Acceptance
from bluebellsill.balancing_policy import make_balancing_policy
from bluebellsill.body_transfer import BodyReceiver
from bluebellsill.caller_interface import NativeInterface
from bluebellsill.clock import SystemClock
from bluebellsill.configuration import Configuration
from bluebellsill.configuration_reader import ConfigurationReader
from bluebellsill.configuration_writer import ConfigurationWriter
from bluebellsill.crash_replication import CrashReplicator
from bluebellsill.gateway import Gateway
from bluebellsill.http import Request
from bluebellsill.http_server import HttpServer, Reply
from bluebellsill.key_registry import KeyRegistry
from bluebellsill.logs import bind_logs, get_logger
from bluebellsill.membership import MemberState
from bluebellsill.messages import (
    Call,
    ZoneReportRequest,
)
from bluebellsill.metrics import Metrics
from bluebellsill.operator_api import OperatorApi
from bluebellsill.peer_calls import PeerCalls
from bluebellsill.peer_stack import PeerStack
from bluebellsill.quarantine import Quarantine
from bluebellsill.reactor import Reactor
from bluebellsill.resources import EXTERNAL_CALLER, Service
from bluebellsill.retries import RetryBudget
from bluebellsill.rollout import RolloutTracker
from bluebellsill.rollout_query import ZoneRollouts
from bluebellsill.router_registry import RouterRegistry
from bluebellsill.store import HttpStore
from bluebellsill.streams import Address
from bluebellsill.suspicion_sync import SuspicionSync
from bluebellsill.target_api import TargetApi
from bluebellsill.target_runner import TargetRunner
from bluebellsill.timers import TimerService

if TYPE_CHECKING:
    from bluebellsill.errors import ErrorKind
    from bluebellsill.settings import Settings

__all__ = ('Node',)

_OBSERVE_PERIOD = 2.0  # seconds
_ACCEPT_GRACE = 1.0  # seconds for which new connections are still accepted
_DRAIN_CHECK_PERIOD = 0.05  # seconds
_RANDOM_SEED_BYTES = 8  # bytes read from the operating system
_WRITE_TOKEN_BYTES = 16  # length of the token that identifies a write


class Node(BaseComponent):
    """Owns the sockets and the state of one node."""

    channel = 'node'

    class Stopped(Event):
        """The graceful shutdown is complete."""

        name = 'stopped_gracefully'

    def __init__(self, settings: Settings) -> None:
        """Create the components and bind every socket.

        Raises:
            OSError: An address cannot be bound.
        """
        super().__init__()
        self._settings = settings
        self._log = get_logger('node')
        self._clock = SystemClock()
        self._timers = TimerService(self._clock)
        self._reactor = Reactor(self._timers).register(self)
        seed = settings.node.seed
        self._random = Random(
            urandom(_RANDOM_SEED_BYTES) if seed is None else seed
        )
        self._configuration = Configuration()
        self._metrics = Metrics()
        self._quarantine = Quarantine()
        self._rollout = RolloutTracker()
        self._drain_deadline: float = 0
        self._build_peers(settings)
        self._build_control(settings)
        self._build_traffic(settings)

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses of the listeners, by name."""
        return {
            'peers': self._members.own.id,
            'callers': str(self._caller_server.address),
            'target': str(self._target_server.address),
            'operators': str(self._operator_server.address),
        }

    def announce_addresses(self) -> None:
        """Print one JSON line with the addresses to the standard output."""
        line = json.encode({'listening': self.addresses}).decode()
        sys.stdout.write(f'{line}\n')
        sys.stdout.flush()

    # Called by the target runner.

    def refusal(self, call: Call) -> ErrorKind | None:
        """Return why this node refuses a call, None if it accepts it."""
        return self._acceptance.refusal()

    def service_of(self, name: str) -> Service | None:
        """Return the declaration of a service, None if there is none."""
        return self._configuration.service(name)

    def on_target_changed(self) -> None:
        """Publish to the other nodes whether the target is ready."""
        announcement = self._runner.announcement
        if self._acceptance.is_leaving:
            return
        if announcement is None:
            # The service is kept: this node still holds its idempotency keys.
            self._members.update_own(state=MemberState.JOINING)
        else:
            if self._members.own.service != announcement.service:
                self._members.update_own(service=announcement.service)
                self._suspicions.begin()
            if announcement.is_leaving:
                state = MemberState.LEAVING
            elif self._suspicions.is_current:
                state = MemberState.READY
            else:
                state = MemberState.JOINING
            self._members.update_own(state=state)
        self._gossip_task.push()

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Report a crash of the target to the service's other nodes."""
        self._crashes.on_crash(start_id, fingerprints)

    def on_cleared(self, fingerprint: int) -> None:
        """Report to the service's other nodes that a suspect was answered."""
        self._crashes.on_cleared(fingerprint)

    # Construction.

    def _build_peers(self, settings: Settings) -> None:
        self._peers = PeerStack(
            self._reactor,
            Address.parse(settings.listen.peers),
            settings.node.availability_zone,
            self._random,
            self._configuration,
            lambda: self._runner.in_flight,
            self._rollout,
        )
        self._members = self._peers.members
        self._links = self._peers.links
        self._gossip_task = self._peers.gossip_task
        self._peers.swim.seeds = list(settings.membership.seeds)
        self._acceptance = Acceptance(
            self._members,
            self._configuration,
            lambda: self._gossip_task.is_fresh and self._suspicions.is_current,
        )

    def _build_control(self, settings: Settings) -> None:
        self._store = HttpStore(
            self._reactor,
            Address.parse(settings.store.address),
        )
        self._writer = ConfigurationWriter(
            self._store,
            self._timers,
            self._configuration,
        )
        self._reader = ConfigurationReader(
            self._writer,
            self._members,
            self._peers.swim,
            self._random,
        )
        self._rollouts = ZoneRollouts(
            self._members,
            self._rollout,
            self._links,
        )
        self._operator_api = OperatorApi(
            self._configuration,
            self._writer,
            self._members,
            self._rollouts,
            self._metrics,
            self._status,
            lambda: urandom(_WRITE_TOKEN_BYTES).hex(),
            settings.operators.token,
        )
        self._operator_server = HttpServer(
            self._reactor,
            Address.parse(settings.listen.operators),
            self._operator_api.handle,
        )

    def _build_traffic(self, settings: Settings) -> None:
        self._crashes = CrashReplicator(
            self._members,
            self._links,
            self._quarantine,
            self._random,
        )
        self._suspicions = SuspicionSync(
            self._peers,
            self._quarantine,
            self._crashes,
            self._timers,
            self._random,
            is_first_start=False,
        )
        self._suspicions.on_current = self.on_target_changed
        self._runner = TargetRunner(
            self._reactor,
            self,
            self._quarantine,
            self._metrics,
        )
        self._keys = KeyRegistry(
            self._members,
            self._links,
            self._configuration,
            time,
            lambda: self._gossip_task.is_fresh,
        )
        own = self._members.own
        self._gateway = Gateway(
            own.id,
            NativeInterface(
                self._members,
                self._configuration,
                self._quarantine,
                self._clock,
                self._random,
            ),
            RouterRegistry(
                self._members,
                self._configuration,
                lambda: make_balancing_policy(
                    settings.routing.choice,
                    self._random,
                    own.zone,
                ),
                RetryBudget,
            ),
            self._peers.call_links,
            self._runner,
            self._metrics,
            self._keys,
        )
        target_api = TargetApi(
            self._runner,
            self._gateway,
            self._members.own.id,
        )
        self._target_server = HttpServer(
            self._reactor,
            Address.parse(settings.listen.target),
            target_api.handle,
        )
        self._caller_server = HttpServer(
            self._reactor,
            Address.parse(settings.listen.callers),
            self._on_caller_request,
        )
        server = self._peers.server
        bodies = BodyReceiver(self._timers, self._metrics)
        PeerCalls(self._runner, bodies, self._keys).serve(server)
        server.on(ZoneReportRequest, self._rollouts.on_request)
        self._timers.every(_OBSERVE_PERIOD, self._keys.observe)

    # Lifecycle.

    @handler('started', channel='*')
    def _on_started(self, *_: object) -> None:
        handle_signals(self._reactor, self._begin_shutdown)
        self._reader.start()
        self._gossip_task.tick()
        bind_logs(node=self._members.own.id)
        self._log.info('listening', **self.addresses)
        self.announce_addresses()

    def _begin_shutdown(self) -> None:
        """Begin the graceful shutdown."""
        self._log.info('leaving')
        self._acceptance.is_leaving = True
        self._reader.stop()
        self._members.update_own(state=MemberState.LEAVING)
        self._gossip_task.push()
        now = self._clock.now()
        self._drain_deadline = now + self._settings.node.drain_seconds
        for server in (self._caller_server, self._target_server):
            server.is_closing = True
        self._timers.after(_ACCEPT_GRACE, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._caller_server.close()
        self._operator_api.close()
        self._operator_server.close()
        self._timers.every(_DRAIN_CHECK_PERIOD, self._stop_if_drained)

    def _stop_if_drained(self) -> None:
        in_flight = self._runner.in_flight + self._gateway.in_flight
        is_late = self._clock.now() >= self._drain_deadline
        is_open = self._caller_server.open_connections
        if (in_flight or is_open) and not is_late:
            return
        if is_late:
            self._log.error('drain timed out', in_flight=in_flight)
        self._members.update_own(state=MemberState.GONE)
        self._gossip_task.push()
        self._log.info('stopped', in_flight=in_flight)
        self.fire(self.Stopped())
        self.stop()

    # Status.

    def _status(self) -> dict[str, Any]:
        own = self._members.own
        return {
            'id': own.id,
            'availability_zone': own.zone,
            'state': MemberState(own.state).name.lower(),
            'revision': self._configuration.revision,
            'is_reader': self._reader.is_reader,
            'is_fresh': self._gossip_task.is_fresh,
            'members': len(self._members.live()),
            'links': len(self._links),
            'keys': len(self._keys.records),
            'gossip_bytes_sent': self._peers.gossip.bytes_sent,
            'gossip_bytes_received': self._peers.gossip.bytes_received,
            'target': self._target_status(),
        }

    def _target_status(self) -> dict[str, Any]:
        runner = self._runner
        announcement = runner.announcement
        return {
            'service': announcement.service if announcement else '',
            'is_ready': runner.watch.is_ready,
            'in_flight': runner.gate.in_flight,
            'waiting': runner.gate.load - runner.gate.in_flight,
            'limit': runner.gate.limit,
        }

    def _on_caller_request(self, request: Request, reply: Reply) -> None:
        self._gateway.handle(request, reply, EXTERNAL_CALLER)
