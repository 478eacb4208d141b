"""What callers get at a target that states its slots, by played load."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.admission import Decision, Ticket
from bluebellsill.slot_gate import SlotGate
from bluebellsill.start_pace import ColdRules

_SLOTS = 6
_WORK = 0.1  # seconds


def _gate(slots: int = _SLOTS) -> SlotGate:
    gate = SlotGate()
    gate.resize(slots)
    gate.on_slowness(1, 0)
    return gate


def _learn(gate: SlotGate, work: float, route: str = '') -> None:
    """Let the gate see one answer of a route."""
    ticket = Ticket(1, 100, route=route)
    gate.on_slowness(1, 0)
    assert gate.offer(ticket, 0) == (Decision.RUN, None)
    gate.on_answer(ticket, work)
    gate.finish(ticket)


def test_free_slot_is_used_at_once() -> None:
    gate = _gate()
    assert gate.offer(Ticket(1, 1), 0) == (Decision.RUN, None)


def test_unknown_slowness_is_asked_for_before_a_start() -> None:
    gate = _gate()
    ticket = Ticket(1, 5, may_wait=False)
    assert gate.offer(ticket, 1) == (Decision.WAIT, None)
    assert gate.wants_measure(1)
    gate.on_slowness(1, 1)
    assert not gate.wants_measure(1)
    assert gate.admit(1) == [ticket]


def test_slow_moment_is_waited_for_or_left_to_others() -> None:
    gate = _gate()
    _learn(gate, _WORK)
    gate.on_slowness(5, 1)
    patient, impatient = Ticket(1, 5), Ticket(1, 5, may_wait=False)
    assert gate.offer(impatient, 1)[0] is Decision.REFUSE
    assert gate.offer(patient, 1)[0] is Decision.WAIT
    assert gate.admit(1) == []
    gate.on_slowness(1, 1.1)
    assert gate.admit(1.1) == [patient]


def test_short_work_does_not_wait_for_the_end_of_a_spell() -> None:
    gate = _gate()
    _learn(gate, 0.01)
    gate.on_slowness(5, 1)
    assert gate.offer(Ticket(1, 5), 1)[0] is Decision.RUN


def test_refusal_tells_when_a_slot_is_free() -> None:
    gate = _gate(1)
    _learn(gate, _WORK)
    assert gate.offer(Ticket(1, 5), 0)[0] is Decision.RUN
    late = Ticket(1, 5, wanted_at=0.15)
    assert gate.offer(late, 0.05)[0] is Decision.REFUSE
    assert abs(late.retry_after - 0.05) < 0.001


def test_calls_of_running_requests_go_first() -> None:
    gate = _gate(1)
    _learn(gate, _WORK)
    running = Ticket(1, 5)
    gate.offer(running, 0)
    parent = Ticket(9, 5, wanted_at=4)
    inner = Ticket(0, 5, is_inner=True)
    gate.offer(parent, 0)
    gate.offer(inner, 0)
    gate.finish(running)
    gate.on_slowness(1, 0.1)
    assert gate.admit(0.1) == [inner]


def test_late_requests_do_not_hold_up_those_in_time() -> None:
    gate = _gate(1)
    _learn(gate, _WORK)
    running = Ticket(1, 9)
    gate.offer(running, 0)
    first = Ticket(1, 9, wanted_at=0.35)
    second = Ticket(1, 9, wanted_at=0.9)
    assert gate.offer(first, 0)[0] is Decision.WAIT
    assert gate.offer(second, 0)[0] is Decision.WAIT
    gate.finish(running)
    gate.on_slowness(1, 0.4)
    assert gate.admit(0.4) == [second]


def test_cold_target_gets_no_more_than_it_bears_in_any_second() -> None:
    gate = _gate(50)
    gate.set_cold(10, 7)
    starts: list[float] = []
    for step in range(300):
        now = step / 100
        gate.on_slowness(1, now)
        ticket = Ticket(1, now + 20)
        if gate.offer(ticket, now)[0] is Decision.RUN:
            starts.append(now)
        starts += [now for _ in gate.admit(now)]
    for start in starts:
        assert sum(start <= one < start + 1 for one in starts) <= 7


def test_cold_target_gets_what_the_platform_lets_it_have() -> None:
    rules = ColdRules(factor=1.5, slack=4)
    gate = SlotGate(rules)
    gate.resize(50)
    gate.set_cold(10, 8)
    starts = 0
    for step in range(100):
        gate.on_slowness(1, step / 100)
        ticket = Ticket(1, 20)
        starts += gate.offer(ticket, step / 100)[0] is Decision.RUN
        starts += len(gate.admit(step / 100))
    assert starts == 16


def test_call_that_a_cold_target_would_answer_late_is_refused() -> None:
    """Work of 100 ms takes 200 ms there, and 150 ms are left."""
    gate = _gate(1)
    _learn(gate, _WORK)
    gate.set_cold(10, 8)
    gate.on_slowness(2, 1)
    running = Ticket(1, 9)
    assert gate.offer(running, 1)[0] is Decision.RUN
    waiting = Ticket(1, 9, wanted_at=1.35)
    assert gate.offer(waiting, 1)[0] is Decision.REFUSE


@given(st.integers(1, 8), st.integers(0, 2**32))
def test_slots_are_never_exceeded(slots: int, seed: int) -> None:
    random = Random(seed)
    gate = _gate(slots)
    running: list[Ticket] = []
    waiting: set[int] = set()
    for step in range(60):
        now = step / 50
        gate.on_slowness(random.choice([1, 1, 5]), now)
        ticket = Ticket(random.randrange(3), now + random.uniform(0, 1))
        decision, shed = gate.offer(ticket, now)
        assert shed is None
        if decision is Decision.RUN:
            running.append(ticket)
        elif decision is Decision.WAIT:
            waiting.add(id(ticket))
        if running and random.random() < 0.5:
            done = running.pop(0)
            gate.on_answer(done, now)
            gate.finish(done)
        for one in gate.expire(now):
            waiting.remove(id(one))
        for one in gate.admit(now):
            waiting.remove(id(one))
            running.append(one)
        assert gate.in_flight == len(running) <= slots
        assert gate.load == len(running) + len(waiting)


class _Play:
    """A target with spells in which work takes five times as long."""

    def __init__(self, *, asks: bool) -> None:
        self.gate = _gate()
        self.asks = asks
        self.random = Random(4)
        self.now = 0.0
        self.spell_ends = 0.0
        self.calm_ends = 0.3
        self.latencies: list[float] = []

    def factor(self) -> float:
        """Return the slowness now."""
        while self.now >= self.calm_ends and self.now >= self.spell_ends:
            self.spell_ends = self.calm_ends + self.random.expovariate(5)
            self.calm_ends = self.spell_ends + self.random.expovariate(2)
        return 5 if self.now < self.spell_ends else 1

    def run(self, per_second: float, seconds: float) -> list[float]:
        """Play requests of 160 ms and return their latencies."""
        events: list[tuple[float, int, Ticket | None]] = []
        order = count()
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(per_second)
            arrival = Ticket(1, at + 3, wanted_at=at + 0.5, route='view')
            heappush(events, (at, next(order), arrival))
        began: dict[int, float] = {}
        while events:
            self.now, _, ticket = heappop(events)
            factor = self.factor()
            self.gate.on_slowness(factor if self.asks else 1, self.now)
            started: list[Ticket] = []
            if ticket is None:
                pass
            elif ticket.started_at:
                self.gate.on_answer(ticket, self.now)
                self.gate.finish(ticket)
                self.latencies.append(self.now - began[id(ticket)])
            else:
                began[id(ticket)] = self.now
                if self.gate.offer(ticket, self.now)[0] is Decision.RUN:
                    started.append(ticket)
            started += self.gate.admit(self.now)
            self.gate.expire(self.now)
            for one in started:
                work = self.random.lognormvariate(-1.88, 0.3) * factor
                heappush(events, (self.now + work, next(order), one))
            if self.asks and self.gate.load > self.gate.in_flight:
                heappush(events, (self.now + 0.02, next(order), None))
        return self.latencies


def test_waiting_out_slow_moments_serves_more_in_time() -> None:
    """The load: 12 requests a second of 160 ms, a quarter of it in spells."""
    in_time = []
    for asks in (False, True):
        latencies = _Play(asks=asks).run(12, 60)
        in_time.append(sum(one <= 0.5 for one in latencies) / 12 / 60)
    assert in_time[1] > in_time[0] + 0.1
    assert in_time[1] > 0.85
