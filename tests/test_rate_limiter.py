"""Tests of the pace of starts at a target that states a rate."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.admission import Decision, Ticket
from bluebellsill.rate_limiter import RateLimiter
from bluebellsill.slot_gate import SlotGate

_WINDOW = 4.0  # seconds
_STEP = 0.01  # seconds


def _starts(
    limiter: RateLimiter, begin: float, end: float, pauses: list[float]
) -> list[float]:
    """Start as often as allowed, except for a second after each pause."""
    starts = []
    for step in range(int((end - begin) / _STEP)):
        now = begin + step * _STEP
        is_paused = any(pause <= now < pause + 1 for pause in pauses)
        while not is_paused and not limiter.wait(now):
            limiter.on_start(now)
            starts.append(now)
    return starts


@given(
    st.floats(0, 40),
    st.lists(st.floats(0, 10), max_size=3),
    st.floats(0, 10),
)
def test_starts_stay_within_the_bound_of_any_window_and_restart(
    rate: float, pauses: list[float], restarted_at: float
) -> None:
    first, second = RateLimiter(), RateLimiter()
    first.change_rate(rate, 0)
    starts = _starts(first, 0, restarted_at, pauses)
    second.change_rate(rate, restarted_at)
    starts += _starts(second, restarted_at, 12, pauses)
    for begin in starts:
        in_window = [one for one in starts if begin <= one < begin + _WINDOW]
        assert len(in_window) <= 1.5 * rate * _WINDOW + 5


@given(st.floats(0.5, 40))
def test_stated_rate_is_used_in_full(rate: float) -> None:
    limiter = RateLimiter()
    limiter.change_rate(rate, 0)
    starts = _starts(limiter, 0, 20, [])
    assert len(starts) >= int(0.95 * rate * 20) - 1


def test_ended_limit_allows_starts_at_once() -> None:
    limiter = RateLimiter()
    limiter.change_rate(0, 0)
    assert limiter.wait(2) > 1
    limiter.change_rate(None, 2)
    assert limiter.wait(2) == 0


def test_target_that_takes_nothing_is_tried_once_in_four_seconds() -> None:
    """A target that could state the end of its limit nowhere got no request."""
    limiter = RateLimiter()
    limiter.change_rate(0, 0)
    assert limiter.wait(3.9) > 0
    assert limiter.wait(4) == 0
    limiter.on_start(4)
    assert limiter.wait(7.9) > 0


def _limited_gate(rate: float) -> SlotGate:
    gate = SlotGate()
    gate.resize(6)
    gate.on_slowness(1, 0)
    gate.limit_rate(rate, 0)
    return gate


def test_call_beyond_the_rate_is_refused_with_the_time_of_the_next_start() -> (
    None
):
    gate = _limited_gate(2)
    ticket = Ticket(1, 5, soft_deadline=0.4)
    assert gate.offer(ticket, 0)[0] is Decision.REFUSE
    assert abs(ticket.retry_after - 0.5) < 0.01


def test_calls_wait_for_the_rate_only_as_long_as_they_stay_in_time() -> None:
    gate = _limited_gate(4)
    decisions = [
        gate.offer(Ticket(1, 5, soft_deadline=0.6), 0)[0] for _ in range(3)
    ]
    assert decisions == [Decision.WAIT, Decision.WAIT, Decision.REFUSE]
    assert gate.delay_until_start(0) == 0.25


def test_nested_call_starts_before_the_others_at_a_limited_target() -> None:
    gate = _limited_gate(4)
    outer = Ticket(5, 5, soft_deadline=2)
    nested = Ticket(1, 5, is_inner=True)
    for ticket in (outer, nested):
        assert gate.offer(ticket, 0)[0] is Decision.WAIT
    gate.on_slowness(1, 0.26)
    assert gate.admit(0.26) == [nested]


def test_call_that_waits_for_the_rate_is_not_displaced_by_its_equals() -> None:
    """Displaced calls waited for most of their target latency in vain."""
    gate = _limited_gate(2)
    first = Ticket(1, 5, soft_deadline=1.01)
    second = Ticket(1, 5, soft_deadline=1)
    assert gate.offer(first, 0.3)[0] is Decision.WAIT
    # The rate allows a start, but the target's slowness is unknown.
    assert gate.offer(second, 0.6)[0] is Decision.REFUSE
    assert 0.39 < second.retry_after < 0.51
    gate.on_slowness(1, 0.601)
    assert gate.admit(0.601) == [first]


def test_call_that_a_higher_class_displaces_is_refused_at_once() -> None:
    gate = _limited_gate(4)
    waiting = [Ticket(1, 5, soft_deadline=0.6) for _ in range(2)]
    for ticket in waiting:
        assert gate.offer(ticket, 0)[0] is Decision.WAIT
    urgent = Ticket(2, 5, soft_deadline=0.6)
    assert gate.offer(urgent, 0.01)[0] is Decision.WAIT
    assert gate.expire(0.01) == waiting[1:]
