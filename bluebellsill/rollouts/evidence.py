"""Outcomes of requests by route and version, and what they prove."""

from __future__ import annotations

from collections import Counter, defaultdict, deque
from dataclasses import dataclass, field
from math import inf, log
from typing import TYPE_CHECKING

from bluebellsill.messages import OutcomeRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ('Evidence', 'Finding', 'Outcomes', 'latency_bucket')

_BUCKET_RATIO = 1.1  # of the latencies of two neighbouring buckets
_MAX_BUCKET = 160  # above an hour; rejects corrupt reports
_MIN_MS = 1.0
_MS_PER_SECOND = 1000
_MAX_ROUTES = 64  # with outcomes of their own; further routes share one
_OTHER_ROUTES = 'other'
_ALL_ROUTES = ''
# A response is slow if it takes more than twice the old version's median on
# its route: 1.1 ** 8 = 2.1.
_SLOW_BUCKETS = 8
_MIN_BASE_ANSWERS = 10  # of the old version, for a median
# The old version's share of bad responses is taken to be this much higher, so
# that small differences, which do no harm, are no evidence.
_FAILED_FACTOR = 1.2
_SLOW_FACTOR = 1.5
_UNKNOWN_BASE_SHARE = 0.02  # if the old version has no responses on a route
_MAX_EXPECTED = 0.99
_MIN_BAD = 5  # responses
# Seconds with failures among the latest. A target that is killed fails its
# requests within one second, which says nothing of its version.
_MIN_FAILED_SECONDS = 2
_MANY_FAILED = 30  # failures that are evidence also within one second
# Seconds over which the versions are compared, with the difference that is
# allowed; 0 for all time since the order. Neighbours slow a target for 0.2 s
# at a time, some times in 10 s, and the new version has few targets, so that
# slow responses must be many or last.
_FAILED_WINDOWS = ((10, 0.003), (0, 0.003))
_SLOW_WINDOWS = ((3, 0.15), (6, 0.1), (8, 0.07), (0, 0.03))
_RECENT_SECONDS = 10


def latency_bucket(seconds: float) -> int:
    """Return the number of the bucket for a latency."""
    ms = max(_MIN_MS, seconds * _MS_PER_SECOND)
    return min(_MAX_BUCKET, int(log(ms) / log(_BUCKET_RATIO)))


@dataclass(slots=True)
class _Tally:
    """The outcomes of requests of one route at one version."""

    failed: int = 0
    by_bucket: Counter[int] = field(default_factory=Counter)

    @property
    def total(self) -> int:
        return self.failed + self.by_bucket.total()

    def slow(self, limit: int | None) -> int:
        """Return the number of latencies above a bucket."""
        if limit is None:
            return 0
        return sum(
            count for bucket, count in self.by_bucket.items() if bucket > limit
        )

    def median(self) -> int | None:
        """Return the bucket of the median latency, None if unknown."""
        total = self.by_bucket.total()
        if total < _MIN_BASE_ANSWERS:
            return None
        left = total / 2
        for bucket in sorted(self.by_bucket):
            left -= self.by_bucket[bucket]
            if left <= 0:
                return bucket
        return None


class Outcomes:
    """Counts outcomes by route and version."""

    def __init__(self) -> None:
        """Create empty counts."""
        self._tallies: dict[tuple[str, bool], _Tally] = {}

    def record(
        self, route: str, seconds: float, *, is_canary: bool, has_failed: bool
    ) -> None:
        """Count one response of the new version or the old one."""
        tally = self.tally(route, is_canary=is_canary)
        if has_failed:
            tally.failed += 1
        else:
            tally.by_bucket[latency_bucket(seconds)] += 1

    def add(self, rows: Iterable[OutcomeRow]) -> None:
        """Add counts that ``rows`` returned; invalid ones are left out."""
        for row in rows:
            tally = self.tally(row.route, is_canary=row.is_canary)
            tally.failed += max(0, row.failed)
            for bucket, count in row.buckets:
                if 0 <= bucket <= _MAX_BUCKET and count > 0:
                    tally.by_bucket[bucket] += count

    def rows(self) -> list[OutcomeRow]:
        """Return all counts."""
        return [
            OutcomeRow(
                route, is_canary, tally.failed, sorted(tally.by_bucket.items())
            )
            for (route, is_canary), tally in self._tallies.items()
            if tally.total
        ]

    def tally(self, route: str, *, is_canary: bool) -> _Tally:
        """Return the counts of a route at a version."""
        key = (route, is_canary)
        if key not in self._tallies and len(self._tallies) >= 2 * _MAX_ROUTES:
            key = (_OTHER_ROUTES, is_canary)
        return self._tallies.setdefault(key, _Tally())

    def routes(self) -> list[str]:
        """Return the routes that have counts."""
        return sorted({route for route, _ in self._tallies})

    def total(self, *, is_canary: bool) -> int:
        """Return the number of responses of a version."""
        return sum(
            tally.total
            for (_, is_of_canary), tally in self._tallies.items()
            if is_of_canary == is_canary
        )


@dataclass(frozen=True, slots=True)
class Finding:
    """A difference between the versions.

    Attributes:
        route: The route, empty for all together.
        symptom: ``failed`` or ``slow``.
        window: Over how many seconds, 0 for all since the order.
        bad: The bad responses of the new version.
        total: All its responses.
        base_bad: The bad responses of the old version.
        base_total: All its responses.
        score: The negative logarithm of a bound on the probability that the
            old version has so many bad responses.
    """

    route: str
    symptom: str
    window: int
    bad: int
    total: int
    base_bad: int
    base_total: int
    score: float


class Evidence:
    """Compares the new version with the old one, by route.

    The comparison uses all responses since the order, and apart from them the
    latest: a version may turn bad, and trouble of the old one may have passed.
    """

    def __init__(self) -> None:
        """Create an object without evidence."""
        self.all = Outcomes()
        self._by_second: deque[tuple[int, Outcomes]] = deque()

    def add(self, rows: list[OutcomeRow], now: float) -> None:
        """Add the outcomes of a report."""
        self.all.add(rows)
        second = int(now)
        if not self._by_second or self._by_second[-1][0] != second:
            self._by_second.append((second, Outcomes()))
        self._by_second[-1][1].add(rows)
        while self._by_second[0][0] < second - _RECENT_SECONDS:
            self._by_second.popleft()

    def worst(self) -> Finding | None:
        """Return the strongest evidence against the new version."""
        limits = self._limits()
        # Each second is compared once for all windows, because the node also
        # serves requests.
        by_second = [
            (second, _compare(outcomes, limits))
            for second, outcomes in self._by_second
        ]
        by_window = {0: [_compare(self.all, limits)]}
        for window, _ in (*_FAILED_WINDOWS, *_SLOW_WINDOWS):
            if window:
                by_window[window] = [
                    compared
                    for second, compared in by_second
                    if second > by_second[-1][0] - window
                ]
        findings = [
            *self._findings('failed', _FAILED_WINDOWS, by_window),
            *self._findings('slow', _SLOW_WINDOWS, by_window),
        ]
        return max(findings, key=lambda one: one.score, default=None)

    def _limits(self) -> dict[str, int | None]:
        """Return for each route the highest bucket that is not slow."""
        limits: dict[str, int | None] = {}
        for route in self.all.routes():
            median = self.all.tally(route, is_canary=False).median()
            limits[route] = None if median is None else median + _SLOW_BUCKETS
        return limits

    def _findings(
        self,
        symptom: str,
        windows: tuple[tuple[int, float], ...],
        by_window: dict[int, list[_Compared]],
    ) -> Iterator[Finding]:
        """Return what speaks against the new version, for all windows."""
        for window, margin in windows:
            sums = _sums(one[symptom] for one in by_window[window])
            for route, total in sums.items():
                finding = total.finding(route, symptom, window, margin)
                if finding.score and self._is_lasting(finding):
                    yield finding

    def _is_lasting(self, finding: Finding) -> bool:
        """Return whether the failures are more than those of one moment."""
        if finding.symptom == 'slow' or finding.bad >= _MANY_FAILED:
            return True
        seconds = 0
        for _, outcomes in self._by_second:
            is_one = finding.route != _ALL_ROUTES
            routes = [finding.route] if is_one else outcomes.routes()
            seconds += any(
                outcomes.tally(route, is_canary=True).failed for route in routes
            )
        return seconds >= _MIN_FAILED_SECONDS


@dataclass(slots=True)
class _Comparison:
    """The bad responses and all responses of both versions."""

    bad: int = 0
    total: int = 0
    base_bad: int = 0
    base_total: int = 0

    def add(self, other: _Comparison) -> None:
        """Add the responses of a route."""
        self.bad += other.bad
        self.total += other.total
        self.base_bad += other.base_bad
        self.base_total += other.base_total

    def finding(
        self, route: str, symptom: str, window: int, margin: float
    ) -> Finding:
        """Return what the comparison proves."""
        base_share = _UNKNOWN_BASE_SHARE
        if self.base_total:
            base_share = (self.base_bad + 0.5) / (self.base_total + 1)
        factor = _SLOW_FACTOR if symptom == 'slow' else _FAILED_FACTOR
        expected = min(_MAX_EXPECTED, factor * base_share + margin)
        score: float = 0
        if self.bad >= _MIN_BAD:
            score = _score(self.bad, self.total, expected)
        return Finding(
            route,
            symptom,
            window,
            self.bad,
            self.total,
            self.base_bad,
            self.base_total,
            score,
        )


# The comparisons of both versions, by symptom and route.
_Compared = dict[str, dict[str, _Comparison]]


def _compare(outcomes: Outcomes, limits: dict[str, int | None]) -> _Compared:
    """Compare the responses of each route."""
    compared: _Compared = {'failed': {}, 'slow': {}}
    for route in outcomes.routes():
        base = outcomes.tally(route, is_canary=False)
        canary = outcomes.tally(route, is_canary=True)
        limit = limits.get(route)
        totals = (canary.total, base.total)
        compared['failed'][route] = _Comparison(
            canary.failed, totals[0], base.failed, totals[1]
        )
        compared['slow'][route] = _Comparison(
            canary.slow(limit), totals[0], base.slow(limit), totals[1]
        )
    return compared


def _sums(
    parts: Iterable[dict[str, _Comparison]],
) -> dict[str, _Comparison]:
    """Return the sums by route, and of all routes."""
    sums: defaultdict[str, _Comparison] = defaultdict(_Comparison)
    for by_route in parts:
        for route, comparison in by_route.items():
            sums[route].add(comparison)
            sums[_ALL_ROUTES].add(comparison)
    return sums


def _score(bad: int, total: int, expected: float) -> float:
    """Return Chernoff's bound on a share of bad responses, as a logarithm.

    With a share of ``expected`` the probability of so many bad responses is
    at most exp(-score).
    """
    if not total:
        return 0
    share = bad / total
    if share <= expected:
        return 0
    if share >= 1:
        return total * -log(expected) if expected else inf
    return total * (
        share * log(share / expected)
        + (1 - share) * log((1 - share) / (1 - expected))
    )
