"""A slow target loses its share, slow requests take no target's share."""

from __future__ import annotations

from collections import Counter
from random import Random

from bluebellsill.choice import NearestFree, TwoChoices
from bluebellsill.gossip_messages import Member
from bluebellsill.membership import MemberState
from bluebellsill.routing import Router

_SLOW = '10.0.0.1:1'
_WORK_BY_ROUTE = {'view': 0.08, 'check': 0.015}


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


def _play(
    router: Router,
    per_second: float,
    seconds: float,
    factor: float,
    *,
    began: float = 1.0,
) -> Counter[str]:
    """Play calls of two routes, of which one target takes longer."""
    random = Random(2)
    chosen: Counter[str] = Counter()
    now = began
    while now < began + seconds:
        now += 1 / per_second
        view = router.choose((), now)
        assert view is not None
        chosen[view.id] += 1
        route = random.choice(list(_WORK_BY_ROUTE))
        took = _WORK_BY_ROUTE[route] * random.lognormvariate(0, 0.3)
        took *= factor if view.id == _SLOW else 1
        view.on_latency(took, now)
        router.outlier_detector.on_answer(view, route, took, now)
    return chosen


def test_slow_target_gets_less_than_a_hundredth_of_many_calls() -> None:
    router = _router(TwoChoices(Random(1), 'a'))
    _play(router, 75, 5, 1)
    chosen = _play(router, 75, 20, 10, began=6)
    # Some until it is known to be slow, then trials.
    assert chosen[_SLOW] < 0.02 * chosen.total()
    late = _play(router, 75, 20, 10, began=26)
    assert 0 < late[_SLOW] < 0.01 * late.total()


def test_slow_target_is_found_by_few_calls_too() -> None:
    """The load: seven calls a second, one of three targets five times slow."""
    router = _router(NearestFree(Random(1), 'a'), 3)
    _play(router, 7, 10, 1)
    chosen = _play(router, 7, 20, 5, began=11)
    assert chosen[_SLOW] < 0.1 * chosen.total()


def test_target_that_recovers_gets_its_share_back() -> None:
    router = _router(TwoChoices(Random(1), 'a'))
    _play(router, 75, 5, 1)
    _play(router, 75, 5, 10, began=6)
    _play(router, 75, 40, 1, began=11)
    chosen = _play(router, 75, 20, 1, began=51)
    assert chosen[_SLOW] > 0.1 * chosen.total()


def test_requests_that_take_longer_everywhere_make_no_outlier() -> None:
    router = _router(TwoChoices(Random(1), 'a'))
    _play(router, 75, 5, 1)
    _WORK_BY_ROUTE['heavy'] = 0.8
    chosen = _play(router, 75, 10, 1, began=6)
    del _WORK_BY_ROUTE['heavy']
    # At least half of an even share.
    assert min(chosen.values()) > chosen.total() / 12


def test_slow_target_is_the_last_resort() -> None:
    router = _router(TwoChoices(Random(1), 'a'), 3)
    _play(router, 75, 5, 1)
    _play(router, 75, 5, 10, began=6)
    others = [one for one in router.views_by_id if one != _SLOW]
    view = router.choose(others, 11)
    assert view is not None
    assert view.id == _SLOW
