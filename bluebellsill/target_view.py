"""What an entry node believes of one target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import exp

__all__ = ('TargetView',)

_FADE_LIFETIME = 2.0  # seconds in which an unconfirmed latency fades
_LATENCY_WEIGHT = 0.1  # of a new latency in the average
_OTHERS_WEIGHT = 0.1  # of a new report in the average
_SPELL = 0.15  # seconds in which a report of slowness fades
_OVERDUE = 3  # usual latencies from which a call counts as overdue
_FIRST_LATENCY = 0.01  # seconds
_FIRST_PENALTY = 0.1  # seconds
_MAX_PENALTY = 2.0  # seconds


@dataclass(slots=True)
class TargetView:
    """What an entry node believes of one target.

    Attributes:
        id: The node beside the target.
        zone: The target's availability zone.
        started: When each call of this node to it began, oldest first.
        limit: The last reported limit.
        reported: The last reported load of other entry nodes.
        others: A moving average of that load.
        reported_at: When that was reported.
        latency: A moving average of latencies, in seconds.
        latency_at: When the latency was last observed.
        failures: Failures in a row.
        avoided_until: Until when the target is a last resort.
        slowness: How many times longer than usual work took there.
        slowness_at: When that was reported.
        usual_slowness: A moving average of it.
        failing: The share of its answers that failed of late.
        pace: How long its answers took, in units of those of all targets.
        paced_at: When that was last observed or put to trial.
        answers: The answers that it is made of.
        trial_call: The call of the service that was its last trial.
    """

    id: str
    zone: str
    started: deque[float] = field(default_factory=deque)
    limit: int = 1
    reported: int = 0
    others: float = 0
    reported_at: float = 0
    latency: float = _FIRST_LATENCY
    latency_at: float = 0
    failures: int = 0
    avoided_until: float = 0
    slowness: float = 1
    slowness_at: float = 0
    usual_slowness: float = 1
    failing: float = 0
    pace: float = 1
    paced_at: float = 0
    answers: int = 0
    trial_call: int = 0

    def cost(self, now: float) -> float:
        """Return the expected time of one more call, in seconds."""
        load = self.expected_load(now)
        # Old observations fade, so that a target that was slow is tried again.
        faded = exp(-max(0, now - self.latency_at) / _FADE_LIFETIME)
        latency = _FIRST_LATENCY + (self.latency - _FIRST_LATENCY) * faded
        if self.started:
            oldest = now - self.started[0]
            if oldest > _OVERDUE * latency:
                # A call that is still out takes at least this long.
                latency = oldest
        return latency * (load + 1) / self.limit

    def on_report(self, load: int, limit: int, now: float) -> None:
        """Take in the load that came with an answer or a refusal."""
        self.reported = max(0, load - len(self.started))
        self.others += _OTHERS_WEIGHT * (self.reported - self.others)
        self.limit = max(1, limit)
        self.reported_at = now

    def on_state(self, factor: float, failing: float, now: float) -> None:
        """Take in how the target is.

        Args:
            factor: How many times longer than usual work takes there.
            failing: The share of its answers that failed of late.
            now: The time in seconds.
        """
        self.failing = failing
        self.slowness = factor
        self.slowness_at = now
        self.usual_slowness += _OTHERS_WEIGHT * (factor - self.usual_slowness)

    def expected_slowness(self, now: float) -> float:
        """Return the slowness at a time; reports fade toward the usual."""
        kept = exp(-max(0, now - self.slowness_at) / _SPELL)
        return self.usual_slowness + kept * (
            self.slowness - self.usual_slowness
        )

    def expected_failing(self, now: float) -> float:
        """Return the share that fails; old reports fade, to look again."""
        return self.failing * exp(
            -max(0, now - self.slowness_at) / _FADE_LIFETIME
        )

    def expected_load(self, now: float) -> float:
        """Return the calls that run or wait there, this node's included."""
        # Calls of others come and go within about one latency.
        age = max(0, now - self.reported_at)
        kept = exp(-age / max(self.latency, _FIRST_LATENCY))
        others = self.others + (self.reported - self.others) * kept
        return len(self.started) + others

    def on_latency(self, seconds: float, now: float) -> None:
        """Take in the latency of an answer."""
        self.failures = 0
        if self.latency_at:
            self.latency += _LATENCY_WEIGHT * (seconds - self.latency)
        else:
            self.latency = seconds
        self.latency_at = now

    def on_error_status(self, now: float) -> None:
        """Avoid the target once it has failed twice in a row.

        One failure may be the request's own fault.
        """
        if self.failures:
            self.on_failure(now)
        else:
            self.failures = 1

    def on_refusal(
        self,
        now: float,
        *,
        is_full: bool,
        has_arrived: bool,
    ) -> None:
        """Avoid the target unless it has no room for a moment only.

        Args:
            now: The time in seconds.
            is_full: Whether it has no room.
            has_arrived: Whether the target itself refused; its node should
                have known, so once may be chance and twice is not.
        """
        if not is_full:
            self.on_failure(now)
        elif has_arrived:
            self.on_error_status(now)

    def on_failure(self, now: float) -> None:
        """Avoid the target for a time that doubles with each failure."""
        penalty = min(_MAX_PENALTY, _FIRST_PENALTY * 2**self.failures)
        self.failures += 1
        self.avoided_until = now + penalty
