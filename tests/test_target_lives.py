"""Late reports never bring a target back to work."""

from __future__ import annotations

from bluebellsill.announcement import Announcement
from bluebellsill.target_lives import Departure, TargetLives, TargetReport


def _report(
    name: str, born: int, sequence: int, *, is_leaving: bool = False
) -> TargetReport:
    start_id = f'{name}/{born}'
    announcement = Announcement(
        's', '10.0.0.1:80', start_id, is_leaving, name=name
    )
    return TargetReport(name, born, sequence, announcement)


def test_reports_of_one_life_are_taken_in_order() -> None:
    lives = TargetLives()
    assert lives.take(_report('i-1', 100, 5))
    assert lives.take(_report('i-1', 100, 4)) is None
    assert lives.take(_report('i-1', 100, 5)) is None
    assert lives.take(_report('i-1', 100, 6))


def test_late_report_of_a_crashed_life_is_ignored() -> None:
    lives = TargetLives()
    assert lives.take(_report('i-1', 100, 5))
    assert lives.take(_report('i-2', 200, 0))
    assert lives.take(_report('i-1', 100, 6)) is None


def test_restart_under_the_same_name_counts_anew() -> None:
    lives = TargetLives()
    assert lives.take(_report('i-1', 100, 50))
    taken = lives.take(_report('i-1', 200, 0))
    assert taken is not None
    assert taken.start_id == 'i-1/200'


def test_leaving_is_for_good() -> None:
    lives = TargetLives()
    lives.take(_report('i-1', 100, 5))
    leaving = lives.take(_report('i-1', 100, 6, is_leaving=True))
    assert leaving is not None
    assert leaving.is_leaving
    assert lives.take(_report('i-1', 100, 7)) is None


def test_farewell_without_a_report_before_it() -> None:
    lives = TargetLives()
    lives.take(_report('i-1', 100, 5))
    left = lives.leave(Departure('i-1'))
    assert left is not None
    assert left.is_leaving
    assert lives.take(_report('i-1', 100, 6)) is None
    assert lives.take(_report('i-1', 200, 0))


def test_farewell_of_an_old_life_leaves_the_present_one() -> None:
    lives = TargetLives()
    lives.take(_report('i-1', 100, 5))
    lives.take(_report('i-2', 200, 0))
    assert lives.leave(Departure('i-1', 100)) is None
    assert lives.leave(Departure('i-2', 100)) is None
    assert lives.take(_report('i-2', 200, 1))
