"""Tests that late reports never make a departed target ready again."""

from __future__ import annotations

from bluebellsill.announcement import Announcement
from bluebellsill.target_reports import Departure, ReportFilter, TargetReport


def _report(
    name: str, born_ms: int, sequence: int, *, is_leaving: bool = False
) -> TargetReport:
    start_id = f'{name}/{born_ms}'
    announcement = Announcement(
        's', '10.0.0.1:80', start_id, is_leaving, name=name
    )
    return TargetReport(name, born_ms, sequence, announcement)


def test_reports_of_one_incarnation_are_accepted_in_order() -> None:
    report_filter = ReportFilter()
    assert report_filter.accept(_report('i-1', 100, 5))
    assert report_filter.accept(_report('i-1', 100, 4)) is None
    assert report_filter.accept(_report('i-1', 100, 5)) is None
    assert report_filter.accept(_report('i-1', 100, 6))


def test_late_report_of_a_past_incarnation_is_ignored() -> None:
    report_filter = ReportFilter()
    assert report_filter.accept(_report('i-1', 100, 5))
    assert report_filter.accept(_report('i-2', 200, 0))
    assert report_filter.accept(_report('i-1', 100, 6)) is None


def test_restart_under_the_same_name_begins_a_new_sequence() -> None:
    report_filter = ReportFilter()
    assert report_filter.accept(_report('i-1', 100, 50))
    accepted = report_filter.accept(_report('i-1', 200, 0))
    assert accepted is not None
    assert accepted.start_id == 'i-1/200'


def test_leaving_incarnation_never_becomes_ready_again() -> None:
    report_filter = ReportFilter()
    report_filter.accept(_report('i-1', 100, 5))
    leaving = report_filter.accept(_report('i-1', 100, 6, is_leaving=True))
    assert leaving is not None
    assert leaving.is_leaving
    assert report_filter.accept(_report('i-1', 100, 7)) is None


def test_departure_notice_without_a_leaving_report() -> None:
    report_filter = ReportFilter()
    report_filter.accept(_report('i-1', 100, 5))
    departed = report_filter.on_departure(Departure('i-1'))
    assert departed is not None
    assert departed.is_leaving
    assert report_filter.accept(_report('i-1', 100, 6)) is None
    assert report_filter.accept(_report('i-1', 200, 0))


def test_departure_notice_of_a_past_incarnation_is_ignored() -> None:
    report_filter = ReportFilter()
    report_filter.accept(_report('i-1', 100, 5))
    report_filter.accept(_report('i-2', 200, 0))
    assert report_filter.on_departure(Departure('i-1', 100)) is None
    assert report_filter.on_departure(Departure('i-2', 100)) is None
    assert report_filter.accept(_report('i-2', 200, 1))
