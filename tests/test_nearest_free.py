"""The choice of a target where targets report how slow their VM is."""

from __future__ import annotations

from collections import Counter
from random import Random

from bluebellsill.balancing_policy import NearestFree
from bluebellsill.target_view import TargetView


def _views() -> list[TargetView]:
    local = [TargetView('n1', 'a', limit=6), TargetView('n2', 'a', limit=6)]
    remote = [TargetView('f1', 'b', limit=6), TargetView('f2', 'c', limit=6)]
    return [*local, *remote]


def test_own_zone_is_used_while_it_is_neither_slow_nor_full() -> None:
    choice, views = NearestFree(Random(1), 'a'), _views()
    chosen = Counter(choice.pick(views, 1).id for _ in range(40))
    assert chosen == {'n1': 20, 'n2': 20}


def test_other_zone_is_used_while_local_targets_are_slow() -> None:
    choice, views = NearestFree(Random(1), 'a'), _views()
    for view in views[:2]:
        view.on_performance_report(5, 0, 1)
    assert choice.pick(views, 1.01).zone != 'a'
    assert choice.pick(views, 3).zone == 'a'


def test_other_zone_is_used_while_local_targets_are_full() -> None:
    choice, views = NearestFree(Random(1), 'a'), _views()
    for view in views[:2]:
        view.on_load_report(18, 6, 1)
    assert choice.pick(views, 1).zone != 'a'


def test_failing_target_is_skipped_until_its_report_decays() -> None:
    choice, views = NearestFree(Random(1), 'a'), _views()
    views[0].on_performance_report(1, 1, 1)
    chosen = Counter(choice.pick(views, 1.1).id for _ in range(40))
    assert chosen['n1'] == 0
    later = Counter(choice.pick(views, 20).id for _ in range(40))
    assert later['n1'] > 0


def test_load_is_spread_evenly_over_equal_targets() -> None:
    """12 simultaneous calls for two local targets with six slots each."""
    choice, views = NearestFree(Random(1), 'a'), _views()
    for _ in range(12):
        choice.pick(views, 1).call_start_times.append(1)
    assert [len(view.call_start_times) for view in views[:2]] == [6, 6]
