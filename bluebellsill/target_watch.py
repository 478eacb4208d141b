"""Monitors whether the target is available and detects its crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace
from result import Err, Result

from bluebellsill._connect_check import ConnectCheck
from bluebellsill.announcement import (
    Announcement,
    must_publish,
    provisional_start_id,
    replaces_provisional,
)
from bluebellsill.connection_losses import Loss, Losses
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure
from bluebellsill.logs import get_logger
from bluebellsill.probing import ProbeBudget
from bluebellsill.resources import Service
from bluebellsill.streams import Address
from bluebellsill.target_connections import TargetConnections
from bluebellsill.watch_rules import DEFAULT_WATCH_RULES, WatchOwner, WatchRules

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.reactor import Reactor
    from bluebellsill.target_dialect import TargetDialect, TargetHealth

__all__ = ('TargetWatch',)

_CHECK_PERIOD = 0.1  # seconds between checks for expiry and due probes
_PROBE_TIMEOUT = 1.0  # seconds
# Seconds for which a target of unknown state is assumed cold, unless it
# reports otherwise before.
_ASSUMED_COLD_PERIOD = 10.0
# Consecutive failed probes after which the target counts as lost; a refused
# connection counts at once.
_MAX_FAILED_PROBES = 2


class TargetWatch:
    """Tracks a target by its announcements, its responses and probes."""

    def __init__(
        self,
        reactor: Reactor,
        owner: WatchOwner,
        metrics: Metrics,
        dialect: TargetDialect,
        rules: WatchRules = DEFAULT_WATCH_RULES,
    ) -> None:
        """Create a watch without an announced target."""
        self.announcement: Announcement | None = None
        self.connections = TargetConnections(reactor, rules.response_memory)
        self.start_id = ''
        self._dialect = dialect
        self._rules = rules
        self._is_confirmed = rules.confirm_after is None
        self._reactor = reactor
        self._clock = reactor.timers.clock
        self._owner = owner
        self._metrics = metrics
        self._announced_at: float = 0
        self._first_announced_at: float = 0
        self._answered_at: float = 0
        self._probed_at: float = 0
        self._losses = Losses()
        self._is_probing = False
        self._connect_check: ConnectCheck | None = None
        self._probe_budget: ProbeBudget | None = None
        self._failed_probes = 0
        self._log = get_logger('target')
        reactor.timers.every(_CHECK_PERIOD, self._check)

    @property
    def is_ready(self) -> bool:
        """Whether a confirmed target is available and not leaving."""
        return (
            self._is_confirmed
            and self.announcement is not None
            and not self.announcement.is_leaving
        )

    @property
    def service(self) -> Service:
        """The target's declared service, or defaults if undeclared."""
        name = self.announcement.service if self.announcement else ''
        return self._owner.service_of(name) or Service()

    def announce(self, announcement: Announcement) -> None:
        """Process an announcement of the target."""
        known = self.announcement
        now = self._clock.now()
        self._announced_at = now
        self.announcement = announcement
        if replaces_provisional(known, announcement):
            self.start_id = announcement.start_id
        elif known is None or known.start_id != announcement.start_id:
            self._on_started(announcement)
        if announcement.cold_seconds is not None:
            self._set_cold(announcement.cold_seconds)
        was_ready = known is not None and self._is_confirmed
        self._confirm_by_age(now)
        if not was_ready or must_publish(known, announcement):
            self._owner.on_target_changed()

    def discover(self, expected: Announcement) -> None:
        """Probe for a target that has not reported to this node yet.

        Without the probe, a restarted node has no target until the next
        report.

        Args:
            expected: The service and address at which to probe.
        """
        service = self._owner.service_of(expected.service)
        if self.announcement is not None or service is None:
            return
        rules = self._dialect.response_rules
        address = Address.parse(expected.address)
        self._metrics.counts['probes'] += 1
        sent_at = self._clock.now()
        pool = HttpPool(self._reactor, address, rules)

        def on_done(outcome: Result[Response, HttpFailure]) -> None:
            pool.close()
            self._on_discovery_probed(expected, outcome, sent_at)

        request = Request(
            'GET', service.health_path, [('host', expected.address)]
        )
        pool.request(request, _PROBE_TIMEOUT, on_done)

    def assume_cold(self) -> None:
        """Treat the target as cold until it reports otherwise."""
        if self.announcement is None:
            return
        self._set_cold(_ASSUMED_COLD_PERIOD)
        self._probe()

    def request_probe(self) -> bool:
        """Probe the target; return whether a probe is in flight."""
        self._probe()
        return self._is_probing

    def on_answer(self) -> None:
        """Record that the target has answered a request."""
        self._answered_at = self._clock.now()
        self._failed_probes = 0

    def on_loss(
        self,
        fingerprints: list[int],
        on_resolved: Callable[[bool], None],
    ) -> None:
        """Record a connection lost with requests in flight.

        Args:
            fingerprints: The fingerprints of the requests in flight.
            on_resolved: Called once with whether the target has crashed;
                a crash is reported to the other nodes first.
        """
        now = self._clock.now()
        self._losses.add(Loss(now, fingerprints, on_resolved))
        self.check_connectivity()

    def check_connectivity(self) -> None:
        """Check whether the target still accepts connections."""
        pool = self.connections.calls
        if pool is None:
            self._losses.resolve_alive()
        elif self._connect_check is None:
            self._connect_check = ConnectCheck(
                self._reactor,
                pool.address,
                self._on_checked,
            )
        else:
            self._connect_check.extend()

    def close(self) -> None:
        """Close every connection to the target."""
        self.connections.close()

    def _on_started(self, announcement: Announcement) -> None:
        # Requests in flight belong to the previous start of the target.
        self.close()
        self._confirm_crash()
        self.start_id = announcement.start_id
        address = Address.parse(announcement.address)
        rules = self._dialect.response_rules
        self.connections.open(address, rules)
        self._first_announced_at = self._clock.now()
        self.on_answer()
        self._owner.on_target_reset()
        self._log.info(
            'target started',
            service=announcement.service,
            start_id=announcement.start_id,
            address=announcement.address,
            slots=announcement.slots,
            cold_seconds=announcement.cold_seconds,
            confirmed=self._is_confirmed,
        )
        if not self._is_confirmed:
            self._probe()

    def _confirm_by_age(self, now: float) -> None:
        after = self._rules.confirm_after
        if self._is_confirmed or after is None:
            return
        if now - self._first_announced_at >= after:
            self._confirm('still announced after the confirmation period')

    def _confirm(self, reason: str) -> None:
        self._is_confirmed = True
        self._log.info('target confirmed', reason=reason)

    def _set_cold(self, seconds: float) -> None:
        now = self._clock.now()
        self._owner.on_cold_until(now + seconds if seconds else 0)

    def _check(self) -> None:
        if self.announcement is None:
            return
        now = self._clock.now()
        last_activity_at = self._probed_at
        if not self._rules.probes_while_busy:
            last_activity_at = max(last_activity_at, self._answered_at)
        if now - self._announced_at > self._rules.announcement_lifetime:
            self._mark_lost('announcement expired')
        elif now - last_activity_at > self._rules.probe_period:
            self._probe()

    def _probe(self) -> None:
        pool = self.connections.probes
        if pool is None or self._is_probing:
            return
        now = self._clock.now()
        service = self.service
        cost, budget = service.probe_cost_ms, service.probe_budget_ms
        if self._probe_budget is None:
            self._probe_budget = ProbeBudget(cost, budget, now)
        self._probe_budget.update(cost, budget)
        if not self._probe_budget.take(now):
            return
        self._is_probing = True
        self._probed_at = now
        self._metrics.counts['probes'] += 1
        headers = [('host', str(pool.address))]
        request = Request('GET', service.health_path, headers)
        pool.request(request, _PROBE_TIMEOUT, self._on_probed)

    def _on_discovery_probed(
        self,
        expected: Announcement,
        outcome: Result[Response, HttpFailure],
        sent_at: float,
    ) -> None:
        if isinstance(outcome, Err) or self.announcement is not None:
            return
        health = self._dialect.health(outcome.ok_value)
        # A target that is leaving or unnamed is taken from its own reports.
        if not health.is_serving or not health.name:
            return
        self._is_confirmed = True
        self._owner.on_target_discovered(
            replace(
                expected,
                name=health.name,
                start_id=provisional_start_id(health.name),
                slots=health.slots,
                cold_seconds=health.cold_seconds,
                is_provisional=True,
            ),
        )
        self._owner.on_probed(outcome.ok_value, sent_at)

    def _on_probed(self, outcome: Result[Response, HttpFailure]) -> None:
        self._is_probing = False
        if not isinstance(outcome, Err):
            # Health reports can be wrong, so they never raise the limit.
            self._failed_probes = 0
            self._on_health(self._dialect.health(outcome.ok_value))
            self._owner.on_probed(outcome.ok_value, self._probed_at)
            return
        self._failed_probes += 1
        if self._rules.probes_while_busy and self._has_answered_lately():
            # Recent answers show that the target works despite failed probes.
            return
        is_refused = not outcome.err_value.is_sent
        if is_refused or self._failed_probes >= _MAX_FAILED_PROBES:
            self._mark_lost(f'probe failed: {outcome.err_value.reason}')

    def _on_health(self, health: TargetHealth) -> None:
        announcement = self.announcement
        if announcement is None or health.name not in {'', announcement.name}:
            return
        if health.cold_seconds is not None:
            self._set_cold(health.cold_seconds)
        if not self._is_confirmed and health.is_serving:
            self._confirm('probe succeeded')
            self._owner.on_target_changed()

    def _has_answered_lately(self) -> bool:
        age = self._clock.now() - self._answered_at
        return age <= self._rules.probe_period

    def _on_checked(self, is_reachable: bool) -> None:  # noqa: FBT001
        self._connect_check = None
        if is_reachable:
            self._losses.resolve_alive()
        else:
            self._mark_lost('connection refused')

    def _mark_lost(self, reason: str) -> None:
        self._confirm_crash()
        if self.announcement is None:
            return
        self._log.warning('target lost', reason=reason)
        self.announcement = None
        self._owner.on_target_reset()
        self._owner.on_target_changed()

    def _confirm_crash(self) -> None:
        """Report the requests in flight at recent losses as a crash."""
        if self._connect_check is not None:
            self._connect_check.cancel()
            self._connect_check = None
        now = self._clock.now()
        losses = self._losses.take_recent(now)
        fingerprints = {
            fingerprint for loss in losses for fingerprint in loss.fingerprints
        }
        if fingerprints:
            self._owner.on_crash(self.start_id, sorted(fingerprints))
        for loss in losses:
            loss.resolve(has_crashed=True)
