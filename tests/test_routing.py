"""The router's choice of a target, and staleness after a process pause."""

from __future__ import annotations

from collections import Counter
from random import Random

from bluebellsill.balancing_policy import RandomChoice, TwoChoices
from bluebellsill.freshness import Freshness
from bluebellsill.gossip_messages import Member
from bluebellsill.membership import MemberState
from bluebellsill.routing import SUBSET_SIZE, Router


def _member(index: int, zone: str) -> Member:
    ready = int(MemberState.READY)
    return Member(f'10.0.{index}.1:1', 1, 0, ready, zone, 's')


def _router(zones: str, own_zone: str = 'a') -> Router:
    router = Router('10.9.9.9:1', own_zone, TwoChoices(Random(5), own_zone))
    router.update([_member(one, zone) for one, zone in enumerate(zones)])
    for view in router.views_by_id.values():
        view.limit = 6
    return router


def _choices(router: Router, count: int, now: float) -> Counter[str]:
    chosen: Counter[str] = Counter()
    for _ in range(count):
        view = router.choose((), now)
        assert view is not None
        chosen[view.id] += 1
    return chosen


def test_own_zone_is_preferred_while_it_is_not_loaded() -> None:
    router = _router('aabbcc')
    chosen = _choices(router, 300, 1)
    assert chosen['10.0.0.1:1'] + chosen['10.0.1.1:1'] == 300


def test_loaded_own_zone_spills_over() -> None:
    router = _router('aabbcc')
    for view in router.views_by_id.values():
        if view.zone == 'a':
            view.on_load_report(6, 6, 1)
    chosen = _choices(router, 300, 1)
    assert chosen['10.0.0.1:1'] + chosen['10.0.1.1:1'] < 150


def test_slow_target_is_avoided_before_it_answers() -> None:
    router = _router('aaaa')
    slow = router.views_by_id['10.0.0.1:1']
    for view in router.views_by_id.values():
        view.on_latency(0.01, 1)
        view.call_start_times.append(1)
    for view in router.views_by_id.values():
        if view is not slow:
            view.call_start_times.clear()
    # 40 ms after the call was sent: four times the usual latency.
    assert _choices(router, 400, 1.04)['10.0.0.1:1'] < 60


def test_slow_target_is_used_again_later() -> None:
    router = _router('aa')
    router.views_by_id['10.0.0.1:1'].on_latency(0.1, 1)
    router.views_by_id['10.0.1.1:1'].on_latency(0.01, 1)
    assert _choices(router, 100, 20)['10.0.0.1:1'] > 20


def test_target_that_fails_fast_is_avoided() -> None:
    router = _router('aaaa')
    router.views_by_id['10.0.0.1:1'].on_failure(1)
    assert _choices(router, 200, 1.05)['10.0.0.1:1'] == 0


def test_target_is_avoided_only_from_the_second_error_status() -> None:
    router = _router('aa')
    view = router.views_by_id['10.0.0.1:1']
    view.on_error_status(1)
    assert view.avoided_until == 0
    view.on_latency(0.01, 1)
    view.on_error_status(1)
    assert view.avoided_until == 0
    view.on_error_status(1)
    assert view.avoided_until > 1


def test_avoided_target_is_used_if_no_other_is_left() -> None:
    router = _router('a')
    router.views_by_id['10.0.0.1:1'].on_failure(1)
    assert router.choose((), 1) is not None
    assert router.choose(['10.0.0.1:1'], 1) is None


def test_returning_target_is_not_flooded() -> None:
    router = _router('aaaaaa')
    router.update([_member(one, 'a') for one in range(5)])
    router.update([_member(one, 'a') for one in range(6)])
    # Its limit is assumed to be one call until it reports another.
    assert _choices(router, 600, 1)['10.0.5.1:1'] < 40


def test_subsets_are_bounded_and_spread() -> None:
    members = [_member(one, 'a' if one % 2 else 'b') for one in range(64)]
    load: Counter[str] = Counter()
    for entry in range(128):
        router = Router(
            f'10.8.{entry}.1:1',
            'ab'[entry % 2],
            RandomChoice(Random(1)),
        )
        router.update(members)
        assert len(router.views_by_id) == SUBSET_SIZE
        load.update(list(router.views_by_id))
    # 128 entry nodes with 16 of 64 targets each: 32 nodes per target.
    assert len(load) == 64
    assert max(load.values()) < 64


def test_node_is_stale_after_a_pause_until_a_peer_answers() -> None:
    freshness = Freshness(0)
    assert not freshness.check(0.1)
    assert freshness.check(5)
    assert not freshness.is_fresh
    freshness.on_paused(next_sequence=8)
    freshness.on_answer(7, is_behind=False)
    # This answer may have waited in the socket throughout the pause.
    assert not freshness.is_fresh
    freshness.on_answer(8, is_behind=True)
    # The node has to fetch the newer configuration first.
    assert not freshness.is_fresh
    freshness.on_answer(9, is_behind=False)
    assert freshness.is_fresh


def test_stale_node_without_peers_becomes_fresh_after_a_while() -> None:
    freshness = Freshness(0)
    freshness.check(5)
    for tick in range(60):
        freshness.check(5 + tick / 10)
    assert freshness.is_fresh
