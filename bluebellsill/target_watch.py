"""Whether a target is there beside the node, and whether it crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from msgspec import Struct
from result import Err, Result

from bluebellsill._connect_check import ConnectCheck
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpFailure, HttpPool
from bluebellsill.logs import get_logger
from bluebellsill.losses import Loss, Losses
from bluebellsill.probing import ProbeBudget
from bluebellsill.resources import Service
from bluebellsill.streams import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.metrics import Metrics
    from bluebellsill.reactor import Reactor

__all__ = ('Announcement', 'TargetWatch', 'WatchOwner')

ANNOUNCEMENT_LIFETIME = 3.0  # seconds
_CHECK_PERIOD = 0.1  # seconds
_QUIET_BEFORE_PROBE = 1.0  # seconds without an answer
_PROBE_TIMEOUT = 1.0  # seconds
_MAX_FAILED_PROBES = 2


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """What a target tells the node beside it, once a second.

    Attributes:
        service: The service that the target belongs to.
        address: Where the target answers, ``host:port``.
        start_id: Differs after each start of the target.
        is_leaving: Whether the target wants no new work.
    """

    service: str
    address: str
    start_id: str
    is_leaving: bool = False


class WatchOwner(Protocol):
    """Who hears of the target."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""

    def on_target_cold(self) -> None:
        """The target has started, or is lost."""

    def on_target_changed(self) -> None:
        """The target has come, is leaving or has gone."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """A start of the target has crashed with requests in flight."""


class TargetWatch:
    """Follows a target by its announcements, its answers and probes."""

    def __init__(
        self,
        reactor: Reactor,
        owner: WatchOwner,
        metrics: Metrics,
    ) -> None:
        """Create a watch that has not heard of a target."""
        self.announcement: Announcement | None = None
        self.pool: HttpPool | None = None
        self._reactor = reactor
        self._clock = reactor.timers.clock
        self._owner = owner
        self._metrics = metrics
        self._start_id = ''
        self._announced_at: float = 0
        self._answered_at: float = 0
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
        return self.announcement is not None and (
            not self.announcement.is_leaving
        )

    @property
    def service(self) -> Service:
        """The declared service of the target, or one with defaults."""
        name = self.announcement.service if self.announcement else ''
        return self._owner.service_of(name) or Service()

    def announce(self, announcement: Announcement) -> None:
        """Take in a target's word."""
        known = self.announcement
        self._announced_at = self._clock.now()
        self.announcement = announcement
        if known is None or known.start_id != announcement.start_id:
            self._on_started(announcement)
        if known != announcement:
            self._owner.on_target_changed()

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
        self._start_id = announcement.start_id
        address = Address.parse(announcement.address)
        self.pool = HttpPool(self._reactor, address)
        self.on_answer()
        self._owner.on_target_cold()
        self._log.info('target started', service=announcement.service)

    def _check(self) -> None:
        if self.announcement is None:
            return
        now = self._clock.now()
        if now - self._announced_at > ANNOUNCEMENT_LIFETIME:
            self._lose('announcement lapsed')
        elif now - self._answered_at > _QUIET_BEFORE_PROBE:
            self._probe(now)

    def _probe(self, now: float) -> None:
        if self.pool is None or self._is_probing:
            return
        service = self.service
        cost, budget = service.probe_cost_ms, service.probe_budget_ms
        if self._probe_budget is None:
            self._probe_budget = ProbeBudget(cost, budget, now)
        self._probe_budget.update(cost, budget)
        if not self._probe_budget.take(now):
            return
        self._is_probing = True
        self._metrics.counts['probes'] += 1
        headers = [('host', str(self.pool.address))]
        request = Request('GET', service.health_path, headers)
        self.pool.request(request, _PROBE_TIMEOUT, self._on_probed)

    def _on_probed(self, done: Result[Response, HttpFailure]) -> None:
        self._is_probing = False
        if not isinstance(done, Err):
            # Health reports may lie: they never raise the limit.
            self._failed_probes = 0
            return
        self._failed_probes += 1
        is_refused = not done.err_value.is_sent
        if is_refused or self._failed_probes >= _MAX_FAILED_PROBES:
            self._lose(f'probe failed: {done.err_value.reason}')

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
            self._owner.on_crash(self._start_id, sorted(fingerprints))
        for loss in losses:
            loss.tell(has_crashed=True)
