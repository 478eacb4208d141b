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
        # Only for concurrencies that occurred: a target may state any number of
        # slots.
        self._ratios: dict[int, float] = {}
        self._answers: dict[int, int] = {}
        self._best: int | None = None  # None if it has to be found again

    @property
    def best_concurrency(self) -> int:
        """The number of concurrent requests with the most answers a second."""
        if self._best is None:
            self._best = self._find_best()
        return self._best

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
        answers = self._answers.get(concurrency, 0) + 1
        self._answers[concurrency] = answers
        weight = max(_MIN_WEIGHT, 1 / answers)
        known = self._ratios.get(concurrency, 1)
        self._ratios[concurrency] = known + weight * (ratio - known)
        self._best = None

    def _find_best(self) -> int:
        # Without enough answers the ratio is assumed to be 1, so of all such
        # concurrencies the highest one is the best.
        highest = self.slots
        while highest > 1 and self._is_known(highest):
            highest -= 1
        known = [one for one in self._ratios if self._is_known(one)]
        return max(
            (highest, *known),
            key=lambda concurrency: (
                concurrency / self._ratio(concurrency),
                concurrency,
            ),
        )

    def _is_known(self, concurrency: int) -> bool:
        return self._answers.get(concurrency, 0) >= _MIN_ANSWERS

    def _ratio(self, concurrency: int) -> float:
        if not self._is_known(concurrency):
            return 1.0
        return max(1.0, self._ratios[concurrency])
