"""Learns at which concurrency a target has the highest throughput."""

from __future__ import annotations

__all__ = ('ConcurrencyEstimator',)

_MIN_WEIGHT = 0.05  # of a new answer in the average of its concurrency
# Answers before the average of a concurrency is used: service times vary by a
# third, so the average of 40 is off by about a twentieth.
_MIN_ANSWERS = 40


class ConcurrencyEstimator:
    """Learns how service times grow with the concurrency at one target.

    Some targets slow down when most of their slots are in use. Beyond that
    point, more concurrent requests mean fewer answers a second. The
    concurrency of a request is the number of requests running when it
    started, itself included.
    """

    def __init__(self, slots: int) -> None:
        """Assume a target whose service times do not grow with concurrency."""
        self.slots = slots
        self._ratios = [1.0 for _ in range(slots)]
        self._answers = [0 for _ in range(slots)]

    @property
    def best_concurrency(self) -> int:
        """The number of concurrent requests with the most answers a second."""
        return max(
            range(1, self.slots + 1),
            key=lambda concurrency: (
                concurrency / self._ratio(concurrency),
                concurrency,
            ),
        )

    def is_reference(self, concurrency: int) -> bool:
        """Return whether a concurrency is low enough to compare others with."""
        return concurrency <= max(1, self.slots // 2)

    def observe(self, concurrency: int, ratio: float) -> None:
        """Record the service time of an answer.

        Args:
            concurrency: The requests running at its start, itself included.
            ratio: Its service time, divided by that at low concurrency.
        """
        if concurrency > self.slots or self.is_reference(concurrency):
            return
        index = concurrency - 1
        self._answers[index] += 1
        weight = max(_MIN_WEIGHT, 1 / self._answers[index])
        self._ratios[index] += weight * (ratio - self._ratios[index])

    def _ratio(self, concurrency: int) -> float:
        if self._answers[concurrency - 1] < _MIN_ANSWERS:
            return 1.0
        return max(1.0, self._ratios[concurrency - 1])
