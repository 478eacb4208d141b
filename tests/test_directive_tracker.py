"""Tests of which notes of entry nodes hold for the current start of a target."""

from __future__ import annotations

from bluebellsill.announcement import Announcement, provisional_start_id
from bluebellsill.clock import ManualClock
from bluebellsill.messages import TargetNote
from bluebellsill.platform.target_dialect import PlatformDialect
from bluebellsill.target_dialect import NO_DIRECTIVE
from bluebellsill.target_directives import DirectiveTracker

_NAME = 't-1'
_FOUND = Announcement(
    'shop',
    '127.0.0.1:1',
    provisional_start_id(_NAME),
    name=_NAME,
    is_provisional=True,
)


def _tracker(*announcements: Announcement) -> DirectiveTracker:
    """Return the tracker of a node that was restarted."""
    tracker = DirectiveTracker(
        PlatformDialect(), ManualClock(1), lambda directive: None
    )
    for announcement in announcements:
        tracker.on_announced(announcement)
    return tracker


def _report(start_id: str) -> Announcement:
    return Announcement('shop', '127.0.0.1:1', start_id, name=_NAME)


def test_note_from_before_the_first_report_holds_after_a_second_restart() -> (
    None
):
    """The node that stated it had only probed its target."""
    tracker = _tracker(_report('t-1/1'))
    tracker.adopt(TargetNote(_NAME, _FOUND.start_id, 2.0, is_leaving=True))
    assert tracker.current.rate_limit == 2
    assert tracker.current.is_leaving


def test_note_holds_from_a_probe_to_the_first_report() -> None:
    tracker = _tracker(_FOUND)
    tracker.adopt(TargetNote(_NAME, 't-1/1', 2.0, is_leaving=True))
    tracker.on_announced(_report('t-1/1'))
    assert tracker.current.is_leaving


def test_departure_of_an_earlier_start_ends_with_the_first_report() -> None:
    """A target that started again under its name got no more requests."""
    tracker = _tracker(_FOUND)
    tracker.adopt(TargetNote(_NAME, 't-1/1', None, is_leaving=True))
    tracker.on_announced(_report('t-1/2'))
    assert tracker.current == NO_DIRECTIVE


def test_note_of_another_target_is_ignored() -> None:
    tracker = _tracker(_report('t-1/1'))
    tracker.adopt(TargetNote('t-2', 't-2/1', 2.0, is_leaving=True))
    tracker.adopt(TargetNote('t-2', provisional_start_id('t-2'), 2.0))
    assert tracker.current == NO_DIRECTIVE
