"""Finds the number of concurrent requests that a target can take."""

from __future__ import annotations

from bluebellsill.latency_shift import LatencyShiftDetector

__all__ = ('Ramp',)

_COLD_LIMIT = 1  # concurrent requests at a target without any answers
_ANSWERS_FOR_STEP = 8  # times the limit, for each step up
_SPARE_WEIGHT = 0.25  # of an answer while the limit was not reached
_LATENCY_FLOOR = 0.002  # seconds; below it, jitter hides any shift


class Ramp:
    """Raises a target's concurrency limit slowly and lowers it at once.

    A target starts cold, at one request at a time. Each step up takes
    complete answers at the present limit, at about the usual latency. A
    call that the target sheds or an upward shift in latency halves the
    limit; a crash or a restart makes the target cold again.
    """

    def __init__(self, slots: int) -> None:
        """Create the ramp of a cold target.

        Args:
            slots: How many requests the warm target can run at a time.
        """
        self.slots = slots
        self.limit = _COLD_LIMIT
        self._answers: float = 0
        self._shift_detector = LatencyShiftDetector()

    @property
    def latency(self) -> float:
        """The median latency of answers in seconds, 0 before the first."""
        return self._shift_detector.median

    def resize(self, slots: int) -> None:
        """Set how many requests the warm target can run at a time."""
        self.slots = slots
        self.limit = min(self.limit, slots)

    def on_cold(self) -> None:
        """Start again: the target is new, has restarted or has crashed."""
        self.limit = _COLD_LIMIT
        self._answers = 0
        self._shift_detector = LatencyShiftDetector()

    def on_overload(self) -> None:
        """Halve the limit: the target is overloaded."""
        self.limit = max(_COLD_LIMIT, self.limit // 2)
        self._answers = 0

    def on_answer(self, latency: float, in_flight: int) -> None:
        """Record a complete answer.

        Args:
            latency: Seconds from the dispatch to the complete answer.
            in_flight: The requests running then, this one included.
        """
        if self._shift_detector.observe(max(latency, _LATENCY_FLOOR)):
            self.on_overload()
            return
        # Answers below the limit say less about whether a higher one is safe.
        self._answers += 1 if in_flight >= self.limit else _SPARE_WEIGHT
        if self._answers >= _ANSWERS_FOR_STEP * self.limit:
            self._answers = 0
            self.limit = min(self.slots, self.limit + 1)
