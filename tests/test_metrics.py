"""Histograms are made once for each service and tenant."""

from __future__ import annotations

import subprocess
import sys

import pytest
from hdrh.histogram import HdrHistogram

from bluebellsill import metrics
from bluebellsill.exposition import exposition
from bluebellsill.metrics import Metrics


def test_histogram_is_not_made_for_each_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    made: list[HdrHistogram] = []

    def make(*arguments: int) -> HdrHistogram:
        made.append(HdrHistogram(*arguments))
        return made[-1]

    monkeypatch.setattr(metrics, 'HdrHistogram', make)
    found = Metrics()
    for _ in range(100):
        found.record('bookings', 'default', 'club', 0.01)
    assert len(made) == 2


def test_summary_tells_percentiles() -> None:
    found = Metrics()
    for milliseconds in range(1, 101):
        found.record('bookings', 'default', 'club', milliseconds / 1000)
    summary = found.document()['by_service']['bookings']
    assert summary['count'] == 100
    # Two significant digits.
    assert summary['p50_ms'] == pytest.approx(50, rel=0.01)
    assert summary['p99_ms'] == pytest.approx(99, rel=0.01)


def test_tenants_are_bounded() -> None:
    found = Metrics()
    for tenant in range(1000):
        found.record('bookings', 'default', f'tenant-{tenant}', 0.01)
    by_tenant = found.document()['by_tenant']
    assert len(by_tenant) == 65
    assert by_tenant['other']['count'] == 936


def test_classes_have_histograms_of_their_own() -> None:
    found = Metrics()
    found.record('bookings', 'payments', 'club', 0.02)
    found.record('bookings', 'default', 'club', 0.01)
    document = found.document()
    assert list(document['by_class']) == ['bookings/payments']
    assert document['by_class']['bookings/payments']['count'] == 1
    assert document['by_service']['bookings']['count'] == 2


def test_exposition_tells_counts_gauges_and_latencies() -> None:
    found = Metrics()
    found.counts['answered'] += 3
    found.gauges['members'] = lambda: 7
    found.record('bookings', 'payments', 'club', 0.02)
    text = exposition(found).decode()
    assert 'bluebellsill_events_total{event="answered"} 3.0' in text
    assert 'bluebellsill_state{of="members"} 7.0' in text
    assert 'class="bookings/payments",statistic="count"} 1.0' in text


def test_node_starts_without_what_only_its_metrics_page_needs() -> None:
    code = (
        'import sys, bluebellsill.mesh_node;'
        'sys.exit("prometheus_client" in sys.modules)'
    )
    done = subprocess.run([sys.executable, '-c', code], timeout=30)
    assert done.returncode == 0
