"""Tests of admission at a target that states its slots."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.admission import Decision, Ticket
from bluebellsill.slot_gate import SlotGate
from bluebellsill.start_rate import ColdRateAllowance

_SLOTS = 6
_SERVICE_TIME = 0.1  # seconds


def _gate(slots: int = _SLOTS) -> SlotGate:
    gate = SlotGate()
    gate.resize(slots)
    gate.on_slowness(1, 0)
    return gate


def _record_answer(
    gate: SlotGate, service_time: float, route: str = ''
) -> None:
    """Let the gate record one answer of a route."""
    ticket = Ticket(1, 100, route=route)
    gate.on_slowness(1, 0)
    assert gate.offer(ticket, 0) == (Decision.RUN, None)
    gate.on_answer(ticket, service_time)
    gate.finish(ticket)


def test_free_slot_is_used_at_once() -> None:
    gate = _gate()
    assert gate.offer(Ticket(1, 1), 0) == (Decision.RUN, None)


def test_slowness_is_requested_before_a_start() -> None:
    gate = _gate()
    ticket = Ticket(1, 5, may_wait=False)
    assert gate.offer(ticket, 1) == (Decision.WAIT, None)
    assert gate.needs_slowness_report(1)
    gate.on_slowness(1, 1)
    assert not gate.needs_slowness_report(1)
    assert gate.admit(1) == [ticket]


def test_slow_target_queues_or_refuses_calls() -> None:
    gate = _gate()
    _record_answer(gate, _SERVICE_TIME)
    gate.on_slowness(5, 1)
    may_wait, may_not_wait = Ticket(1, 5), Ticket(1, 5, may_wait=False)
    assert gate.offer(may_not_wait, 1)[0] is Decision.REFUSE
    assert gate.offer(may_wait, 1)[0] is Decision.WAIT
    assert gate.admit(1) == []
    gate.on_slowness(1, 1.1)
    assert gate.admit(1.1) == [may_wait]


def test_short_call_does_not_wait_for_a_slow_period_to_end() -> None:
    gate = _gate()
    _record_answer(gate, 0.01)
    gate.on_slowness(5, 1)
    assert gate.offer(Ticket(1, 5), 1)[0] is Decision.RUN


def test_refusal_states_when_a_slot_is_expected() -> None:
    gate = _gate(1)
    _record_answer(gate, _SERVICE_TIME)
    assert gate.offer(Ticket(1, 5), 0)[0] is Decision.RUN
    late = Ticket(1, 5, soft_deadline=0.15)
    assert gate.offer(late, 0.05)[0] is Decision.REFUSE
    assert abs(late.retry_after - 0.05) < 0.001


def test_nested_calls_start_first() -> None:
    gate = _gate(1)
    _record_answer(gate, _SERVICE_TIME)
    running = Ticket(1, 5)
    gate.offer(running, 0)
    outer = Ticket(9, 5, soft_deadline=4)
    nested = Ticket(0, 5, is_inner=True)
    gate.offer(outer, 0)
    gate.offer(nested, 0)
    gate.finish(running)
    gate.on_slowness(1, 0.1)
    assert gate.admit(0.1) == [nested]


def test_late_calls_do_not_delay_calls_in_time() -> None:
    gate = _gate(1)
    _record_answer(gate, _SERVICE_TIME)
    running = Ticket(1, 9)
    gate.offer(running, 0)
    first = Ticket(1, 9, soft_deadline=0.35)
    second = Ticket(1, 9, soft_deadline=0.9)
    assert gate.offer(first, 0)[0] is Decision.WAIT
    assert gate.offer(second, 0)[0] is Decision.WAIT
    gate.finish(running)
    gate.on_slowness(1, 0.4)
    assert gate.admit(0.4) == [second]


def test_cold_target_start_rate_holds_in_any_second() -> None:
    gate = _gate(50)
    gate.limit_starts_until(10, 7)
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


def test_calls_that_wait_for_a_cold_period_start_after_its_stated_end() -> None:
    """Targets round the time left down, and got several too many at its end."""
    gate = SlotGate()
    gate.resize(50)
    gate.on_slowness(1, 0)
    gate.limit_starts_until(0.5, 4)
    for _ in range(12):
        gate.offer(Ticket(0, 1e9), 0)
    gate.on_slowness(1, 0.5005)
    assert gate.admit(0.5005) == []
    gate.on_slowness(1, 0.52)
    assert len(gate.admit(0.52)) == 8


def test_cold_rules_raise_the_start_rate() -> None:
    allowance = ColdRateAllowance(factor=1.5, slack=4)
    gate = SlotGate(allowance)
    gate.resize(50)
    gate.limit_starts_until(10, 8)
    starts = 0
    for step in range(100):
        gate.on_slowness(1, step / 100)
        ticket = Ticket(1, 20)
        starts += gate.offer(ticket, step / 100)[0] is Decision.RUN
        starts += len(gate.admit(step / 100))
    assert starts == 16


def test_call_that_a_cold_target_would_answer_late_is_refused() -> None:
    """A call of 100 ms takes 200 ms there, but 150 ms are left by its start."""
    gate = _gate(1)
    _record_answer(gate, _SERVICE_TIME)
    gate.limit_starts_until(10, 8)
    gate.on_slowness(2, 1)
    running = Ticket(1, 9)
    assert gate.offer(running, 1)[0] is Decision.RUN
    waiting = Ticket(1, 9, soft_deadline=1.35)
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


class _LoadSimulation:
    """Simulates a target whose service times are fivefold in slow periods."""

    def __init__(self, *, reports_slowness: bool) -> None:
        self.gate = _gate()
        self.reports_slowness = reports_slowness
        self.random = Random(4)
        self.now = 0.0
        self.slow_until = 0.0
        self.fast_until = 0.3
        self.latencies: list[float] = []

    def factor(self) -> float:
        """Return the present slowness factor."""
        while self.now >= self.fast_until and self.now >= self.slow_until:
            self.slow_until = self.fast_until + self.random.expovariate(5)
            self.fast_until = self.slow_until + self.random.expovariate(2)
        return 5 if self.now < self.slow_until else 1

    def run(self, per_second: float, seconds: float) -> list[float]:
        """Simulate requests of 160 ms on average and return their latencies."""
        events: list[tuple[float, int, Ticket | None]] = []
        order = count()
        at = 0.0
        while at < seconds:
            at += self.random.expovariate(per_second)
            arrival = Ticket(1, at + 3, soft_deadline=at + 0.5, route='view')
            heappush(events, (at, next(order), arrival))
        arrived_at: dict[int, float] = {}
        while events:
            self.now, _, ticket = heappop(events)
            factor = self.factor()
            self.gate.on_slowness(
                factor if self.reports_slowness else 1, self.now
            )
            started: list[Ticket] = []
            if ticket is None:
                pass
            elif ticket.started_at:
                self.gate.on_answer(ticket, self.now)
                self.gate.finish(ticket)
                self.latencies.append(self.now - arrived_at[id(ticket)])
            else:
                arrived_at[id(ticket)] = self.now
                if self.gate.offer(ticket, self.now)[0] is Decision.RUN:
                    started.append(ticket)
            started += self.gate.admit(self.now)
            self.gate.expire(self.now)
            for one in started:
                service_time = self.random.lognormvariate(-1.88, 0.3) * factor
                heappush(events, (self.now + service_time, next(order), one))
            if self.reports_slowness and self.gate.load > self.gate.in_flight:
                heappush(events, (self.now + 0.02, next(order), None))
        return self.latencies


def test_waiting_out_slow_periods_answers_more_in_time() -> None:
    """12 requests a second of 160 ms; slow for about a quarter of the time."""
    in_time = []
    for reports_slowness in (False, True):
        latencies = _LoadSimulation(reports_slowness=reports_slowness).run(
            12, 60
        )
        in_time.append(sum(latency <= 0.5 for latency in latencies) / 12 / 60)
    assert in_time[1] > in_time[0] + 0.1
    assert in_time[1] > 0.85


def test_requests_of_an_earlier_process_occupy_slots_until_they_end() -> None:
    gate = _gate()
    gate.on_load(_SLOTS)
    waiting = Ticket(1, 5)
    assert gate.offer(waiting, 0) == (Decision.WAIT, None)
    assert gate.admit(0) == []
    # Nothing else tells when they end, so the target has to be asked again.
    assert gate.delay_until_start(0) is not None
    assert gate.needs_slowness_report(1)
    gate.on_slowness(1, 1)
    assert gate.on_load(_SLOTS - 1)
    assert gate.admit(1) == [waiting]
    assert gate.offer(Ticket(1, 5, may_wait=False), 1)[0] is Decision.REFUSE


def test_later_reports_of_load_take_no_slots_away() -> None:
    """They may contain calls that this node has cancelled."""
    gate = _gate()
    gate.on_load(0)
    assert not gate.on_load(_SLOTS)
    assert gate.offer(Ticket(1, 1), 0) == (Decision.RUN, None)


def test_started_target_has_no_requests_of_an_earlier_process() -> None:
    gate = _gate()
    gate.on_load(_SLOTS)
    gate.on_cold()
    assert gate.offer(Ticket(1, 1), 0) == (Decision.RUN, None)
    gate.on_load(_SLOTS)
    gate.finish(Ticket(1, 1))
    assert gate.expected_wait(Ticket(1, 1), 0) > 0
