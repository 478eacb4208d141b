"""Histograms are created once per service and tenant, and are exposed."""

from __future__ import annotations

import subprocess
import sys
import tracemalloc

import pytest
from hdrh.histogram import HdrHistogram

from bluebellsill import metrics
from bluebellsill.exposition import exposition
from bluebellsill.metrics import Metrics


def test_histogram_is_not_created_for_each_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    created: list[HdrHistogram] = []

    def create(*arguments: int) -> HdrHistogram:
        created.append(HdrHistogram(*arguments))
        return created[-1]

    monkeypatch.setattr(metrics, 'HdrHistogram', create)
    node_metrics = Metrics()
    for _ in range(100):
        node_metrics.record('bookings', 'default', 'club', 0.01)
    assert len(created) == 2


def test_summary_contains_percentiles() -> None:
    node_metrics = Metrics()
    for milliseconds in range(1, 101):
        node_metrics.record('bookings', 'default', 'club', milliseconds / 1000)
    summary = node_metrics.document()['by_service']['bookings']
    assert summary['count'] == 100
    # Histograms keep two significant digits.
    assert summary['p50_ms'] == pytest.approx(50, rel=0.01)
    assert summary['p99_ms'] == pytest.approx(99, rel=0.01)


def test_number_of_tenants_is_bounded() -> None:
    node_metrics = Metrics()
    node_metrics.record('bookings', 'default', 'tenant-0', 0.01)
    tracemalloc.start()
    for tenant in range(1, 1000):
        node_metrics.record('bookings', 'default', f'tenant-{tenant}', 0.01)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    by_tenant = node_metrics.document()['by_tenant']
    assert len(by_tenant) == 129
    assert by_tenant['other']['count'] == 872
    # 65 histograms with the precision of services took 1,490,000.
    assert kept_bytes < 400_000


def test_refusals_are_counted_by_team_in_bounded_memory() -> None:
    node_metrics = Metrics()
    tracemalloc.start()
    for team in range(1000):
        node_metrics.count_refusal(f'team-{team}')
    node_metrics.count_refusal('team-0')
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    refusals = node_metrics.document()['refusals_by_team']
    assert len(refusals) == 129
    assert refusals['team-0'] == 2
    assert refusals['other'] == 872
    assert kept_bytes < 30_000
    text = exposition(node_metrics).decode()
    assert 'bluebellsill_refusals_total{tenant="team-0"} 2.0' in text


def test_classes_have_their_own_histograms() -> None:
    node_metrics = Metrics()
    node_metrics.record('bookings', 'payments', 'club', 0.02)
    node_metrics.record('bookings', 'default', 'club', 0.01)
    document = node_metrics.document()
    assert list(document['by_class']) == ['bookings/payments']
    assert document['by_class']['bookings/payments']['count'] == 1
    assert document['by_service']['bookings']['count'] == 2


def test_exposition_contains_counts_gauges_and_latencies() -> None:
    node_metrics = Metrics()
    node_metrics.counts['answered'] += 3
    node_metrics.gauges['members'] = lambda: 7
    node_metrics.record('bookings', 'payments', 'club', 0.02)
    text = exposition(node_metrics).decode()
    assert 'bluebellsill_events_total{event="answered"} 3.0' in text
    assert 'bluebellsill_state{of="members"} 7.0' in text
    assert 'class="bookings/payments",statistic="count"} 1.0' in text


def test_node_starts_without_importing_the_prometheus_client() -> None:
    code = (
        'import sys, bluebellsill.mesh_node;'
        'sys.exit("prometheus_client" in sys.modules)'
    )
    completed = subprocess.run([sys.executable, '-c', code], timeout=30)
    assert completed.returncode == 0


def test_histogram_of_a_new_service_has_nothing_of_a_dropped_one() -> None:
    node_metrics = Metrics()
    for number in range(300):
        node_metrics.record(f'shop-{number}', 'default', 'club', 1)
    node_metrics.record('shop-0', 'default', 'club', 0.01)
    by_service = node_metrics.document()['by_service']
    assert by_service['shop-0']['count'] == 1
    assert by_service['shop-0']['max_ms'] < 20
    assert by_service['shop-299']['count'] == 1
