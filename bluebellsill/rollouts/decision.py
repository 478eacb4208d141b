"""Decides how much traffic a new version gets, and how its release ends."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.rollouts.evidence import Evidence
from bluebellsill.rollouts.order import CanaryRecord, CanaryStage

if TYPE_CHECKING:
    from bluebellsill.messages import CanaryReport
    from bluebellsill.rollouts.evidence import Finding
    from bluebellsill.rollouts.order import CanaryOrder

__all__ = ('CanaryDecision', 'Fleet')

# The bound is 0.1 of the requests and 50 more; what is not reported yet and
# what nodes send while a message is under way must fit in as well.
_EXPOSURE_SHARE = 0.08
_EXPOSURE_SLACK = 30
_REPORT_DELAY = 1.5  # seconds from a request to its count at the acting node
_RATE_WINDOW = 3.0  # seconds over which the rate of requests is averaged
_CLEAR_SCORE = 9.0  # a probability of 0.0001 with the old version
_DOUBT_SCORE = 3.0  # of 0.05; too much to switch to the new version
_MIN_GOOD_ANSWERS = 20  # of the new version, before the second step
_FIRST_SHARE = 0.05
_MAX_SHARE = 0.3
_MIN_RATE = 3.0  # requests a second to the new version, if the budget allows
_PAUSED_SHARE = 0.01  # while the budget is used up
_RESUME_SECONDS = 2.0  # of the full share that the budget must allow to resume
# The decision is made late, because a version may turn bad late and the old
# targets stop at once. The rest of the time is kept for the switch and for a
# store that is away for some seconds.
_RESERVED_SHARE = 0.2
_MIN_RESERVED = 8.0  # seconds
_SWITCH_SECONDS = 3.0  # until no request runs at the old targets any more
# A used route with so few answers of the new version is waited for; the wait
# takes at most this share of the reserved time.
_MIN_ROUTE_ANSWERS = 10
_USED_ROUTE_ANSWERS = 50  # of the old version
_MAX_WAIT_SHARE = 0.4
_MIN_COMPLETION = 5.5  # seconds for the switch and the write of the outcome
_MIN_CAPACITY = 0.5  # of the old targets' slots, for the switch


@dataclass(frozen=True, slots=True)
class Fleet:
    """The ready targets of both versions."""

    old_targets: int = 0
    new_targets: int = 0
    old_slots: int = 0
    new_slots: int = 0

    @property
    def is_sufficient(self) -> bool:
        """Whether the new targets can serve all requests."""
        if not self.new_targets:
            return False
        return self.new_slots >= _MIN_CAPACITY * self.old_slots


class CanaryDecision:
    """The decisions of the acting node on one release.

    Attributes:
        order: The order.
        stage: How far the release has come.
        share: The share of the requests that the new version gets.
        width: How many of the new targets get them. They are so few that each
            has about the load of an old target: a version may be bad under
            load only.
        base_versions: The versions that ran before the order.
        is_completing: Whether the completion has been sent to the store, which
            may have written it. The old targets may have stopped, so there is
            no way back.
    """

    def __init__(self, order: CanaryOrder, ordered_at: float) -> None:
        """Begin a release that was ordered at a time in seconds."""
        self.order = order
        self.stage = CanaryStage.RUNNING
        self.share: float = 0
        self.width = 1
        self.base_versions: frozenset[str] = frozenset()
        self.is_completing = False
        self._evidence = Evidence()
        self._ordered_at = ordered_at
        self._switched_at: float = 0
        self._requests = 0
        self._canary_requests = 0
        self._recent: deque[tuple[float, int]] = deque()
        self._is_paused = False
        self._log = get_logger('rollouts')

    def resume(self, record: CanaryRecord, now: float, wall: float) -> None:
        """Continue from what the store has.

        Args:
            record: The record of this order.
            now: The time in seconds.
            wall: The seconds since the Unix epoch.
        """
        since = wall - record.written_at
        # The clocks of two nodes may differ by more than the release lasts.
        since = since if 0 <= since <= record.order.duration else 0
        self._ordered_at = min(self._ordered_at, now - record.elapsed - since)
        self.base_versions = record.base_versions
        if record.requests > self._requests:
            self._requests = record.requests
            self._canary_requests = record.canary_requests
            self._evidence = Evidence()
            self._evidence.add(list(record.rows), now)
        is_decided = self.stage.is_final and not record.stage.is_final
        if not is_decided and record.stage is not self.stage:
            self.stage = record.stage
            self._switched_at = now
        self._log.info(
            'canary continued',
            **self._fields(now),
            recorded=record.stage.value,
        )

    def record(self, now: float, wall: float) -> CanaryRecord:
        """Return what the store keeps."""
        return CanaryRecord(
            self.order,
            self.stage,
            now - self._ordered_at,
            wall,
            self.base_versions,
            self._requests,
            self._canary_requests,
            tuple(self._evidence.all.rows()),
        )

    def on_report(self, report: CanaryReport, now: float) -> None:
        """Add the outcomes that an entry node reports."""
        requests = max(0, report.requests)
        self._requests += requests
        self._canary_requests += max(0, report.canary_requests)
        self._recent.append((now, requests))
        self._evidence.add(report.rows, now)

    def decide(self, now: float, fleet: Fleet, *, may_advance: bool) -> None:
        """Take the next step.

        Args:
            now: The time in seconds.
            fleet: The ready targets.
            may_advance: Whether this node is known to hold the lease. If not,
                the new version gets no more traffic than before.
        """
        if self.stage.is_final or self.is_completing:
            return
        finding = self._evidence.worst()
        left = self._ordered_at + self.order.duration - now
        if finding is not None and finding.score >= _CLEAR_SCORE:
            self._roll_back('new version is worse', finding, now)
        elif left <= 0:
            self._roll_back('time limit', finding, now)
        elif may_advance and self.stage is CanaryStage.RUNNING:
            self._advance(now, left, fleet, finding)

    def is_ready_to_complete(self, now: float) -> bool:
        """Return whether no request runs at the old targets any more."""
        is_switching = self.stage is CanaryStage.SWITCHING
        return is_switching and now - self._switched_at >= _SWITCH_SECONDS

    def on_completed(self, now: float) -> None:
        """Handle that the store has the completion."""
        self.is_completing = False
        self._enter(CanaryStage.COMPLETED, 'recorded in the store', None, now)

    def roll_back(self, reason: str, now: float) -> None:
        """Roll back for a reason that is not in the evidence."""
        if not self.stage.is_final and not self.is_completing:
            self._roll_back(reason, None, now)

    def _advance(
        self, now: float, left: float, fleet: Fleet, finding: Finding | None
    ) -> None:
        duration = self.order.duration
        reserved = max(_RESERVED_SHARE * duration, _MIN_RESERVED)
        reserved = min(reserved, duration / 2)
        if self._thin_routes():
            waited = (1 - _MAX_WAIT_SHARE) * reserved
            reserved = max(waited, min(reserved, _MIN_COMPLETION))
        if left > reserved:
            self._set_share(now, fleet)
            return
        if finding is not None and finding.score >= _DOUBT_SCORE:
            self._roll_back('doubt at the time of decision', finding, now)
        elif self._is_tried and fleet.is_sufficient:
            self.share = 1
            self._switched_at = now
            self._enter(CanaryStage.SWITCHING, 'no difference', finding, now)
        else:
            self._set_share(now, fleet)

    @property
    def _is_tried(self) -> bool:
        """Whether the new version has served what it could have got."""
        has_answers = self._evidence.all.total(is_canary=True) > 0
        return has_answers or not self._evidence.all.total(is_canary=False)

    def _thin_routes(self) -> list[str]:
        """Return the used routes with few answers of the new version."""
        outcomes = self._evidence.all
        return [
            route
            for route in outcomes.routes()
            if outcomes.tally(route, is_canary=False).total
            >= _USED_ROUTE_ANSWERS
            and outcomes.tally(route, is_canary=True).total < _MIN_ROUTE_ANSWERS
        ]

    def _set_share(self, now: float, fleet: Fleet) -> None:
        if not fleet.new_targets:
            self.share = 0
            return
        while self._recent and self._recent[0][0] < now - _RATE_WINDOW:
            self._recent.popleft()
        rate = sum(count for _, count in self._recent) / _RATE_WINDOW
        full = self._full_share(rate, fleet)
        unreported = self.share * rate * _REPORT_DELAY
        allowed = _EXPOSURE_SHARE * self._requests + _EXPOSURE_SLACK
        left = allowed - self._canary_requests - unreported
        needed = full * rate * _RESUME_SECONDS if self._is_paused else 0
        was_paused = self._is_paused
        self._is_paused = left <= needed
        self.share = _PAUSED_SHARE if self._is_paused else full
        self.width = self._width(fleet)
        if self._is_paused != was_paused:
            self._log.info(
                'canary share',
                share=self.share,
                width=self.width,
                rate=round(rate, 1),
                **self._fields(now),
            )

    def _full_share(self, rate: float, fleet: Fleet) -> float:
        """Return the share while the budget is not used up."""
        wanted = _MIN_RATE / rate if rate else _MAX_SHARE
        if self._good_answers < _MIN_GOOD_ANSWERS:
            return min(_MAX_SHARE, max(_FIRST_SHARE, wanted))
        # The load of one old target, for one new one. With more, a version of
        # which a fifth is slow has given too many bad answers in the seconds
        # that it takes to tell it from slowed targets.
        wanted = max(wanted, 1 / max(1, fleet.old_targets), _FIRST_SHARE)
        return min(_MAX_SHARE, wanted)

    def _width(self, fleet: Fleet) -> int:
        """Return how many new targets get the load of as many old ones."""
        return max(1, round(self.share * fleet.old_targets))

    @property
    def _good_answers(self) -> int:
        outcomes = self._evidence.all
        failed = sum(
            outcomes.tally(route, is_canary=True).failed
            for route in outcomes.routes()
        )
        return outcomes.total(is_canary=True) - failed

    def _roll_back(
        self, reason: str, finding: Finding | None, now: float
    ) -> None:
        self.share = 0
        self._enter(CanaryStage.ROLLED_BACK, reason, finding, now)

    def _enter(
        self,
        stage: CanaryStage,
        reason: str,
        finding: Finding | None,
        now: float,
    ) -> None:
        was = self.stage
        self.stage = stage
        self._log.info(
            'canary stage changed',
            was=was.value,
            reason=reason,
            evidence=_fields_of(finding),
            **self._fields(now),
        )

    def _fields(self, now: float) -> dict[str, object]:
        """Return the fields of a log line on a decision."""
        return {
            'service': self.order.service,
            'target_version': self.order.target_version,
            'stage': self.stage.value,
            'elapsed_s': round(now - self._ordered_at, 1),
            'duration_s': self.order.duration,
            'requests': self._requests,
            'canary_requests': self._canary_requests,
            'answers': self._evidence.all.total(is_canary=False),
            'canary_answers': self._evidence.all.total(is_canary=True),
            'thin_routes': self._thin_routes(),
        }


def _fields_of(finding: Finding | None) -> dict[str, object]:
    if finding is None:
        return {}
    return {
        'route': finding.route,
        'symptom': finding.symptom,
        'window_s': finding.window,
        'bad': finding.bad,
        'total': finding.total,
        'base_bad': finding.base_bad,
        'base_total': finding.base_total,
        'score': round(finding.score, 1),
    }
