"""From how many requests at a time on a target works slower, as a whole."""

from __future__ import annotations

__all__ = ('Crowding',)

_WEIGHT = 0.05  # of a new answer in the average of a level
# Answers until a level is judged: work varies by a third, so that the
# average of so many is off by a twentieth.
_ENOUGH = 40


class Crowding:
    """Learns how much longer work takes when it starts beside others.

    Some targets slow down when they are nearly full. Beyond that point,
    more requests at a time mean fewer answers a second. The level of a
    request is the number that ran when it started, itself included.
    """

    def __init__(self, slots: int) -> None:
        """Create the crowding of a target that is not known to slow down."""
        self.slots = slots
        self._ratios = [1.0 for _ in range(slots)]
        self._answers = [0 for _ in range(slots)]

    @property
    def best_level(self) -> int:
        """How many requests at a time give the most answers a second."""
        return max(
            range(1, self.slots + 1),
            key=lambda level: (level / self._ratio(level), level),
        )

    def is_roomy(self, level: int) -> bool:
        """Return whether a level is low enough to be the measure of others."""
        return level <= max(1, self.slots // 2)

    def observe(self, level: int, ratio: float) -> None:
        """Take in an answer.

        Args:
            level: The requests that ran when the work began.
            ratio: How long it took, in units of what it takes with room.
        """
        if level > self.slots or self.is_roomy(level):
            return
        index = level - 1
        self._answers[index] += 1
        weight = max(_WEIGHT, 1 / self._answers[index])
        self._ratios[index] += weight * (ratio - self._ratios[index])

    def _ratio(self, level: int) -> float:
        if self._answers[level - 1] < _ENOUGH:
            return 1.0
        return max(1.0, self._ratios[level - 1])
