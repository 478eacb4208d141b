"""A target that slows down when it is nearly full is filled less."""

from __future__ import annotations

from random import Random

import pytest

from bluebellsill.crowding import Crowding


@pytest.mark.parametrize(
    ('slots', 'knee', 'factor', 'best'),
    [(6, 4, 1.65, 4), (6, 6, 1.0, 6), (3, 2, 1.7, 2), (1, 1, 1.0, 1)],
)
def test_level_with_the_most_answers_is_found(
    slots: int, knee: int, factor: float, best: int
) -> None:
    random = Random(7)
    crowding = Crowding(slots)
    for _ in range(400):
        level = crowding.best_level
        work = random.lognormvariate(-0.045, 0.3)
        crowding.observe(level, work * (factor if level > knee else 1))
    assert crowding.best_level == best


def test_few_answers_do_not_lower_the_level() -> None:
    crowding = Crowding(6)
    for _ in range(20):
        crowding.observe(6, 3)
    assert crowding.best_level == 6
