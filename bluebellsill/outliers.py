"""Tells a target that is slow from requests that take long.

The load that this answers: one target among several whose host slows down,
while its health and the load that it reports stay as they were. Its own
node cannot tell that from heavier requests; an entry node sees how long the
same kinds of requests take elsewhere.
"""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

from bluebellsill.work_times import WorkTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bluebellsill.target_view import TargetView

__all__ = ('Outliers',)

_WEIGHT = 0.25  # of a new answer in the average of a target
_SHORTEST = 0.0001  # seconds; below what a clock tells apart
_ENOUGH = 5  # answers until a target is compared with others
# Times as long as at the usual target; a cold one takes twice as long.
_MUCH_LONGER = 3.0
# A trial costs its caller the wait. Calls and seconds between two trials: few
# enough to leave the 99th percentile alone where there are many calls.
_TRIAL_CALLS = 150
_TRIAL_SECONDS = 3.0
_RARE_TRIAL_SECONDS = 10.0  # however few calls there are


class Outliers:
    """Compares the targets of a service by the pace of their answers.

    The pace of a target is how long its answers take in units of what the
    same routes take on an average, whatever the mix of routes is.
    """

    def __init__(self) -> None:
        """Create a comparison of targets that have not answered yet."""
        self._times = WorkTimes()
        self._calls = 0

    def on_answer(
        self,
        view: TargetView,
        route: str,
        seconds: float,
        now: float,
    ) -> None:
        """Take in how long an answer took.

        Args:
            view: The target that gave it.
            route: Names requests that take about as long.
            seconds: How long it took, the wait there included.
            now: The time in seconds.
        """
        seconds = max(seconds, _SHORTEST)
        self._times.observe(route, seconds)
        ratio = seconds / self._times.expected(route)
        view.answers += 1
        weight = max(_WEIGHT, 1 / view.answers)
        view.pace += weight * (ratio - view.pace)
        view.paced_at = now

    def without(
        self,
        views: Sequence[TargetView],
        now: float,
    ) -> list[TargetView]:
        """Return the targets that are not slow, or the one whose trial is due.

        Args:
            views: Those that may take a call.
            now: The time in seconds.
        """
        self._calls += 1
        known = [view.pace for view in views if view.answers >= _ENOUGH]
        if len(known) < 2:
            return list(views)
        bound = _MUCH_LONGER * median_low(known)
        usual: list[TargetView] = []
        for view in views:
            is_slow = view.answers >= _ENOUGH and view.pace > bound
            if not is_slow:
                usual.append(view)
            elif self._is_due(view, now):
                view.trial_call = self._calls
                view.paced_at = now
                return [view]
        return usual

    def _is_due(self, view: TargetView, now: float) -> bool:
        age = now - view.paced_at
        if age > _RARE_TRIAL_SECONDS:
            return True
        is_rare = self._calls - view.trial_call >= _TRIAL_CALLS
        return is_rare and age > _TRIAL_SECONDS
