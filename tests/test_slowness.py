"""When a target counts as slow, and how long that is expected to last."""

from __future__ import annotations

from random import Random

from bluebellsill.admission import Decision, Ticket
from bluebellsill.slot_gate import SlotGate
from bluebellsill.slowness import Slowness

_SPELL = 0.2  # seconds on an average
_SLOW = 5.0


def _spells(seed: int, seconds: float) -> list[tuple[float, float]]:
    """Return when spells begin and end; a quarter of the time is slow."""
    random = Random(seed)
    now = 0.0
    spells = []
    while now < seconds:
        now += random.expovariate(1 / (3 * _SPELL))
        end = now + random.expovariate(1 / _SPELL)
        spells.append((now, end))
        now = end
    return spells


def _factor(spells: list[tuple[float, float]], now: float) -> float:
    is_slow = any(start <= now < end for start, end in spells)
    return _SLOW if is_slow else 1.0


def _observed(period: float, seconds: float = 60.0) -> Slowness:
    slowness = Slowness()
    spells = _spells(3, seconds)
    for step in range(int(seconds / period)):
        now = step * period
        slowness.observe(_factor(spells, now), now)
    return slowness


def test_rare_words_of_a_target_do_not_lengthen_its_spells() -> None:
    slowness = _observed(period=0.3)
    assert slowness.expected_rest < 2 * _SPELL


def test_frequent_words_tell_how_long_spells_last() -> None:
    slowness = _observed(period=0.02)
    assert 0.5 * _SPELL < slowness.expected_rest < 2 * _SPELL


def test_share_of_slow_time_is_known_from_rare_words_too() -> None:
    slowness = _observed(period=0.3)
    assert 0 < slowness.share < 0.7


def test_spell_without_an_end_is_waited_for_less_and_less() -> None:
    slowness = Slowness()
    slowness.observe(1, 0)
    for step in range(1, 60):
        slowness.observe(_SLOW, step * 0.02)
    assert slowness.is_slow
    assert slowness.expected_rest > 2 * 0.15
    assert not slowness.gains_by_waiting(0.1)


def test_cold_target_is_not_slow_but_slowed_by_its_neighbours() -> None:
    """A cold target works at half of its pace, whatever its neighbours do."""
    gate = SlotGate()
    gate.resize(6)
    gate.on_slowness(1, 0)
    gate.set_cold(5, 100)
    gate.on_slowness(2, 1)
    ticket = Ticket(1, 9)
    assert gate.offer(ticket, 1)[0] is Decision.RUN
    ticket.route = 'view'
    gate.on_answer(ticket, 1.4)
    gate.finish(ticket)
    gate.on_slowness(10, 1.5)
    assert gate.offer(Ticket(1, 9, route='view'), 1.5)[0] is Decision.WAIT


def test_call_that_may_go_elsewhere_is_not_started_in_a_slow_moment() -> None:
    """The load: short calls, of which a target among others is slow."""
    gate = SlotGate()
    gate.resize(6)
    gate.on_slowness(1, 0)
    learned = Ticket(1, 9, route='check')
    gate.offer(learned, 0)
    gate.on_answer(learned, 0.015)
    gate.finish(learned)
    gate.on_slowness(_SLOW, 1)
    first = Ticket(1, 9, route='check', may_wait=False)
    last = Ticket(1, 9, route='check')
    assert gate.offer(first, 1)[0] is Decision.REFUSE
    assert gate.offer(last, 1)[0] is Decision.RUN
