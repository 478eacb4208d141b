"""Counters, gauges and latency histograms of a node."""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from typing import TYPE_CHECKING, Any

from hdrh.histogram import HdrHistogram

from bluebellsill.resources import DEFAULT_CLASS

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

__all__ = ('LatencyHistogram', 'Metrics', 'summarize')

_MIN_LATENCY = 1  # microseconds; the lowest value of a histogram
_MAX_LATENCY = 120_000_000  # microseconds; higher values are recorded as this
_SIGNIFICANT_DIGITS = 2  # of a latency; a precision of 1% suffices
# Services and classes that have a histogram, of 22 KB each. They come and go with
# the versions of the configuration.
_MAX_NAMES = 256
# Tenants with their own histogram, of 2.7 KB each; further tenants share one.
# Deployments with 77 teams exist.
_MAX_TENANTS = 128
_TENANT_DIGITS = 1  # significant ones; a precision of 10% suffices
_TENANT_COUNTER_BYTES = 4
_OTHER_TENANTS = 'other'
_MICROSECONDS_PER_SECOND = 1000000
_PERCENTILES = {'p50_ms': 50, 'p99_ms': 99, 'p999_ms': 99.9}


class LatencyHistogram:
    """A latency histogram."""

    __slots__ = ('_histogram',)

    def __init__(
        self, digits: int = _SIGNIFICANT_DIGITS, counter_bytes: int = 8
    ) -> None:
        """Create an empty histogram.

        Args:
            digits: Significant digits of a latency.
            counter_bytes: The size of a counter, of which there is one for
                each latency that can be told from others.
        """
        self._histogram = HdrHistogram(
            _MIN_LATENCY, _MAX_LATENCY, digits, counter_bytes
        )

    def record(self, seconds: float) -> None:
        """Record one latency."""
        microseconds = max(
            _MIN_LATENCY, int(seconds * _MICROSECONDS_PER_SECOND)
        )
        self._histogram.record_value(min(microseconds, _MAX_LATENCY))

    def reset(self) -> None:
        """Forget all latencies."""
        self._histogram.reset()

    def summary(self) -> dict[str, float]:
        """Return the count, and percentiles and maximum in milliseconds."""
        summary: dict[str, float] = {
            name: self._histogram.get_value_at_percentile(percentile) / 1e3
            for name, percentile in _PERCENTILES.items()
        }
        summary['max_ms'] = self._histogram.get_max_value() / 1e3
        summary['count'] = self._histogram.get_total_count()
        return summary


class _RecentHistograms(OrderedDict[str, LatencyHistogram]):
    """The histograms that were used last, by name."""

    def of(self, name: str) -> LatencyHistogram:
        """Return the histogram of a name; drop the one not used for longest."""
        histogram = self.get(name)
        if histogram is not None:
            self.move_to_end(name)
            return histogram
        if len(self) < _MAX_NAMES:
            histogram = LatencyHistogram()
        else:
            # Dropped histograms would stay in memory until the next collection
            # of reference cycles.
            _, histogram = self.popitem(last=False)
            histogram.reset()
        self[name] = histogram
        return histogram


class Metrics:
    """The counters, gauges and latency histograms of one node.

    Attributes:
        counts: The events so far.
        gauges: The functions that return the current values.
        refusals_by_team: Requests of each team that were refused without being
            run. Beyond 128 names, further teams share one.
    """

    def __init__(self) -> None:
        """Create empty metrics."""
        self.counts: Counter[str] = Counter()
        self.refusals_by_team: Counter[str] = Counter()
        self.gauges: dict[str, Callable[[], float]] = {}
        self._by_service = _RecentHistograms()
        self._by_class = _RecentHistograms()
        self._by_tenant: dict[str, LatencyHistogram] = defaultdict(
            lambda: LatencyHistogram(_TENANT_DIGITS, _TENANT_COUNTER_BYTES)
        )

    def record(
        self,
        service: str,
        request_class: str,
        tenant: str,
        seconds: float,
    ) -> None:
        """Record the latency of one answered call."""
        self._by_service.of(service).record(seconds)
        if request_class != DEFAULT_CLASS:
            self._by_class.of(f'{service}/{request_class}').record(seconds)
        self._by_tenant[_bounded(tenant, self._by_tenant)].record(seconds)

    def count_refusal(self, team: str) -> None:
        """Count a request of a team that was refused without being run."""
        self.refusals_by_team[_bounded(team, self.refusals_by_team)] += 1

    @property
    def latencies_by_kind(self) -> Mapping[str, Mapping[str, LatencyHistogram]]:
        """The histograms by name, for services, request classes and tenants."""
        return {
            'service': self._by_service,
            'class': self._by_class,
            'tenant': self._by_tenant,
        }

    def document(self) -> dict[str, Any]:
        """Return the counters and histogram summaries as JSON types."""
        return {
            'counts': dict(self.counts),
            'refusals_by_team': dict(self.refusals_by_team),
            'by_service': summarize(self._by_service),
            'by_class': summarize(self._by_class),
            'by_tenant': summarize(self._by_tenant),
        }


def _bounded(name: str, known: Collection[str]) -> str:
    """Return a tenant's name, or the one that all beyond the bound share."""
    is_new = name not in known
    return _OTHER_TENANTS if is_new and len(known) >= _MAX_TENANTS else name


def summarize(
    by_name: dict[str, LatencyHistogram],
) -> dict[str, dict[str, float]]:
    """Return the summary of each histogram."""
    return {name: histogram.summary() for name, histogram in by_name.items()}
