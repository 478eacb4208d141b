"""Tracks the slowness that a target reports, and its slow periods."""

from __future__ import annotations

from collections import deque
from math import exp

__all__ = ('USUAL_SLOWNESS', 'SlownessTracker')

USUAL_SLOWNESS = 1.0  # factor at which service times are as usual
_SLOW_RATIO = 1.5  # a target is slow from this multiple of its baseline on
# Seconds; slow periods last about 0.15 s, so few begin or end in this time.
_REPORT_LIFETIME = 0.01
# Seconds; calls that wait for the end of a slow period need reports less often.
_SLOW_REPORT_LIFETIME = 0.02
# Seconds between two reports beyond which it is unknown whether the target was
# slow all the time between them.
_MAX_REPORT_GAP = 0.05
# Seconds; the initial estimate, for loads that shift within milliseconds.
_INITIAL_SLOW_PERIOD = 0.15
_INITIAL_ENDS = 2  # slow periods that the initial estimate counts as
# Seconds of slow time in which the weight of older slow periods falls to 1/e.
_SLOW_PERIOD_LIFETIME = 10.0
_SHARE_LIFETIME = 3.0  # seconds over which the share of slow time is averaged
# Seconds; a time without a slowdown is observed more often than that.
_BASELINE_WINDOW = 3.0


class SlownessTracker:
    """Tracks the periods in which other load on the host slows a target.

    A request runs at the slowness at its start until it ends, so a short
    wait before the start can save several times the usual service time.
    Slow means slower than the target's recent baseline: a cold target is
    slower all the time, and waiting for that to end would leave it idle.

    Attributes:
        factor: The ratio of current to usual service time.
        slow_share: The share of recent time in which the target was slow.
    """

    def __init__(self) -> None:
        """Create the tracker of a target that has not reported anything."""
        self.factor = USUAL_SLOWNESS
        self.slow_share: float = 0
        self._reported_at: float | None = None
        self._slow_seconds = _INITIAL_ENDS * _INITIAL_SLOW_PERIOD
        self._slow_period_ends: float = _INITIAL_ENDS
        self._recent_minima: deque[tuple[float, float]] = deque()

    @property
    def baseline_factor(self) -> float:
        """The lowest recent factor, that of times without a slowdown."""
        # Each factor is lower than all that follow.
        if not self._recent_minima:
            return USUAL_SLOWNESS
        return self._recent_minima[0][1]

    @property
    def relative_factor(self) -> float:
        """The ratio of the current factor to the baseline."""
        return self.factor / self.baseline_factor

    @property
    def is_slow(self) -> bool:
        """Whether the factor is well above the baseline."""
        return self.relative_factor >= _SLOW_RATIO

    @property
    def expected_remaining(self) -> float:
        """Expected seconds until a slow period ends, whenever it began.

        This is the slow time divided by the number of slow periods that
        ended. Only time between frequent reports counts: reports that come
        with answers alone are too rare to tell when a slow period began
        and ended, and would make it look several times as long.
        """
        return self._slow_seconds / self._slow_period_ends

    def is_fresh(self, now: float) -> bool:
        """Return whether the last report is recent enough to act on."""
        if self._reported_at is None:
            return False
        lifetime = _SLOW_REPORT_LIFETIME if self.is_slow else _REPORT_LIFETIME
        return now - self._reported_at < lifetime

    def observe(self, factor: float, now: float) -> None:
        """Record a report of the target.

        Args:
            factor: The ratio of current to usual service time.
            now: The time in seconds.
        """
        was_slow = self.is_slow
        gap = (
            0 if self._reported_at is None else max(0, now - self._reported_at)
        )
        self.factor = factor
        self._reported_at = now
        self._update_baseline(factor, now)
        kept = exp(-gap / _SHARE_LIFETIME)
        self.slow_share = kept * self.slow_share + (1 - kept) * was_slow
        if was_slow and gap <= _MAX_REPORT_GAP:
            self._count_slow_time(gap)

    def reset_baseline(self) -> None:
        """Forget the baseline, as it differs between cold and warm targets."""
        self._recent_minima.clear()

    @property
    def expected_start_delay(self) -> float:
        """Average seconds that a freed slot waits for a slow period to end."""
        return self.slow_share * self.expected_remaining

    def benefits_from_waiting(self, service_time: float) -> bool:
        """Return whether a call ends sooner by waiting out the slow period.

        Args:
            service_time: Its seconds when started at the baseline.
        """
        return (
            self.is_slow
            and self.added_seconds(service_time) > self.expected_remaining
        )

    def added_seconds(self, service_time: float) -> float:
        """Return how many seconds longer a call takes if started now.

        Args:
            service_time: Its seconds when started at the baseline.
        """
        return service_time * (self.relative_factor - 1)

    def _update_baseline(self, factor: float, now: float) -> None:
        while (
            self._recent_minima
            and self._recent_minima[0][0] < now - _BASELINE_WINDOW
        ):
            self._recent_minima.popleft()
        while self._recent_minima and self._recent_minima[-1][1] >= factor:
            self._recent_minima.pop()
        self._recent_minima.append((now, factor))

    def _count_slow_time(self, seconds: float) -> None:
        kept = exp(-seconds / _SLOW_PERIOD_LIFETIME)
        self._slow_seconds = kept * self._slow_seconds + seconds
        self._slow_period_ends = kept * self._slow_period_ends + (
            not self.is_slow
        )
