"""A short soak with fixed seeds, and every seed that ever failed."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.soak.runner import soak

_SECONDS = 8.0


@pytest.mark.parametrize('seed', [101, 102])
def test_promises_hold_under_random_faults(tmp_path: Path, seed: int) -> None:
    outcome = soak(tmp_path, seed, _SECONDS)
    assert not outcome.faults
    assert outcome.statuses[200] > 50
