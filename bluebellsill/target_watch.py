"""Whether a target is there beside the node, and whether it crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace
from result import Err, Result

from bluebellsill._connect_check import ConnectCheck
from bluebellsill.announcement import Announcement, differ, is_told_by_probe
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpFailure, HttpPool
from bluebellsill.logs import get_logger
from bluebellsill.losses import Loss, Losses
from bluebellsill.probing import ProbeBudget
from bluebellsill.resources import Service
from bluebellsill.streams import Address
from bluebellsill.watch_rules import OWN_WATCH_RULES, WatchOwner, WatchRules

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.reactor import Reactor
    from bluebellsill.target_dialect import TargetDialect, TargetHealth

__all__ = ('TargetWatch',)

_CHECK_PERIOD = 0.1  # seconds
_PROBE_TIMEOUT = 1.0  # seconds
_UNKNOWN_COLD = 10.0  # seconds; a target is cold until it says otherwise
_MAX_FAILED_PROBES = 2


class TargetWatch:
    """Follows a target by its announcements, its answers and probes."""

    def __init__(
        self,
        reactor: Reactor,
        owner: WatchOwner,
        metrics: Metrics,
        dialect: TargetDialect,
        rules: WatchRules = OWN_WATCH_RULES,
    ) -> None:
        """Create a watch that has not heard of a target."""
        self.announcement: Announcement | None = None
        self.pool: HttpPool | None = None
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
        """Whether a target is there that wants work."""
        return (
            self._is_confirmed
            and self.announcement is not None
            and not self.announcement.is_leaving
        )

    @property
    def service(self) -> Service:
        """The declared service of the target, or one with defaults."""
        name = self.announcement.service if self.announcement else ''
        return self._owner.service_of(name) or Service()

    @property
    def opened_connections(self) -> int:
        """The number of connections opened to the present target so far."""
        return self.pool.opened if self.pool else 0

    def announce(self, announcement: Announcement) -> None:
        """Take in a target's word."""
        known = self.announcement
        now = self._clock.now()
        self._announced_at = now
        self.announcement = announcement
        if is_told_by_probe(known, announcement):
            self.start_id = announcement.start_id
        elif known is None or known.start_id != announcement.start_id:
            self._on_started(announcement)
        if announcement.cold_seconds is not None:
            self._set_cold(announcement.cold_seconds)
        was_ready = known is not None and self._is_confirmed
        self._confirm_by_age(now)
        if not was_ready or differ(known, announcement):
            self._owner.on_target_changed()

    def look_for(self, expected: Announcement) -> None:
        """Ask whether a target is there that has not reported yet.

        A node that was restarted would otherwise wait for the next report.

        Args:
            expected: The target's service and address.
        """
        service = self._owner.service_of(expected.service)
        if self.announcement is not None or service is None:
            return
        rules = self._dialect.answer_rules
        address = Address.parse(expected.address)
        self._metrics.counts['probes'] += 1
        HttpPool(self._reactor, address, rules).request(
            Request('GET', service.health_path, [('host', expected.address)]),
            _PROBE_TIMEOUT,
            lambda done: self._on_looked(expected, done),
        )

    def doubt_temperature(self) -> None:
        """Take the target for cold until it says otherwise."""
        if self.announcement is None:
            return
        self._set_cold(_UNKNOWN_COLD)
        self._probe()

    def measure(self) -> bool:
        """Ask the target how it is; return whether it is being asked."""
        self._probe()
        return self._is_probing

    def on_answer(self) -> None:
        """The target has answered a request."""
        self._answered_at = self._clock.now()
        self._failed_probes = 0

    def on_loss(
        self,
        fingerprints: list[int],
        on_known: Callable[[bool], None],
    ) -> None:
        """A connection was lost while requests were in flight.

        Args:
            fingerprints: What ran at the time.
            on_known: Called once with whether the target has crashed,
                after the other nodes have been told of a crash.
        """
        now = self._clock.now()
        self._losses.add(Loss(now, fingerprints, on_known))
        self.check_soon()

    def check_soon(self) -> None:
        """Look whether the target still accepts connections."""
        if self.pool is None:
            self._losses.tell_alive()
        elif self._connect_check is None:
            self._connect_check = ConnectCheck(
                self._reactor,
                self.pool.address,
                self._on_checked,
            )
        else:
            self._connect_check.extend()

    def close(self) -> None:
        """Close every connection to the target."""
        if self.pool is not None:
            self.pool.close()

    def _on_started(self, announcement: Announcement) -> None:
        # What is in flight was at the former start of the target.
        self.close()
        self._confirm_crash()
        self.start_id = announcement.start_id
        address = Address.parse(announcement.address)
        rules = self._dialect.answer_rules
        self.pool = HttpPool(self._reactor, address, rules)
        self._first_announced_at = self._clock.now()
        self.on_answer()
        self._owner.on_target_cold()
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
            self._confirm('announced again')

    def _confirm(self, reason: str) -> None:
        self._is_confirmed = True
        self._log.info('target confirmed', reason=reason)

    def _set_cold(self, seconds: float) -> None:
        now = self._clock.now()
        self._owner.on_target_temperature(now + seconds if seconds else 0)

    def _check(self) -> None:
        if self.announcement is None:
            return
        now = self._clock.now()
        news_at = self._probed_at
        if not self._rules.probes_busy:
            news_at = max(news_at, self._answered_at)
        if now - self._announced_at > self._rules.announcement_lifetime:
            self._lose('announcement lapsed')
        elif now - news_at > self._rules.probe_period:
            self._probe()

    def _probe(self) -> None:
        if self.pool is None or self._is_probing:
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
        headers = [('host', str(self.pool.address))]
        request = Request('GET', service.health_path, headers)
        self.pool.request(request, _PROBE_TIMEOUT, self._on_probed)

    def _on_looked(
        self,
        expected: Announcement,
        done: Result[Response, HttpFailure],
    ) -> None:
        if isinstance(done, Err) or self.announcement is not None:
            return
        health = self._dialect.health(done.ok_value)
        # One that is leaving, or does not say who it is, reports itself.
        if not health.is_serving or not health.name:
            return
        self._is_confirmed = True
        self._owner.on_found(
            replace(
                expected,
                name=health.name,
                start_id=f'probed/{health.name}',
                slots=health.slots,
                cold_seconds=health.cold_seconds,
                is_provisional=True,
            ),
        )

    def _on_probed(self, done: Result[Response, HttpFailure]) -> None:
        self._is_probing = False
        if not isinstance(done, Err):
            # Health reports may lie: they never raise the limit.
            self._failed_probes = 0
            self._on_health(self._dialect.health(done.ok_value))
            self._owner.on_probed(done.ok_value)
            return
        self._failed_probes += 1
        if self._rules.probes_busy and self._has_answered_lately():
            # The target works, whatever its health reports.
            return
        is_refused = not done.err_value.is_sent
        if is_refused or self._failed_probes >= _MAX_FAILED_PROBES:
            self._lose(f'probe failed: {done.err_value.reason}')

    def _on_health(self, health: TargetHealth) -> None:
        announcement = self.announcement
        if announcement is None or health.name not in {'', announcement.name}:
            return
        if health.cold_seconds is not None:
            self._set_cold(health.cold_seconds)
        if not self._is_confirmed and health.is_serving:
            self._confirm('probe answered')
            self._owner.on_target_changed()

    def _has_answered_lately(self) -> bool:
        age = self._clock.now() - self._answered_at
        return age <= self._rules.probe_period

    def _on_checked(self, is_there: bool) -> None:  # noqa: FBT001
        self._connect_check = None
        if is_there:
            self._losses.tell_alive()
        else:
            self._lose('connection refused')

    def _lose(self, reason: str) -> None:
        self._confirm_crash()
        if self.announcement is None:
            return
        self._log.warning('target lost', reason=reason)
        self.announcement = None
        self._owner.on_target_cold()
        self._owner.on_target_changed()

    def _confirm_crash(self) -> None:
        """Report what was in flight when connections were lost of late."""
        if self._connect_check is not None:
            self._connect_check.cancel()
            self._connect_check = None
        now = self._clock.now()
        losses = self._losses.take(now)
        fingerprints = {one for loss in losses for one in loss.fingerprints}
        if fingerprints and self.pool is not None:
            self._owner.on_crash(self.start_id, sorted(fingerprints))
        for loss in losses:
            loss.tell(has_crashed=True)
