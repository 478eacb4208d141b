"""Allowances over many fake peers: the bound, the used share, the refusals."""

from __future__ import annotations

import os
from collections.abc import Iterator

import pytest

from bluebellsill.logs import send_logs_to
from bluebellsill.teams import Allowance
from tests.allowance_world import AllowanceWorld, bound

_USUAL = 1 / 1.6  # of the rate, as the allowance is 1.6 times the usual rate
_SURGE = 7.5 * _USUAL
_PARTITION = 8.0  # seconds
_SURGE_TIME = 6.0  # seconds
_MIN_USED = 0.95
_SMALL, _MEDIUM, _LARGE = (
    Allowance(10, 10),
    Allowance(100, 200),
    Allowance(400, 0),
)
_ALLOWANCES = (_SMALL, _MEDIUM, _LARGE)
_CALM_CASES = [
    *((size, allowance) for size in (10, 70) for allowance in _ALLOWANCES),
    (300, _MEDIUM),
]
# The size, the allowance, the share that is cut off, and whether the grantor
# is in it.
_PARTITIONS = [
    (10, _MEDIUM, 0.17, True),
    (10, _MEDIUM, 0.35, False),
    *(
        (70, allowance, share, has_grantor)
        for allowance in (_SMALL, _LARGE)
        for share in (0.17, 0.35)
        for has_grantor in (False, True)
    ),
    (70, _MEDIUM, 0.35, True),
    (300, _MEDIUM, 0.35, True),
]


@pytest.fixture(autouse=True)
def _quiet() -> Iterator[None]:
    """Write the lines about refusals to nowhere."""
    sink = os.open(os.devnull, os.O_WRONLY)
    send_logs_to(sink)
    yield
    send_logs_to(2)
    os.close(sink)


def _check_bound(world: AllowanceWorld, allowance: Allowance) -> None:
    busiest = world.busiest_window()
    assert busiest <= bound(allowance), (
        f'{busiest} requests ran in 5 s, {bound(allowance):.0f} are allowed'
    )


@pytest.mark.parametrize(('size', 'allowance'), _CALM_CASES)
@pytest.mark.parametrize('shifts', [False, True])
def test_excess_demand_uses_the_allowance(
    size: int, allowance: Allowance, shifts: bool
) -> None:
    """Guards against tokens that no node uses, and against too many."""
    world = AllowanceWorld(size, allowance)
    world.run(12)  # until a bucket without a history is known to be full
    started_at = world.clock.now()
    world.demand(_SURGE * allowance.rate)
    for _ in range(6):
        world.run(2)
        if shifts:
            world.spread_demand()
    _check_bound(world, allowance)
    full = allowance.rate * 12 + allowance.burst
    used = world.admitted_since(started_at) / full
    assert used >= _MIN_USED, f'{used:.3f} of the allowance was used'
    # A round trip of at most 8 ms, but for the few that wait for a later one.
    late = sum(wait > 0.02 for wait in world.waits) / len(world.waits)
    assert late < 0.05, f'{late:.3f} of the requests waited above 20 ms'


@pytest.mark.parametrize(('size', 'allowance'), _CALM_CASES)
def test_usual_demand_is_not_refused(size: int, allowance: Allowance) -> None:
    """Guards against refusals below the allowance, spread unevenly."""
    world = AllowanceWorld(size, allowance)
    world.run(12)
    world.demand(_USUAL * allowance.rate)
    for _ in range(6):
        world.run(2)
        world.spread_demand()
    refused = len(world.refused_at)
    assert refused == 0, f'{refused} refused, {len(world.admitted_at)} admitted'


def test_token_requests_of_a_busy_node_are_few() -> None:
    """Guards against a message for each request at 500 requests a second."""
    world = AllowanceWorld(10, Allowance(1000, 200))
    world.concentrate_demand(
        next(i for i in world.ids if i != world.grantor_id())
    )
    world.run(12)
    world.demand(500)
    world.run(10)
    assert world.token_requests <= 110, f'{world.token_requests} in 10 s'
    assert not world.refused_at


def test_idle_team_causes_no_timers_and_messages() -> None:
    """Guards against work for teams without traffic."""
    world = AllowanceWorld(10, Allowance(100, 100))
    world.demand(50)
    world.run(5)
    world.demand(0)
    world.run(2)
    before = world.token_requests
    world.run(20)
    assert world.token_requests == before
    assert world.timers.seconds_to_next() is None


@pytest.mark.parametrize(
    ('size', 'allowance', 'share', 'has_grantor'), _PARTITIONS
)
def test_bound_holds_through_a_partition(
    size: int, allowance: Allowance, share: float, has_grantor: bool
) -> None:
    """Guards against two sides that both grant the whole rate."""
    world = AllowanceWorld(size, allowance, seed=8, has_gossip=True)
    grantor = world.grantor_id()
    others = [one for one in world.ids if one != grantor]
    count = round(share * size)
    side = world.random.sample(others, count - has_grantor)
    world.demand(_USUAL * allowance.rate)
    world.run(2)
    world.cut_off([*side, grantor] if has_grantor else side)
    started_at = world.clock.now()
    world.demand(_SURGE * allowance.rate)
    world.run(_SURGE_TIME)
    admitted = world.admitted_since(started_at)
    world.demand(_USUAL * allowance.rate)
    world.run(_PARTITION - _SURGE_TIME)
    world.heal()
    world.demand(_SURGE * allowance.rate)
    # The rejoining of many members takes most of the time of this test.
    world.run(3 if size > 100 else 8)
    _check_bound(world, allowance)
    used = admitted / (allowance.rate * _SURGE_TIME)
    assert used > 0.5, f'{used:.2f} of the rate was used while cut off'


@pytest.mark.parametrize(
    ('size', 'allowance'),
    [(10, _MEDIUM), *((70, allowance) for allowance in _ALLOWANCES)],
)
@pytest.mark.parametrize('which', ['all', 'grantor', 'tenth'])
def test_bound_holds_through_restarts(
    size: int, allowance: Allowance, which: str
) -> None:
    """Guards against a burst that is granted again after a restart."""
    world = AllowanceWorld(size, allowance, seed=5, has_gossip=True)
    world.demand(_SURGE * allowance.rate)
    world.run(3)
    grantor = world.grantor_id()
    tenth = {*world.random.sample(world.ids, size // 10), grantor}
    restarted = {'all': world.ids, 'grantor': [grantor], 'tenth': tenth}[which]
    for node_id in sorted(restarted):
        world.kill(node_id)
        if which != 'all':
            world.run(0.2)
    if which != 'all':
        world.run(1.5)
    world.restart(sorted(restarted))
    world.run(12)
    _check_bound(world, allowance)
    # The views of a deployment that restarts as a whole grow for some seconds.
    used = world.admitted_since(world.clock.now() - 4) / (4 * allowance.rate)
    assert used > 0.9, f'{used:.2f} of the rate was used at the end'


def test_killed_grantor_is_replaced() -> None:
    """Guards against a team that gets nothing once its grantor is gone."""
    allowance = Allowance(100, 100)
    world = AllowanceWorld(70, allowance, has_gossip=True)
    world.demand(_USUAL * allowance.rate)
    world.run(6)
    grantor = world.grantor_id()
    world.kill(grantor)
    killed_at = world.clock.now()
    world.run(12)
    gaps = [
        later - earlier
        for earlier, later in zip(
            world.admitted_at, world.admitted_at[1:], strict=False
        )
        if later > killed_at
    ]
    assert max(gaps) < 2, f'nothing ran for {max(gaps):.1f} s'
    share = world.admitted_since(killed_at + 6) / (
        world.admitted_since(killed_at + 6) + world.refused_since(killed_at + 6)
    )
    assert share > 0.98, f'{share:.3f} served from 6 s on'
    assert world.grantor_id() != grantor


def test_leaving_grantor_hands_over() -> None:
    """Guards against a team that is turned away while its grantor drains."""
    allowance = Allowance(100, 100)
    world = AllowanceWorld(10, allowance, has_gossip=True)
    world.demand(_USUAL * allowance.rate)
    world.run(6)
    world.leave(world.grantor_id())
    left_at = world.clock.now()
    world.run(10)
    admitted, refused = (
        world.admitted_since(left_at),
        world.refused_since(left_at),
    )
    assert refused < 0.15 * admitted, f'{refused} refused, {admitted} admitted'
    assert not world.refused_since(left_at + 6)


def test_lost_messages_do_not_break_the_bound() -> None:
    """Guards against tokens that are granted or reported twice."""
    allowance = Allowance(100, 100)
    world = AllowanceWorld(70, allowance, loss=0.05, has_gossip=True)
    started_at = world.clock.now()
    world.demand(_SURGE * allowance.rate)
    world.run(12)
    _check_bound(world, allowance)
    used = world.admitted_since(started_at) / (12 * allowance.rate)
    assert used > 0.75, f'{used:.2f} of the rate was used'


def test_lowered_limit_is_binding_one_window_later() -> None:
    """Guards against tokens and buckets of the former, higher limit."""
    world = AllowanceWorld(70, Allowance(200, 400))
    world.run(12)
    world.demand(_SURGE * 200)
    world.run(1)
    lowered = Allowance(20, 10)
    world.declare(lowered, version=2)
    changed_at = world.clock.now()
    world.run(12)
    busiest = world.busiest_window(since=changed_at)
    assert busiest <= bound(lowered), f'{busiest} of {bound(lowered):.0f}'
