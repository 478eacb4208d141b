"""Detects sudden shifts in the latency of answers."""

from __future__ import annotations

__all__ = ('LatencyShiftDetector',)

_OUTLIER_FACTOR = 3  # times the median; beyond the spread of usual work
_MEDIAN_STEP = 0.02  # fraction by which the median moves with each answer
# A streak of outliers that is at most this probable is taken for a shift.
_MAX_CHANCE_PROBABILITY = 1e-4
_MIN_OUTLIER_SHARE = 0.01  # share of outliers that is always expected
_MAX_OUTLIER_SHARE = 0.5  # upper bound of the estimated share of outliers
_SHARE_WEIGHT = 0.02  # of an answer in the average share of outliers


class _OutlierStreak:
    """Counts consecutive outliers and judges whether they are chance."""

    def __init__(self) -> None:
        self._outlier_share = _MIN_OUTLIER_SHARE
        self._outliers: list[float] = []

    def observe(self, seconds: float, *, is_outlier: bool) -> bool:
        """Record an answer; return whether the streak exceeds chance."""
        if is_outlier:
            self._outliers.append(seconds)
            return bool(
                self._outlier_share ** len(self._outliers)
                <= _MAX_CHANCE_PROBABILITY
            )
        kept = 1 - _SHARE_WEIGHT
        share = 1 - (1 - self._outlier_share) * kept ** len(self._outliers)
        self._outlier_share = min(
            _MAX_OUTLIER_SHARE, max(_MIN_OUTLIER_SHARE, share * kept)
        )
        self._outliers.clear()
        return False

    def close(self) -> float:
        """Clear the streak and return the median of its answers."""
        median = sorted(self._outliers)[len(self._outliers) // 2]
        self._outliers.clear()
        return median


class LatencyShiftDetector:
    """Tracks the median latency and detects when it shifts.

    An answer is an outlier if it takes more than three times the median,
    or less than a third. A streak of outliers is a shift if the usual
    share of outliers does not explain it: two in a row where there are
    none, and more where heavy requests are mixed with light ones.
    """

    def __init__(self) -> None:
        """Create a detector without answers."""
        self.median: float = 0
        self._slow = _OutlierStreak()
        self._fast = _OutlierStreak()

    def observe(self, seconds: float) -> bool:
        """Record the latency of an answer.

        Args:
            seconds: The latency.

        Returns:
            Whether the latency has shifted upwards.
        """
        median = self.median
        if not median:
            self.median = seconds
            return False
        factor = 1 + _MEDIAN_STEP
        self.median *= factor if seconds > median else 1 / factor
        is_slow = seconds > median * _OUTLIER_FACTOR
        is_fast = seconds < median / _OUTLIER_FACTOR
        if self._fast.observe(seconds, is_outlier=is_fast):
            self.median = self._fast.close()
        if self._slow.observe(seconds, is_outlier=is_slow):
            self.median = self._slow.close()
            return True
        return False
