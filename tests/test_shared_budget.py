"""Tests that nodes keep a common retry budget without coordination."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellsill.mesh_settings import BoundSettings
from bluebellsill.retries import RetryBudget
from bluebellsill.shared_budget import shared_budget

_RATIO = 0.2
_WINDOW = 10.0  # seconds


def _bounds(extra: float) -> BoundSettings:
    return BoundSettings(
        retry_budget_ratio=_RATIO,
        budget_window_s=_WINDOW,
        budget_extra=extra,
    )


def _simulate(
    nodes: int,
    extra: float,
    per_second: float,
    fails_from: float,
    seconds: float,
) -> tuple[list[float], list[float]]:
    """Fail each call from a time on, and retry it if the budget allows.

    Returns:
        The times of the calls and of the retries of all nodes.
    """
    calls: list[float] = []
    retries: list[float] = []
    rules = shared_budget(_bounds(extra), nodes)
    for node in range(nodes):
        budget = RetryBudget(rules, 0)
        now = node / nodes / per_second
        while now < seconds:
            budget.refill(now)
            budget.on_call()
            calls.append(now)
            if now >= fails_from and budget.take(was_dispatched=True):
                retries.append(now)
            now += 1 / per_second
    return calls, retries


def _count(times: list[float], start: float) -> int:
    return sum(start <= time < start + _WINDOW for time in times)


def test_each_of_many_nodes_can_retry() -> None:
    """68 nodes, each with two calls a second to one service."""
    _, retries = _simulate(68, 178, 2, fails_from=20, seconds=21)
    assert len(retries) >= 68


@settings(max_examples=25, deadline=None)
@given(
    st.sampled_from([1, 10, 68, 300]),
    st.sampled_from([0.05, 0.5, 2, 20]),
    st.sampled_from([0.0, 5.0, 25.0]),
)
def test_all_nodes_together_stay_in_the_budget(
    nodes: int,
    per_second: float,
    fails_from: float,
) -> None:
    extra = 56 + 1.8 * nodes
    calls, retries = _simulate(nodes, extra, per_second, fails_from, 45)
    for start in range(36):
        allowed = _RATIO * _count(calls, start) + extra
        assert _count(retries, start) <= allowed


def test_retries_held_for_long_have_decayed() -> None:
    rules = shared_budget(_bounds(178), 68)
    budget = RetryBudget(rules, 0)
    for _ in range(100):
        budget.on_call()
    budget.refill(60)
    taken = sum(budget.take(was_dispatched=True) for _ in range(10))
    assert taken <= 1


@pytest.mark.parametrize('nodes', [1, 10])
def test_burst_of_few_nodes_is_at_most_half_of_the_extra(nodes: int) -> None:
    rules = shared_budget(_bounds(56), nodes)
    budget = RetryBudget(rules, 0)
    taken = sum(budget.take(was_dispatched=True) for _ in range(100))
    assert taken * nodes <= 56 / 2
