"""The metrics of a node in the Prometheus text format."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
)

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from prometheus_client import Metric

    from bluebellsill.metrics import LatencyHistogram, Metrics

__all__ = ('exposition',)


def exposition(metrics: Metrics) -> bytes:
    """Return all metrics of a node in the Prometheus text format."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Converts a node's metrics to metric families at collection."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield each metric family."""
        events = CounterMetricFamily(
            'bluebellsill_events',
            'What became of requests, and what it cost',
            labels=('event',),
        )
        for name, count in self._metrics.counts.items():
            events.add_metric((name,), count)
        yield events
        refusals = CounterMetricFamily(
            'bluebellsill_refusals',
            'Requests of each team that were refused without being run',
            labels=('tenant',),
        )
        for team, count in self._metrics.refusals_by_team.items():
            refusals.add_metric((team,), count)
        yield refusals
        gauges = GaugeMetricFamily(
            'bluebellsill_state',
            'What the node has now',
            labels=('of',),
        )
        for name, read in self._metrics.gauges.items():
            gauges.add_metric((name,), read())
        yield gauges
        for kind, by_name in self._metrics.latencies_by_kind.items():
            yield _latencies(kind, by_name)


def _latencies(
    kind: str,
    by_name: Mapping[str, LatencyHistogram],
) -> GaugeMetricFamily:
    family = GaugeMetricFamily(
        f'bluebellsill_{kind}_latency_milliseconds',
        f'Latencies of answered requests by {kind}',
        labels=(kind, 'statistic'),
    )
    for name, histogram in by_name.items():
        for statistic, value in histogram.summary().items():
            family.add_metric((name, statistic), value)
    return family
