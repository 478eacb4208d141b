"""Nodes that know nothing of each other keep a common retry budget."""

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


def _play(
    nodes: int,
    extra: float,
    per_second: float,
    fails_from: float,
    seconds: float,
) -> tuple[list[float], list[float]]:
    """Let each call fail from a time on, and be tried again if it may.

    Returns:
        The times of calls and of retries, over all nodes.
    """
    calls: list[float] = []
    retries: list[float] = []
    rules = shared_budget(_bounds(extra), nodes)
    for node in range(nodes):
        budget = RetryBudget(rules, 0)
        now = node / nodes / per_second
        while now < seconds:
            budget.on_time(now)
            budget.on_call()
            calls.append(now)
            if now >= fails_from and budget.take(was_dispatched=True):
                retries.append(now)
            now += 1 / per_second
    return calls, retries


def _count(times: list[float], start: float) -> int:
    return sum(start <= one < start + _WINDOW for one in times)


def test_each_of_many_nodes_can_try_again() -> None:
    """The grown deployment: 68 nodes with two calls a second of a service."""
    _, retries = _play(68, 178, 2, fails_from=20, seconds=21)
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
    calls, retries = _play(nodes, extra, per_second, fails_from, 45)
    for start in range(36):
        allowed = _RATIO * _count(calls, start) + extra
        assert _count(retries, start) <= allowed


def test_what_was_saved_long_ago_has_faded() -> None:
    rules = shared_budget(_bounds(178), 68)
    budget = RetryBudget(rules, 0)
    for _ in range(100):
        budget.on_call()
    budget.on_time(60)
    taken = sum(budget.take(was_dispatched=True) for _ in range(10))
    assert taken <= 1


@pytest.mark.parametrize('nodes', [1, 10])
def test_burst_of_few_nodes_is_a_part_of_what_is_allowed(nodes: int) -> None:
    rules = shared_budget(_bounds(56), nodes)
    budget = RetryBudget(rules, 0)
    taken = sum(budget.take(was_dispatched=True) for _ in range(100))
    assert taken * nodes <= 56 / 2
