"""Tests of when a target counts as slow, and for how long."""

from __future__ import annotations

from random import Random

from bluebellsill.admission import Decision, Ticket
from bluebellsill.slot_gate import SlotGate
from bluebellsill.slowness import SlownessTracker

_SLOW_PERIOD = 0.2  # seconds on average
_SLOW_FACTOR = 5.0  # ratio of slow to usual service time


def _slow_periods(seed: int, seconds: float) -> list[tuple[float, float]]:
    """Return when slow periods begin and end; a quarter of the time is slow."""
    random = Random(seed)
    now = 0.0
    slow_periods = []
    while now < seconds:
        now += random.expovariate(1 / (3 * _SLOW_PERIOD))
        end = now + random.expovariate(1 / _SLOW_PERIOD)
        slow_periods.append((now, end))
        now = end
    return slow_periods


def _factor(slow_periods: list[tuple[float, float]], now: float) -> float:
    is_slow = any(start <= now < end for start, end in slow_periods)
    return _SLOW_FACTOR if is_slow else 1.0


def _observed(period: float, seconds: float = 60.0) -> SlownessTracker:
    slowness = SlownessTracker()
    slow_periods = _slow_periods(3, seconds)
    for step in range(int(seconds / period)):
        now = step * period
        slowness.observe(_factor(slow_periods, now), now)
    return slowness


def test_rare_reports_do_not_lengthen_slow_periods() -> None:
    slowness = _observed(period=0.3)
    assert slowness.expected_remaining < 2 * _SLOW_PERIOD


def test_frequent_reports_show_the_length_of_slow_periods() -> None:
    slowness = _observed(period=0.02)
    assert 0.5 * _SLOW_PERIOD < slowness.expected_remaining < 2 * _SLOW_PERIOD


def test_rare_reports_show_the_share_of_slow_time() -> None:
    slowness = _observed(period=0.3)
    assert 0 < slowness.slow_share < 0.7


def test_endless_slow_period_is_not_waited_out() -> None:
    slowness = SlownessTracker()
    slowness.observe(1, 0)
    for step in range(1, 60):
        slowness.observe(_SLOW_FACTOR, step * 0.02)
    assert slowness.is_slow
    assert slowness.expected_remaining > 2 * 0.15
    assert not slowness.benefits_from_waiting(0.1)


def test_slowness_of_a_cold_target_is_relative_to_its_baseline() -> None:
    """A cold target takes twice as long, whatever the load on its host."""
    gate = SlotGate()
    gate.resize(6)
    gate.on_slowness(1, 0)
    gate.limit_starts_until(5, 100)
    gate.on_slowness(2, 1)
    ticket = Ticket(1, 9)
    assert gate.offer(ticket, 1)[0] is Decision.RUN
    ticket.route = 'view'
    gate.on_answer(ticket, 1.4)
    gate.finish(ticket)
    gate.on_slowness(10, 1.5)
    assert gate.offer(Ticket(1, 9, route='view'), 1.5)[0] is Decision.WAIT


def test_slow_target_refuses_a_call_that_other_nodes_can_take() -> None:
    """A short call is refused by one slow target while others may be fast."""
    gate = SlotGate()
    gate.resize(6)
    gate.on_slowness(1, 0)
    learned = Ticket(1, 9, route='check')
    gate.offer(learned, 0)
    gate.on_answer(learned, 0.015)
    gate.finish(learned)
    gate.on_slowness(_SLOW_FACTOR, 1)
    first = Ticket(1, 9, route='check', may_wait=False)
    last = Ticket(1, 9, route='check')
    assert gate.offer(first, 1)[0] is Decision.REFUSE
    assert gate.offer(last, 1)[0] is Decision.RUN
