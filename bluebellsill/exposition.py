"""The metrics of a node in the text format of Prometheus."""

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

    from bluebellsill.metrics import Latencies, Metrics

__all__ = ('exposition',)


def exposition(metrics: Metrics) -> bytes:
    """Return everything that a node counts, as text."""
    registry = CollectorRegistry()
    registry.register(_Collector(metrics))
    return generate_latest(registry)


class _Collector:
    """Turns a node's metrics into families when they are asked for."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield each family."""
        events = CounterMetricFamily(
            'bluebellsill_events',
            'What became of requests, and what it cost',
            labels=('event',),
        )
        for name, count in self._metrics.counts.items():
            events.add_metric((name,), count)
        yield events
        gauges = GaugeMetricFamily(
            'bluebellsill_state',
            'What the node has now',
            labels=('of',),
        )
        for of, read in self._metrics.gauges.items():
            gauges.add_metric((of,), read())
        yield gauges
        for kind, by_name in self._metrics.latencies_by_kind.items():
            yield _latencies(kind, by_name)


def _latencies(
    kind: str,
    by_name: Mapping[str, Latencies],
) -> GaugeMetricFamily:
    family = GaugeMetricFamily(
        f'bluebellsill_{kind}_latency_milliseconds',
        f'Latencies of answered requests by {kind}',
        labels=(kind, 'statistic'),
    )
    for name, one in by_name.items():
        for statistic, figure in one.summary().items():
            family.add_metric((name, statistic), figure)
    return family
