"""An entry node's local estimates of the load and health of a target."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field, replace
from math import exp

from bluebellsill.backoff import exponential_backoff

__all__ = ('TargetView',)

# The time constant of the exponential decay of latencies and failure shares
# that are not observed again.
_DECAY_SECONDS = 2.0
_LATENCY_WEIGHT = 0.1  # of a new latency in the moving average
_REPORT_WEIGHT = 0.1  # of a new report in the moving average
# The time constant with which a slowness report decays to the average.
_SLOWNESS_DECAY_SECONDS = 0.15
_OVERDUE_LATENCY_FACTOR = 3  # average latencies until a call is overdue
_INITIAL_LATENCY_SECONDS = 0.01  # assumed before the first answer
_MIN_AVOIDANCE_SECONDS = 0.1  # after the first failure
_MAX_AVOIDANCE_SECONDS = 2.0
_MAX_PACED_SECONDS = 0.5  # of avoiding a target for the rate that it states


@dataclass(slots=True)
class TargetView:
    """What an entry node has observed and been told about one target.

    Attributes:
        id: The node beside the target.
        zone: The target's availability zone.
        call_start_times: When each unfinished call of this node to the
            target was sent, oldest first.
        limit: The last reported number of calls that may run at a time.
        other_load: The last reported number of calls from other entry
            nodes that run or are queued at the target.
        other_load_average: A moving average of that number.
        reported_at: When the load was last reported.
        latency: A moving average of latencies, in seconds.
        latency_at: When a latency was last observed.
        consecutive_failures: The number of failures since the last success.
        avoided_until: Until when other targets are preferred.
        slowness: The last reported ratio of the current service time to
            the usual one.
        slowness_at: When the slowness was reported.
        average_slowness: A moving average of the slowness.
        failure_share: The share of the target's recent answers that failed.
        relative_latency: A moving average of the ratio of the target's
            latencies to those of all targets on the same routes.
        relative_latency_at: When that ratio was last observed or a trial
            call was sent.
        answer_count: The number of answers behind ``relative_latency``.
        last_trial_call: The number of the service's call that was the last
            trial of this target.
    """

    id: str
    zone: str
    call_start_times: deque[float] = field(default_factory=deque)
    limit: int = 1
    other_load: int = 0
    other_load_average: float = 0
    reported_at: float = 0
    latency: float = _INITIAL_LATENCY_SECONDS
    latency_at: float = 0
    consecutive_failures: int = 0
    avoided_until: float = 0
    slowness: float = 1
    slowness_at: float = 0
    average_slowness: float = 1
    failure_share: float = 0
    relative_latency: float = 1
    relative_latency_at: float = 0
    answer_count: int = 0
    last_trial_call: int = 0

    def copy(self) -> TargetView:
        """Return a copy that changes independently."""
        return replace(self, call_start_times=self.call_start_times.copy())

    def cost(self, now: float) -> float:
        """Return the expected latency of one more call, in seconds."""
        load = self.expected_load(now)
        # Old latencies decay, so that a formerly slow target is used again.
        decay = exp(-max(0, now - self.latency_at) / _DECAY_SECONDS)
        latency = (
            _INITIAL_LATENCY_SECONDS
            + (self.latency - _INITIAL_LATENCY_SECONDS) * decay
        )
        if self.call_start_times:
            oldest = now - self.call_start_times[0]
            if oldest > _OVERDUE_LATENCY_FACTOR * latency:
                # An unfinished call takes at least as long as it has run so far.
                latency = oldest
        return latency * (load + 1) / self.limit

    def on_load_report(self, load: int, limit: int, now: float) -> None:
        """Record the load reported with an answer or a refusal."""
        self.other_load = max(0, load - len(self.call_start_times))
        self.other_load_average += _REPORT_WEIGHT * (
            self.other_load - self.other_load_average
        )
        self.limit = max(1, limit)
        self.reported_at = now

    def on_performance_report(
        self,
        slowness: float,
        failure_share: float,
        now: float,
    ) -> None:
        """Record the slowness and the failures that a target reports.

        Args:
            slowness: The target's current service time relative to its
                usual one.
            failure_share: The share of its recent answers that failed.
            now: The time in seconds.
        """
        self.failure_share = failure_share
        self.slowness = slowness
        self.slowness_at = now
        self.average_slowness += _REPORT_WEIGHT * (
            slowness - self.average_slowness
        )

    def expected_slowness(self, now: float) -> float:
        """Return the slowness at ``now``; reports decay to the average."""
        decay = exp(-max(0, now - self.slowness_at) / _SLOWNESS_DECAY_SECONDS)
        return self.average_slowness + decay * (
            self.slowness - self.average_slowness
        )

    def expected_failure_share(self, now: float) -> float:
        """Return the share of calls that fail at ``now``.

        Old reports decay, so that a target that failed is used again.
        """
        return self.failure_share * exp(
            -max(0, now - self.slowness_at) / _DECAY_SECONDS
        )

    def expected_load(self, now: float) -> float:
        """Return the expected number of calls running or queued there.

        The calls of this node are known; those of other entry nodes are
        estimated.
        """
        # Calls of other nodes start and end within about one latency, so a
        # report decays to the average over that time.
        age = max(0, now - self.reported_at)
        decay = exp(-age / max(self.latency, _INITIAL_LATENCY_SECONDS))
        other_load = (
            self.other_load_average
            + (self.other_load - self.other_load_average) * decay
        )
        return len(self.call_start_times) + other_load

    def on_latency(self, seconds: float, now: float) -> None:
        """Record the latency of an answer."""
        self.consecutive_failures = 0
        if self.latency_at:
            self.latency += _LATENCY_WEIGHT * (seconds - self.latency)
        else:
            self.latency = seconds
        self.latency_at = now

    def on_error_status(self, now: float) -> None:
        """Avoid the target once it has failed twice in a row.

        A single failure may be caused by the request itself.
        """
        if self.consecutive_failures:
            self.on_failure(now)
        else:
            self.consecutive_failures = 1

    def on_refusal(
        self,
        now: float,
        load: int,
        limit: int,
        *,
        is_full: bool,
        has_arrived: bool,
        paced_seconds: float = 0,
    ) -> None:
        """Avoid the target unless it is only briefly at its limit.

        Args:
            now: The time in seconds.
            load: The number of calls running or queued at the target.
            limit: The number of calls that may run there at a time.
            is_full: Whether the call was refused for lack of capacity.
            has_arrived: Whether the target itself refused the call. The
                node beside it tracks its load and should have refused
                first, so a second such refusal counts as a failure.
            paced_seconds: The expected time until a target that states its
                rate takes another call, 0 if it states none.
        """
        if is_full and paced_seconds:
            # Its slots are free; the target may end the limit at any time.
            self.on_load_report(load, limit, now)
            self.avoided_until = now + min(paced_seconds, _MAX_PACED_SECONDS)
            return
        # A full target may report a load from after its refusal.
        self.on_load_report(max(load, limit), limit, now)
        if not is_full:
            self.on_failure(now)
        elif has_arrived:
            self.on_error_status(now)

    def on_leaving(self, now: float) -> None:
        """Avoid the target until its departure is known from its node."""
        self.avoided_until = now + _MAX_AVOIDANCE_SECONDS

    def on_failure(self, now: float) -> None:
        """Avoid the target for a time that doubles with each failure."""
        seconds = exponential_backoff(
            _MIN_AVOIDANCE_SECONDS,
            self.consecutive_failures,
            _MAX_AVOIDANCE_SECONDS,
        )
        self.consecutive_failures += 1
        self.avoided_until = now + seconds
