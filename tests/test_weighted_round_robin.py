"""Requests are split by weight, exactly, for any size of the weights."""

from __future__ import annotations

from collections import Counter
from random import Random
from time import process_time

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellsill.route import Route, WeightedService
from bluebellsill.weighted_round_robin import WeightedRoundRobin

_MAX_WEIGHT = 10**9  # that a routing document may have
_SPLITS = (
    (90, 10),
    (50, 30, 20),
    (7, 5, 3, 1),
    (96, 1, 1, 1, 1),
    (400_001, 350_007, 249_999),
    (7_000_000, 3_000_000),
    (999_999_937, 61),
)


def _route(*weights: int) -> Route:
    parts = (
        WeightedService(str(index), weight)
        for index, weight in enumerate(weights)
    )
    return Route('r', tuple(parts))


class _StepwiseStart:
    """The rotation that takes each step up to its random start.

    The reference for proportions and spread; it cannot start at large weights.
    """

    def __init__(self, random: Random, weights: tuple[int, ...]) -> None:
        self._weights = weights
        self._credit = [0 for _ in weights]
        for _ in range(random.randrange(sum(weights))):
            self.next()

    def next(self) -> int:
        for index, weight in enumerate(self._weights):
            self._credit[index] += weight
        parts = range(len(self._weights))
        chosen = max(parts, key=self._credit.__getitem__)
        self._credit[chosen] -= sum(self._weights)
        return chosen


def _deviations(picks: list[int], weights: tuple[int, ...]) -> list[float]:
    """Return how far each part is off its share after each request."""
    total = sum(weights)
    counts: Counter[int] = Counter()
    found = []
    for number, pick in enumerate(picks, 1):
        counts[pick] += 1
        found += [
            counts[index] - number * weight / total
            for index, weight in enumerate(weights)
        ]
    return found


def _picks(weights: tuple[int, ...], seed: int, count: int) -> list[int]:
    round_robin = WeightedRoundRobin(Random(seed))
    route = _route(*weights)
    return [int(round_robin.next(route)) for _ in range(count)]


@pytest.mark.parametrize(
    'weights',
    [
        (7_000_000, 3_000_000),
        (_MAX_WEIGHT, _MAX_WEIGHT - 1),
        (_MAX_WEIGHT, 1),
        tuple(_MAX_WEIGHT - index for index in range(64)),
    ],
)
def test_first_request_takes_no_longer_for_large_weights(
    weights: tuple[int, ...],
) -> None:
    """The event loop took sum(weights) steps at the first request."""
    began = process_time()
    _picks(weights, 1, 1)
    assert process_time() - began < 0.1


@pytest.mark.parametrize('weights', _SPLITS)
def test_each_part_gets_its_share_over_the_requests_of_a_node(
    weights: tuple[int, ...],
) -> None:
    for seed in range(20):
        picks = _picks(weights, seed, 400)
        for start in (0, 1, 17):
            off = _deviations(picks[start:], weights)
            # A sequence may begin and end in the middle of a share.
            most = 1 if len(weights) == 2 else 2
            assert max(map(abs, off)) < most


@pytest.mark.parametrize('weights', [one for one in _SPLITS if sum(one) < 999])
def test_shares_are_as_even_as_with_a_start_reached_step_by_step(
    weights: tuple[int, ...],
) -> None:
    squares: dict[str, float] = {'now': 0, 'stepwise': 0}
    for seed in range(60):
        reference = _StepwiseStart(Random(seed), weights)
        stepwise = [reference.next() for _ in range(200)]
        now = _picks(weights, seed, 200)
        for name, picks in (('now', now), ('stepwise', stepwise)):
            squares[name] += sum(
                off * off for off in _deviations(picks, weights)
            )
    assert squares['now'] <= squares['stepwise'] * 1.1


@pytest.mark.parametrize('weights', _SPLITS)
def test_requests_of_many_nodes_are_spread_by_weight(
    weights: tuple[int, ...],
) -> None:
    """Also each node's first, second and third request, taken alone."""
    nodes = 4000
    counts = [Counter[int]() for _ in range(3)]
    for seed in range(nodes):
        for count, pick in zip(counts, _picks(weights, seed, 3), strict=True):
            count[pick] += 1
    for count in counts:
        for index, weight in enumerate(weights):
            share = weight / sum(weights)
            # Four standard deviations of as many independent draws.
            noise = 4 * (share * (1 - share) / nodes) ** 0.5
            assert abs(count[index] / nodes - share) <= noise + 0.001


def test_rare_part_gets_its_share_of_the_requests_of_many_nodes() -> None:
    """No node alone makes enough requests for it."""
    weights = (99_990_000, 10_000)
    picks = [pick for seed in range(400) for pick in _picks(weights, seed, 250)]
    # 10 expected of 100,000.
    assert 2 <= picks.count(1) <= 22


@settings(max_examples=60, deadline=None)
@given(
    st.lists(st.integers(1, _MAX_WEIGHT), min_size=2, max_size=6),
    st.integers(0, 2**32),
)
def test_shares_hold_for_any_weights(weights: list[int], seed: int) -> None:
    off = _deviations(_picks(tuple(weights), seed, 150), tuple(weights))
    assert max(map(abs, off)) < (1.001 if len(weights) == 2 else 2.5)
