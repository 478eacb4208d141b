"""Routes match by the longest path prefix; weights are kept exactly."""

from __future__ import annotations

from collections import Counter
from functools import partial
from random import Random

import pytest

from bluebellsill.route import Route, WeightedService
from bluebellsill.route_table import RouteTable
from bluebellsill.weighted_round_robin import WeightedRoundRobin

_TABLE = RouteTable(
    [
        ('a.example', '/', lambda: Route('root')),
        ('a.example', '/shop/', lambda: Route('shop')),
        ('a.example', '/shop/pay/', lambda: Route('pay')),
        ('b.example', '/shop/', lambda: Route('other')),
    ]
)


@pytest.mark.parametrize(
    ('host', 'path', 'name'),
    [
        ('a.example', '/shop/pay/1', 'pay'),
        ('a.example', '/shop/pay/', 'pay'),
        ('a.example', '/shop/pay', 'shop'),
        ('a.example', '/shop/payments/1', 'shop'),
        ('a.example', '/shop/x?to=/shop/pay/', 'shop'),
        ('A.Example:8080', '/shop/x', 'shop'),
        ('a.example', '/other', 'root'),
        ('b.example', '/shop/pay/1', 'other'),
        ('b.example', '/other', None),
        ('c.example', '/shop/', None),
        ('', '', None),
    ],
)
def test_longest_prefix_wins(host: str, path: str, name: str | None) -> None:
    route = _TABLE.match(host, path)
    assert (route and route.name) == name


def test_route_is_created_for_its_first_request_only() -> None:
    """A large document held up the event loop while routes were created."""
    created: list[str] = []

    def create(name: str) -> Route:
        created.append(name)
        return Route(name)

    table = RouteTable(
        [
            ('a.example', f'/{name}/', partial(create, name))
            for name in ('used', 'unused')
        ],
        ['shop'],
    )
    assert len(table) == 2
    assert table.services == {'shop'}
    assert not created
    first = table.match('a.example', '/used/1')
    assert table.match('a.example', '/used/2') is first
    assert created == ['used']


def test_weights_hold_over_any_consecutive_requests() -> None:
    route = Route('r', (WeightedService('a', 90), WeightedService('b', 10)))
    round_robin = WeightedRoundRobin(Random(3))
    chosen = [round_robin.next(route) for _ in range(500)]
    for start in range(0, 400, 7):
        assert Counter(chosen[start : start + 100])['b'] == 10


def test_many_nodes_with_few_requests_keep_the_weights() -> None:
    route = Route('r', (WeightedService('a', 90), WeightedService('b', 10)))
    counts: Counter[str] = Counter()
    for seed in range(200):
        round_robin = WeightedRoundRobin(Random(seed))
        counts.update(round_robin.next(route) for _ in range(3))
    assert abs(counts['b'] / 600 - 0.1) < 0.05
