"""Short soak tests with fixed seeds, among them every seed that failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.runner import soak

_SECONDS = 8.0  # of fault injection


@pytest.mark.parametrize('seed', [101, 102, 103])
def test_guarantees_hold_under_random_faults(tmp_path: Path, seed: int) -> None:
    outcome = soak(tmp_path, seed, _SECONDS)
    assert not outcome.violations
    assert outcome.statuses[200] > 50
    # Without refusals, a surge would not have tested the allowance.
    assert bool(outcome.statuses[429]) == (seed % 3 != 0)
