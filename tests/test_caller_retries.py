"""Tests that retries by callers are told apart from new requests."""

from __future__ import annotations

from bluebellsill.caller_retries import CallerRetryTracker


def test_retry_returns_time_of_first_attempt() -> None:
    tracker = CallerRetryTracker()
    tracker.record_unserved(7, 10.0, 8.0, 8.1)
    assert tracker.first_attempt_at(7, 10.02, 8.4) == 8.0
    tracker.record_unserved(7, 10.02, 8.0, 8.5)
    assert tracker.first_attempt_at(7, 9.99, 9.0) == 8.0


def test_equal_request_of_another_caller_is_new() -> None:
    """Equal content alone is no match: the callers' deadlines differ."""
    tracker = CallerRetryTracker()
    tracker.record_unserved(7, 10.0, 8.0, 8.1)
    assert tracker.first_attempt_at(7, 10.4, 8.4) == 8.4
    assert tracker.first_attempt_at(6, 10.0, 8.4) == 8.4


def test_retry_is_matched_once() -> None:
    tracker = CallerRetryTracker()
    tracker.record_unserved(7, 10.0, 8.0, 8.1)
    tracker.first_attempt_at(7, 10.0, 8.4)
    assert tracker.first_attempt_at(7, 10.0, 8.5) == 8.5
    assert not len(tracker)


def test_number_of_remembered_requests_is_bounded() -> None:
    tracker = CallerRetryTracker()
    for index in range(20000):
        now = index / 1000
        tracker.record_unserved(index, now + 1, now, now)
    assert len(tracker) <= 4096
    for index in range(20000):
        tracker.record_unserved(7, 1000, 20, 20)
    assert len(tracker) <= 4096
