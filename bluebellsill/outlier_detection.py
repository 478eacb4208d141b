"""Detects targets that answer more slowly than the others of a service.

It guards against a target whose host slows down while its health and the
load that it reports stay the same. The target's own node cannot tell this
from heavier requests. An entry node can, because it sees how long requests
of the same routes take at the other targets.
"""

from __future__ import annotations

from statistics import median_low
from typing import TYPE_CHECKING

from bluebellsill.service_times import ServiceTimes

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bluebellsill.target_view import TargetView

__all__ = ('OutlierDetector',)

_WEIGHT = 0.25  # of a new answer in the moving average of a target
_MIN_SECONDS = 0.0001  # below the resolution of the clock
_MIN_ANSWERS = 5  # until a target is compared with the others
# Ratio to the median target's relative latency from which a target counts as
# slow. A target that has just started takes about twice as long as usual, and
# must not be excluded.
_SLOW_RATIO = 3.0
# Minimum calls and seconds between two trial calls to a slow target. A trial
# delays its caller, so trials are rare enough to leave the 99th percentile of
# the latency unaffected where there are many calls.
_TRIAL_CALLS = 150
_TRIAL_SECONDS = 3.0
_MAX_TRIAL_SECONDS = 10.0  # after which a trial is due after any call count


class OutlierDetector:
    """Compares the targets of a service by their relative latency.

    The relative latency of a target is the average ratio of its latencies
    to the average of all targets on the same route, so that it does not
    depend on the mix of routes.
    """

    def __init__(self) -> None:
        """Create a detector that has observed no answers."""
        self._times = ServiceTimes()
        self._calls = 0

    def on_answer(
        self,
        view: TargetView,
        route: str,
        seconds: float,
        now: float,
    ) -> None:
        """Record the latency of an answer.

        Args:
            view: The target that answered.
            route: The route name, under which latencies are compared.
            seconds: The latency, including time in the target's queue.
            now: The time in seconds.
        """
        seconds = max(seconds, _MIN_SECONDS)
        self._times.observe(route, seconds)
        ratio = seconds / self._times.expected(route)
        view.answer_count += 1
        weight = max(_WEIGHT, 1 / view.answer_count)
        view.relative_latency += weight * (ratio - view.relative_latency)
        view.relative_latency_at = now

    def exclude_slow(
        self,
        views: Sequence[TargetView],
        now: float,
    ) -> list[TargetView]:
        """Return the targets that are not slow, or one that is due for a trial.

        Args:
            views: The targets that are eligible for a call.
            now: The time in seconds.
        """
        self._calls += 1
        ratios = [
            view.relative_latency
            for view in views
            if view.answer_count >= _MIN_ANSWERS
        ]
        if len(ratios) < 2:
            return list(views)
        max_ratio = _SLOW_RATIO * median_low(ratios)
        not_slow: list[TargetView] = []
        for view in views:
            is_slow = (
                view.answer_count >= _MIN_ANSWERS
                and view.relative_latency > max_ratio
            )
            if not is_slow:
                not_slow.append(view)
            elif self._is_trial_due(view, now):
                view.last_trial_call = self._calls
                view.relative_latency_at = now
                return [view]
        return not_slow

    def _is_trial_due(self, view: TargetView, now: float) -> bool:
        age = now - view.relative_latency_at
        if age > _MAX_TRIAL_SECONDS:
            return True
        has_enough_calls = self._calls - view.last_trial_call >= _TRIAL_CALLS
        return has_enough_calls and age > _TRIAL_SECONDS
