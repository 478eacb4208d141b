"""Slow targets are detected as outliers; slow routes make no outliers."""

from __future__ import annotations

from collections import Counter
from random import Random

from bluebellsill.balancing_policy import NearestFree, TwoChoices
from bluebellsill.gossip_messages import Member
from bluebellsill.membership import MemberState
from bluebellsill.routing import Router

_SLOW_ID = '10.0.0.1:1'
_SECONDS_BY_ROUTE = {'view': 0.08, 'check': 0.015}


def _router(choice: NearestFree | TwoChoices, targets: int = 6) -> Router:
    router = Router('10.9.9.9:1', 'a', choice)
    ready = int(MemberState.READY)
    router.update(
        [
            Member(f'10.0.{one}.1:1', 1, 0, ready, 'a', 's')
            for one in range(targets)
        ]
    )
    return router


def _simulate_calls(
    router: Router,
    per_second: float,
    seconds: float,
    slow_factor: float,
    *,
    start: float = 1.0,
) -> Counter[str]:
    """Simulate calls of all routes, with one target slowed by a factor.

    Returns:
        How often each target was chosen.
    """
    random = Random(2)
    chosen: Counter[str] = Counter()
    now = start
    while now < start + seconds:
        now += 1 / per_second
        view = router.choose((), now)
        assert view is not None
        chosen[view.id] += 1
        route = random.choice(list(_SECONDS_BY_ROUTE))
        latency = _SECONDS_BY_ROUTE[route] * random.lognormvariate(0, 0.3)
        latency *= slow_factor if view.id == _SLOW_ID else 1
        view.on_latency(latency, now)
        router.outlier_detector.on_answer(view, route, latency, now)
    return chosen


def test_slow_target_gets_less_than_a_hundredth_of_many_calls() -> None:
    router = _router(TwoChoices(Random(1), 'a'))
    _simulate_calls(router, 75, 5, 1)
    chosen = _simulate_calls(router, 75, 20, 10, start=6)
    # A few calls until it is detected as slow, then trial calls only.
    assert chosen[_SLOW_ID] < 0.02 * chosen.total()
    later = _simulate_calls(router, 75, 20, 10, start=26)
    assert 0 < later[_SLOW_ID] < 0.01 * later.total()


def test_slow_target_is_detected_at_a_low_request_rate() -> None:
    """Seven calls per second; one of three targets is five times as slow."""
    router = _router(NearestFree(Random(1), 'a'), 3)
    _simulate_calls(router, 7, 10, 1)
    chosen = _simulate_calls(router, 7, 20, 5, start=11)
    assert chosen[_SLOW_ID] < 0.1 * chosen.total()


def test_target_that_recovers_regains_its_share() -> None:
    router = _router(TwoChoices(Random(1), 'a'))
    _simulate_calls(router, 75, 5, 1)
    _simulate_calls(router, 75, 5, 10, start=6)
    _simulate_calls(router, 75, 40, 1, start=11)
    chosen = _simulate_calls(router, 75, 20, 1, start=51)
    assert chosen[_SLOW_ID] > 0.1 * chosen.total()


def test_route_that_is_slow_everywhere_makes_no_outlier() -> None:
    router = _router(TwoChoices(Random(1), 'a'))
    _simulate_calls(router, 75, 5, 1)
    _SECONDS_BY_ROUTE['heavy'] = 0.8
    chosen = _simulate_calls(router, 75, 10, 1, start=6)
    del _SECONDS_BY_ROUTE['heavy']
    # At least half of an even share.
    assert min(chosen.values()) > chosen.total() / 12


def test_slow_target_is_used_if_no_other_is_left() -> None:
    router = _router(TwoChoices(Random(1), 'a'), 3)
    _simulate_calls(router, 75, 5, 1)
    _simulate_calls(router, 75, 5, 10, start=6)
    others = [one for one in router.views_by_id if one != _SLOW_ID]
    view = router.choose(others, 11)
    assert view is not None
    assert view.id == _SLOW_ID
