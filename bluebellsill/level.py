"""The usual time of an answer, and whether it has jumped."""

from __future__ import annotations

__all__ = ('Level',)

_JUMP_FACTOR = 3  # times the median; beyond the spread of usual work
_MEDIAN_STEP = 0.02  # share by which the median moves with each answer
_MAX_CHANCE = 1e-4  # of a streak that is taken for chance
_RARE = 0.01  # share of odd answers that is always expected
_COMMON = 0.5  # share of odd answers at most
_SHARE_WEIGHT = 0.02  # of an answer in the share of odd ones


class _Streak:
    """Consecutive odd answers, and how likely they are by chance."""

    def __init__(self) -> None:
        self._share = _RARE
        self._odd: list[float] = []

    def observe(self, seconds: float, *, is_odd: bool) -> bool:
        """Return whether the streak is too long for chance."""
        if is_odd:
            self._odd.append(seconds)
            return bool(self._share ** len(self._odd) <= _MAX_CHANCE)
        kept = 1 - _SHARE_WEIGHT
        odd = 1 - (1 - self._share) * kept ** len(self._odd)
        self._share = min(_COMMON, max(_RARE, odd * kept))
        self._odd.clear()
        return False

    def end(self) -> float:
        """End a streak that is no chance and return its median."""
        median = sorted(self._odd)[len(self._odd) // 2]
        self._odd.clear()
        return median


class Level:
    """Follows the median of answer times and notices when it jumps.

    An answer is odd if it takes more than three times the median, or
    less than a third. A streak of odd answers is a jump if the usual
    share of odd answers does not explain it: two in a row where there
    are none, and more where heavy requests come among light ones.
    """

    def __init__(self) -> None:
        """Create a level that has seen no answer."""
        self.usual: float = 0
        self._slow = _Streak()
        self._fast = _Streak()

    def observe(self, seconds: float) -> bool:
        """Take in an answer.

        Args:
            seconds: How long it took.

        Returns:
            Whether answers have begun to take much longer.
        """
        usual = self.usual
        if not usual:
            self.usual = seconds
            return False
        factor = 1 + _MEDIAN_STEP
        self.usual *= factor if seconds > usual else 1 / factor
        is_slow = seconds > usual * _JUMP_FACTOR
        is_fast = seconds < usual / _JUMP_FACTOR
        if self._fast.observe(seconds, is_odd=is_fast):
            self.usual = self._fast.end()
        if self._slow.observe(seconds, is_odd=is_slow):
            self.usual = self._slow.end()
            return True
        return False
