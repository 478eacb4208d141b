"""What clients get from full targets, and the parts of that decision.

``python -m tests.test_overload`` prints the table of
docs/design/overload.md.
"""

from __future__ import annotations

from functools import cache

import pytest
from msgspec import msgpack

from bluebellsill.admission import Decision, Ticket
from bluebellsill.clock import ManualClock
from bluebellsill.messages import Call, Refusal, decode, encode
from bluebellsill.metrics import Metrics
from bluebellsill.overload import (
    CostOrder,
    LoadShedding,
    NestedFailures,
    OrderMonitor,
    OrderSwitch,
    PriorityOrder,
    TeamShares,
)
from bluebellsill.resources import Kind
from bluebellsill.retry_advice import MAX_SHARE_OF_TIME_LEFT
from bluebellsill.slot_gate import SlotGate
from tests.node_session import NodeSession
from tests.overload_load import CLASSES, TEAMS, Result, play

_SEED = 1
_ORDERS = (CostOrder, PriorityOrder, 'least loaded', 'random')
_SCENARIOS = {
    '60%': (0.6, False),
    '100%': (1.0, False),
    '130%': (1.3, False),
    'burst': (1.0, True),
}


@cache
def _played(
    order: type | str, scenario: str, seed: int = _SEED, patience: float = 9
) -> Result:
    load, has_burst = _SCENARIOS[scenario]
    return play(order, load, seed=seed, has_burst=has_burst, patience=patience)


def _gate(slots: int = 1, *, service_time: float = 0.1) -> SlotGate:
    """Return a gate in cost order that knows the service time of route ''."""
    gate = SlotGate(shedding=LoadShedding(CostOrder()))
    gate.resize(slots)
    gate.on_slowness(1, 0)
    measured = Ticket(1, 100)
    gate.offer(measured, 0)
    gate.on_answer(measured, service_time)
    gate.finish(measured)
    return gate


def test_clients_get_more_than_from_other_orders() -> None:
    """One seed of one scenario varies by 4 in 100; their sum by less."""
    values = [
        [_played(order, scenario).value for scenario in _SCENARIOS]
        for order in _ORDERS
    ]
    for scenario in zip(*values, strict=True):
        assert scenario[0] >= 0.97 * max(scenario)
    assert sum(values[0]) > 1.02 * sum(values[1])
    assert sum(values[0]) > 1.1 * max(map(sum, values[2:]))


@pytest.mark.parametrize('scenario', _SCENARIOS)
def test_higher_priority_is_not_served_less_often_on_a_target(
    scenario: str,
) -> None:
    played = _played(CostOrder, scenario)
    for name, one in CLASSES.items():
        for other_name, other in CLASSES.items():
            if one.service == other.service and one.priority > other.priority:
                share = played.share(other_name)
                assert played.share(name) >= share - 0.05, (name, other_name)


@pytest.mark.parametrize('scenario', _SCENARIOS)
def test_no_team_starves(scenario: str) -> None:
    """The least important team gets half of the share over all teams."""
    played = _played(CostOrder, scenario)
    offered = sum(played.offered[team] for team in TEAMS)
    served = sum(played.served[team] for team in TEAMS)
    for team in TEAMS:
        assert played.share(team) >= 0.5 * served / offered, team


@pytest.mark.parametrize('scenario', ['130%', 'burst'])
def test_requests_do_not_run_in_vain_for_lookups_that_time_out(
    scenario: str,
) -> None:
    """A parent whose lookup is refused fails after it has run."""
    cost = _played(CostOrder, scenario, patience=0.15)
    baseline = _played('least loaded', scenario, patience=0.15)
    assert cost.failed_below <= 2
    assert baseline.failed_below > 50


def test_order_by_priority_is_the_default() -> None:
    """A deployment without teams and settings is served as before."""
    gate = SlotGate()
    assert not gate.shedding.is_on
    switch = OrderSwitch()
    ticket = Ticket(3, 9, soft_deadline=4)
    rank = switch.start_rank(ticket, 0.1, 0)
    # Calls without a team have the same importance of it.
    assert rank == (True, False, 0, -3, 4)
    switch.on_plan(has_teams=True)
    assert switch.sheds_load
    switch.on_plan(has_teams=False)
    assert switch.start_rank(ticket, 0.1, 0) == rank
    assert OrderSwitch('cost').sheds_load


def test_running_request_does_not_wait_behind_new_ones() -> None:
    """Not even behind a starved team of the highest importance."""
    order = CostOrder()
    for _ in range(8):
        order.on_served(Ticket(1, 9, team='silver'), 0)
        order.on_refused(Ticket(1, 9, team='gold'), 0)
    nested = Ticket(0, 9, is_inner=True)
    starved = Ticket(9, 0.3, team='gold', team_importance=9, is_repeat=True)
    assert order.start_rank(nested, 1, 0) < order.start_rank(starved, 0.1, 0)
    assert order.class_rank(nested, 0) > order.class_rank(starved, 0)


def test_starved_team_goes_first_until_it_is_served() -> None:
    order = CostOrder()
    served = Ticket(5, 9, team='gold', team_importance=2)
    starved = Ticket(0, 9, team='bronze')
    for _ in range(4):
        order.on_served(served, 0)
        order.on_refused(starved, 0)
    assert order.start_rank(starved, 0.1, 0) < order.start_rank(served, 0.1, 0)
    for _ in range(4):
        order.on_served(starved, 0)
    assert order.start_rank(served, 0.1, 0) < order.start_rank(starved, 0.1, 0)


def test_shares_of_many_teams_are_bounded() -> None:
    """Team names come from other nodes, which may be faulty."""
    shares = TeamShares()
    for number in range(3000):
        shares.observe(f'team-{number}', is_served=True, now=0)
    assert len(shares.lowest(3000, 0)) <= 1024


@pytest.mark.parametrize(
    ('first', 'second'),
    [
        (Ticket(1, 3, soft_deadline=0.3), Ticket(1, 3, soft_deadline=2)),
        (Ticket(2, 3, soft_deadline=1), Ticket(1, 3, soft_deadline=1)),
        (Ticket(1, 3, team_importance=1), Ticket(1, 3)),
        (Ticket(1, 3, is_repeat=True), Ticket(1, 3)),
        (Ticket(1, 3), Ticket(1, 3, success_share=0.6)),
        (Ticket(1, 3, soft_deadline=1), Ticket(9, 3, soft_deadline=0.05)),
    ],
)
def test_call_that_loses_most_by_waiting_starts_first(
    first: Ticket, second: Ticket
) -> None:
    order = CostOrder()
    assert order.start_rank(first, 0.1, 0) < order.start_rank(second, 0.1, 0)


def test_less_work_starts_first_among_equal_priorities_only() -> None:
    order = CostOrder()
    short, long = Ticket(1, 3), Ticket(1, 3)
    assert order.start_rank(short, 0.1, 0) < order.start_rank(long, 0.2, 0)
    long.priority = 2
    assert order.start_rank(long, 0.2, 0) < order.start_rank(short, 0.1, 0)


def test_waiting_call_that_cannot_start_in_time_any_more_is_refused() -> None:
    """It could still be tried at another node, and waited to no purpose."""
    gate = _gate()
    assert gate.offer(Ticket(1, 9), 0)[0] is Decision.RUN
    displaced = Ticket(0, 9, soft_deadline=0.35)
    assert gate.offer(displaced, 0)[0] is Decision.WAIT
    assert gate.expire(0) == []
    for _ in range(2):
        urgent = Ticket(2, 9, soft_deadline=0.4)
        assert gate.offer(urgent, 0)[0] is Decision.WAIT
    assert gate.expire(0) == [displaced]
    assert displaced.refusal_reason == 'displaced'


def test_slots_are_kept_for_nested_calls_that_were_refused() -> None:
    gate = _gate(3)
    tickets = [Ticket(1, 9) for _ in range(3)]
    for ticket in tickets:
        assert gate.offer(ticket, 0)[0] is Decision.RUN
    nested = Ticket(1, 0.05, is_inner=True)
    assert gate.offer(nested, 0)[0] is Decision.REFUSE
    gate.finish(tickets[0])
    assert gate.offer(Ticket(1, 9, may_wait=False), 0)[0] is Decision.REFUSE
    assert not gate.needs_slowness_report(0)
    assert gate.offer(Ticket(1, 9, is_inner=True), 0)[0] is Decision.RUN
    # The reserve ends when no nested call is refused any more.
    gate.finish(tickets[1])
    gate.on_slowness(1, 3)
    assert gate.offer(Ticket(1, 9, may_wait=False), 3)[0] is Decision.RUN


def test_target_without_nested_calls_reserves_nothing() -> None:
    gate = _gate(3)
    decisions = [gate.offer(Ticket(1, 9), 0)[0] for _ in range(3)]
    assert set(decisions) == {Decision.RUN}


def test_route_that_fails_below_is_refused_until_trials_succeed() -> None:
    failures = NestedFailures()
    for _ in range(4):
        assert not failures.refuses('search', 0, is_busy=False)
        failures.observe('search', has_failed=True, now=0)
    assert not failures.refuses('search', 0, is_busy=False), 'the first trial'
    assert failures.refuses('search', 0.1, is_busy=False)
    assert not failures.refuses('purchase', 0.1, is_busy=False)
    refused_until = 0.0
    for step in range(1, 50):
        now = step * 0.05
        if failures.refuses('search', now, is_busy=True):
            refused_until = now
        else:
            failures.observe('search', has_failed=False, now=now)
    assert 0.5 < refused_until < 1.5


def test_request_that_may_succeed_runs_if_a_slot_is_free() -> None:
    failures = NestedFailures()
    for number in range(8):
        failures.observe('search', has_failed=number < 6, now=0)
    assert not failures.refuses('search', 0, is_busy=True), 'the first trial'
    assert failures.refuses('search', 0.1, is_busy=True)
    assert not failures.refuses('search', 0.1, is_busy=False)


def test_failures_below_are_forgotten_without_trials() -> None:
    failures = NestedFailures()
    for _ in range(8):
        failures.observe('search', has_failed=True, now=0)
    assert not failures.refuses('search', 3.5, is_busy=True)


def test_gate_refuses_parents_that_would_fail_but_not_nested_calls() -> None:
    gate = _gate(3)
    parent = Ticket(1, 9, route='search')
    for _ in range(8):
        gate.shedding.on_answer(parent, 0, has_failed_below=True)
    gate.offer(Ticket(1, 9, route='search'), 0)
    refused = Ticket(1, 9, route='search')
    assert gate.offer(refused, 0)[0] is Decision.REFUSE
    assert refused.refusal_reason == 'fails_below'
    # The slots are free, but the called service is not.
    assert refused.retry_after >= 1
    nested = Ticket(1, 9, route='search', is_inner=True)
    assert gate.offer(nested, 0)[0] is Decision.RUN


def test_refusals_in_a_burst_are_told_different_times() -> None:
    """All clients came back at the same moment, to the same full queue."""
    gate = _gate(3)
    for _ in range(3):
        gate.offer(Ticket(1, 9), 0)
    refused = [Ticket(1, 4, soft_deadline=0.15) for _ in range(40)]
    for ticket in refused:
        assert gate.offer(ticket, 0)[0] is Decision.REFUSE
    waits = sorted(ticket.retry_after for ticket in refused)
    assert waits[0] >= 0.099
    assert waits[-1] <= 4 * MAX_SHARE_OF_TIME_LEFT
    for index in range(30):
        assert waits[index + 10] - waits[index] > 0.05


def test_call_of_an_earlier_build_has_no_team() -> None:
    call = Call(1, 's', 'GET', '/', [], b'', 9, 1, True, 0, 'x')
    fields = msgpack.decode(encode(call))
    older = decode(msgpack.encode(fields[:-5]))
    assert older == call


def test_call_says_whether_its_client_was_refused_before(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    session = NodeSession(monkeypatch)
    session.declare(Kind.SERVICE, 'shop')
    session.add_target_node('10.0.0.2:1', 'shop')
    for is_repeat in (False, True):
        session.call('client', 'POST', '/shop/x')
        call = session.sent_messages[-1]
        assert isinstance(call, Call)
        assert call.is_repeat is is_repeat
        session.reply(lambda call_id: Refusal(call_id, 'overloaded', 6, 6))
        session.advance(0.01)


@pytest.mark.parametrize(
    ('status', 'is_refused', 'learns'),
    [(500, True, True), (200, True, False), (500, False, False)],
)
def test_target_learns_from_failures_after_refused_nested_calls_only(
    monkeypatch: pytest.MonkeyPatch,
    status: int,
    is_refused: bool,
    learns: bool,
) -> None:
    """A target that fails by itself is the breaker's concern."""
    session = NodeSession(monkeypatch, service='shop')
    session.declare(Kind.SERVICE, 'shop', slots=6)
    session.announce('one')
    outcomes: list[bool] = []
    monkeypatch.setattr(
        NestedFailures,
        'observe',
        lambda _, route, *, has_failed, now: outcomes.append(has_failed),
    )
    session.call_from_peer('parent', '/shop/x')
    session.runner.on_downstream_failure('parent', is_refused=is_refused)
    session.target_responds(status)
    assert outcomes == [learns]


@pytest.mark.parametrize(
    ('service', 'is_refused'), [('stock', True), ('nowhere', None)]
)
def test_entry_node_tells_that_a_nested_call_was_refused(
    monkeypatch: pytest.MonkeyPatch, service: str, is_refused: bool | None
) -> None:
    session = NodeSession(monkeypatch, service='shop')
    session.declare(Kind.SERVICE, 'stock', callers=['shop'])
    told: list[bool] = []
    monkeypatch.setattr(
        session.runner,
        'on_downstream_failure',
        lambda correlation, *, is_refused: told.append(is_refused),
    )
    session.call('target', 'GET', f'/{service}/x', caller='shop')
    assert told == ([] if is_refused is None else [is_refused])


def test_operator_sees_the_teams_that_are_served_least() -> None:
    switch = OrderSwitch('cost')
    metrics = Metrics()
    OrderMonitor(switch, metrics, ManualClock())
    assert metrics.gauges['lowest_team_share']() == 100
    for _ in range(4):
        switch.on_served(Ticket(1, 9, team='gold'), 0)
        switch.on_refused(Ticket(1, 9, team='bronze'), 0)
    assert metrics.gauges['lowest_team_share']() == 0
    assert metrics.gauges['sheds_load']() == 1


def _print_table(seeds: range, patience: float) -> None:
    names = [*CLASSES, *TEAMS]
    print(f'| load, order | value | failed below | {" | ".join(names)} |')
    for scenario in _SCENARIOS:
        for order in _ORDERS:
            runs = [_played(order, scenario, one, patience) for one in seeds]
            value = sum(run.value for run in runs)
            offered = sum(run.offered_value for run in runs)
            below = sum(run.failed_below for run in runs)
            shares = [
                sum(run.share(name) for run in runs) / len(seeds)
                for name in names
            ]
            label = order if isinstance(order, str) else order.__name__
            cells = ' | '.join(f'{share:.2f}' for share in shares)
            print(
                f'| {scenario}, {label} | {value / offered:.3f}'
                f' | {below} | {cells} |'
            )


if __name__ == '__main__':
    for _patience in (9, 0.15):
        print(f'lookups wait for {_patience} s')
        _print_table(range(3), _patience)


def test_nested_call_uses_the_slots_that_slow_the_target_down() -> None:
    """Its parent held a slot of another target for longer than it works."""
    switch = OrderSwitch('cost')
    gate = SlotGate(shedding=LoadShedding(switch))
    gate.resize(3)
    for answer in range(400):
        ticket = Ticket(
            0, expires_at=1e9, route='r', concurrency=1 + answer % 3
        )
        ticket.started_at = 0
        seconds = 0.2 if ticket.concurrency == 3 else 0.1
        gate.on_answer(ticket, seconds)
    assert gate.limit == 2
    gate.on_slowness(1, 0)
    for _ in range(2):
        assert gate.offer(Ticket(0, 1e9), 0)[0] is Decision.RUN
    waiting = Ticket(0, 1e9)
    nested = Ticket(0, 1e9, is_inner=True)
    assert gate.offer(waiting, 0)[0] is Decision.WAIT
    gate.offer(nested, 0)
    assert gate.admit(0) == [nested]
    assert gate.in_flight == 3
