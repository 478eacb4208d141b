"""The number of requests that one target bears at a time."""

from __future__ import annotations

from bluebellsill.level import Level

__all__ = ('Ramp',)

_COLD_LIMIT = 1  # request at a time at a target that nobody knows
_ANSWERS_FOR_STEP = 8  # for each step, times the limit
_SPARE_WEIGHT = 0.25  # of an answer while the limit was not used up
_LATENCY_FLOOR = 0.002  # seconds; below it, jitter hides the trend


class Ramp:
    """Lets a target's limit climb by evidence and fall at once.

    A target starts cold, at one request at a time. Each step up takes
    whole answers at the present limit, at about the usual latency. A
    shed answer or a jump in latency halves the limit; a crash or a
    restart makes the target cold again.
    """

    def __init__(self, slots: int) -> None:
        """Start cold.

        Args:
            slots: What the target bears when warm.
        """
        self.slots = slots
        self.limit = _COLD_LIMIT
        self._answers: float = 0
        self._level = Level()

    @property
    def latency(self) -> float:
        """The usual time of an answer in seconds, 0 before the first."""
        return self._level.usual

    def resize(self, slots: int) -> None:
        """Set what the target bears when warm."""
        self.slots = slots
        self.limit = min(self.limit, slots)

    def on_cold(self) -> None:
        """Start cold again: the target is new, has restarted or crashed."""
        self.limit = _COLD_LIMIT
        self._answers = 0
        self._level = Level()

    def on_shed(self) -> None:
        """Halve the limit: the target said that it bears no more."""
        self.limit = max(_COLD_LIMIT, self.limit // 2)
        self._answers = 0

    def on_answer(self, latency: float, in_flight: int) -> None:
        """Take a whole answer as evidence.

        Args:
            latency: Seconds from the dispatch to the whole answer.
            in_flight: Requests that ran at the time, this one included.
        """
        if self._level.observe(max(latency, _LATENCY_FLOOR)):
            self.on_shed()
            return
        # A target with spare room proves less about a higher limit.
        self._answers += 1 if in_flight >= self.limit else _SPARE_WEIGHT
        if self._answers >= _ANSWERS_FOR_STEP * self.limit:
            self._answers = 0
            self.limit = min(self.slots, self.limit + 1)
