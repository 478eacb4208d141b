"""Tests of the concurrency chosen for targets that slow down when full."""

from __future__ import annotations

from random import Random

import pytest

from bluebellsill.concurrency import ConcurrencyEstimator


@pytest.mark.parametrize(
    ('slots', 'slower_above', 'factor', 'best'),
    [(6, 4, 1.65, 4), (6, 6, 1.0, 6), (3, 2, 1.7, 2), (1, 1, 1.0, 1)],
)
def test_concurrency_with_the_highest_throughput_is_found(
    slots: int, slower_above: int, factor: float, best: int
) -> None:
    random = Random(7)
    estimator = ConcurrencyEstimator(slots)
    for _ in range(400):
        concurrency = estimator.best_concurrency
        service_time = random.lognormvariate(-0.045, 0.3)
        estimator.observe(
            concurrency,
            service_time * (factor if concurrency > slower_above else 1),
        )
    assert estimator.best_concurrency == best


def test_few_answers_do_not_lower_the_concurrency() -> None:
    estimator = ConcurrencyEstimator(6)
    for _ in range(20):
        estimator.observe(6, 3)
    assert estimator.best_concurrency == 6
