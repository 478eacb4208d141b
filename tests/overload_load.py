"""A generated load on played targets, for tests of load shedding.

Two services are played, each with a target of 3 and one of 6 slots: ``shop``
runs searches and purchases, whose nested lookups go to ``store``, which also
runs uploads and takedowns. Targets work for lognormal times, and a call that
is refused by one is offered to the other and then queued, as by
``Dispatch``. A client that is refused comes back once when it was told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random

from bluebellsill.admission import Decision, Ticket
from bluebellsill.overload import LoadShedding, QueueOrder
from bluebellsill.slot_gate import SlotGate

_SPREAD = 0.3  # of the logarithm of service times
_LOOKUP = 0.04  # seconds
_NESTED_SHARE = 0.7
_LATENCY_SHARE = 0.93  # of the target latency, as in OutboundCall
SLOTS = (3, 6)
BURST_FACTOR = 2.4
_SECONDS = 10.0
_BURST = (2.0, 8.0)  # seconds


@dataclass(frozen=True)
class Class:
    """A class of requests; times in seconds."""

    service: str
    work: float
    latency: float
    deadline: float
    value: float
    late_value: float
    priority: int
    share: float  # of the arrivals
    lookups: str = ''


CLASSES = {
    'search': Class(
        'shop', 0.16, 0.682, 1.704, 1, 0.1, 1, 0.34, 'one after the other'
    ),
    'purchase': Class('shop', 0.21, 0.891, 2.228, 2, 0.2, 1, 0.17, 'at once'),
    'upload': Class('store', 0.19, 2.234, 2.792, 1, 0.15, 0, 0.33),
    'takedown': Class('store', 0.13, 0.479, 1.796, 1.9, 0.146, 2, 0.16),
}
# Importance and share of the requests.
TEAMS = {'gold': (2, 0.2), 'silver': (1, 0.5), 'bronze': (0, 0.3)}


@dataclass
class Result:
    """What clients got."""

    value: float = 0
    offered_value: float = 0
    failed_below: int = 0
    refused: int = 0
    retries_at: list[float] = field(default_factory=list)
    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)

    def share(self, name: str) -> float:
        """Return the share of the requests of a class or team served."""
        return self.served[name] / max(1, self.offered[name])


class FifoGate(SlotGate):
    """A baseline: serves in order of arrival and queues as many as it runs."""

    def offer(self, ticket: Ticket, now: float) -> tuple[Decision, None]:
        """Run, queue or refuse a call."""
        if self.in_flight < self.limit:
            self._start(ticket, now)
            return Decision.RUN, None
        if ticket.may_wait and len(self._queue) < self.limit:
            self._queue.append(ticket)
            return Decision.WAIT, None
        return Decision.REFUSE, None

    def admit(self, now: float) -> list[Ticket]:
        """Start the calls that have waited longest."""
        admitted = self._queue[: self.limit - self.in_flight]
        for ticket in admitted:
            self._queue.remove(ticket)
            self._start(ticket, now)
        return admitted

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the calls whose deadline has passed."""
        expired = [one for one in self._queue if now >= one.expires_at]
        self._queue = [one for one in self._queue if one not in expired]
        return expired


@dataclass
class _Request:
    """A client's request or, with ``on_end``, a nested call."""

    name: str
    service: str
    ticket: Ticket
    work: float
    lookups: str = ''
    on_end: Callable[[bool], None] | None = None
    on_refused: Callable[[], None] = lambda: None
    began_at: float = 0
    has_failed_below: bool = False


class PlayedLoad:
    """Plays arrivals for some seconds and counts what clients get."""

    def __init__(
        self,
        make_gate: Callable[[], SlotGate],
        choice: str,
        seed: int,
        patience: float,
    ) -> None:
        self.result = Result()
        self._random = Random(seed)
        # Placement draws other numbers, so that all runs have one load.
        self._choices = Random(seed)
        self._choice = choice
        self._patience = patience
        self._gates = {
            service: [make_gate() for _ in SLOTS]
            for service in ('shop', 'store')
        }
        self._requests: dict[Ticket, _Request] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self._now = 0.0

    def run(self, load: float, seconds: float, *, has_burst: bool) -> Result:
        """Play arrivals at a share of the capacity."""
        for gates in self._gates.values():
            for gate, slots in zip(gates, SLOTS, strict=True):
                gate.resize(slots)
        rate = load * sum(SLOTS) / max(map(_work_at, self._gates))
        at = 0.0
        while at < seconds:
            at += self._random.expovariate(rate * BURST_FACTOR)
            name = self._random.choices(
                list(CLASSES), [one.share for one in CLASSES.values()]
            )[0]
            team = self._random.choices(
                list(TEAMS), [share for _, share in TEAMS.values()]
            )[0]
            is_burst = has_burst and name == 'upload'
            is_burst &= _BURST[0] <= at < _BURST[1]
            if is_burst or self._random.random() < 1 / BURST_FACTOR:
                work = self._random.lognormvariate(0, _SPREAD)
                has_lookups = self._random.random() < _NESTED_SHARE
                self._at(at, self._arrival(name, team, work, has_lookups))
        while self._events:
            self._now, _, event = heappop(self._events)
            event()
        return self.result

    def _arrival(
        self, name: str, team: str, work: float, has_lookups: bool
    ) -> Callable[[], None]:
        return lambda: self._send(name, team, work, has_lookups, self._now)

    def _send(
        self,
        name: str,
        team: str,
        work: float,
        has_lookups: bool,
        began_at: float,
    ) -> None:
        kind = CLASSES[name]
        is_first = began_at == self._now
        if is_first:
            self.result.offered.update((name, team))
            self.result.offered_value += kind.value
        ticket = Ticket(
            kind.priority,
            began_at + kind.deadline,
            soft_deadline=began_at + _LATENCY_SHARE * kind.latency,
            route=name,
            team=team,
            team_importance=TEAMS[team][0],
            is_repeat=not is_first,
        )

        def on_refused() -> None:
            wait = ticket.retry_after
            left = ticket.expires_at - self._now - kind.work
            if is_first and left > wait:
                self.result.retries_at.append(self._now + wait)
                retry = lambda: self._send(  # noqa: E731
                    name, team, work, has_lookups, began_at
                )
                self._at(self._now + max(0.02, wait), retry)
            else:
                self.result.refused += 1

        self._offer(
            _Request(
                name,
                kind.service,
                ticket,
                kind.work * work,
                kind.lookups if has_lookups else '',
                on_refused=on_refused,
                began_at=began_at,
            )
        )

    def _offer(self, request: _Request) -> None:
        """Try both targets without queueing, then queue at the shorter one."""
        gates = list(self._gates[request.service])
        self._choices.shuffle(gates)
        if self._choice == 'least loaded':
            gates.sort(key=lambda gate: gate.load / gate.limit)
        if self._choice != 'gate':
            tries = [(gates[0], True)]
        else:
            tries = [(gate, False) for gate in gates]
        waits: dict[float, SlotGate] = {}
        ticket = request.ticket
        for gate, may_wait in tries:
            ticket.may_wait = may_wait
            if self._try(gate, request):
                return
            waits[ticket.queue_seconds] = gate
        if self._choice == 'gate':
            ticket.may_wait = True
            if self._try(waits[min(waits)], request):
                return
        request.on_refused()

    def _try(self, gate: SlotGate, request: _Request) -> bool:
        gate.on_slowness(1, self._now)
        decision, _ = gate.offer(request.ticket, self._now)
        if decision is Decision.REFUSE:
            return False
        self._requests[request.ticket] = request
        if decision is Decision.RUN:
            self._start(gate, request)
        else:
            for due in (
                request.ticket.leaves_queue_at,
                request.ticket.must_start_by,
                request.ticket.expires_at,
            ):
                self._at(max(self._now, due), lambda: self._serve(gate))
            self._serve(gate)
        return True

    def _serve(self, gate: SlotGate) -> None:
        gate.on_slowness(1, self._now)
        for ticket in gate.admit(self._now):
            self._start(gate, self._requests[ticket])
        for ticket in gate.expire(self._now):
            self._requests.pop(ticket).on_refused()

    def _start(self, gate: SlotGate, request: _Request) -> None:
        lookups = {'': 0, 'at once': 2, 'one after the other': 2}
        left = lookups[request.lookups]

        def work_on() -> None:
            end = self._now + request.work
            self._at(end, lambda: self._end(gate, request))

        def on_lookup(is_served: bool) -> None:
            nonlocal left
            left -= 1
            request.has_failed_below |= not is_served
            if request.lookups == 'one after the other' and left and is_served:
                self._look_up(request, on_lookup)
            elif not left or request.lookups == 'one after the other':
                work_on()

        if not left:
            work_on()
        for _ in range(2 if request.lookups == 'at once' else min(left, 1)):
            self._look_up(request, on_lookup)

    def _look_up(
        self, parent: _Request, on_end: Callable[[bool], None]
    ) -> None:
        ticket = Ticket(
            parent.ticket.priority,
            # The parent still has to work after its lookups.
            min(
                parent.ticket.expires_at - parent.work,
                self._now + self._patience,
            ),
            route='lookup',
            is_inner=True,
        )
        work = _LOOKUP * self._random.lognormvariate(0, _SPREAD)
        self._offer(
            _Request(
                'lookup',
                'store',
                ticket,
                work,
                on_end=on_end,
                on_refused=lambda: on_end(False),
            )
        )

    def _end(self, gate: SlotGate, request: _Request) -> None:
        ticket = self._requests.pop(request.ticket).ticket
        if not request.has_failed_below:
            gate.on_answer(ticket, self._now)
        gate.shedding.on_answer(
            ticket, self._now, has_failed_below=request.has_failed_below
        )
        gate.finish(ticket)
        self._serve(gate)
        if request.on_end is not None:
            request.on_end(True)
        elif request.has_failed_below:
            self.result.failed_below += 1
        elif self._now <= ticket.expires_at:
            kind = CLASSES[request.name]
            is_late = self._now > request.began_at + kind.latency
            self.result.value += kind.late_value if is_late else kind.value
            self.result.served.update((request.name, ticket.team))

    def _at(self, at: float, event: Callable[[], None]) -> None:
        heappush(self._events, (at, next(self._order), event))


def _work_at(service: str) -> float:
    """Return the seconds of a slot at a service for an average request."""
    waits = {'': 0, 'at once': _LOOKUP, 'one after the other': 2 * _LOOKUP}
    return sum(
        one.share * (one.work + _NESTED_SHARE * waits[one.lookups])
        if one.service == service
        else one.share * _NESTED_SHARE * 2 * _LOOKUP * bool(one.lookups)
        for one in CLASSES.values()
        if one.service == service or service == 'store'
    )


def play(
    order: type[QueueOrder] | str,
    load: float,
    *,
    seed: int,
    has_burst: bool = False,
    patience: float = 9,
) -> Result:
    """Play a load with a queue order, or with the choice of a baseline.

    Args:
        order: The order, or ``least loaded`` or ``random`` with a plain queue.
        load: Arrivals as a share of the capacity.
        seed: Determines arrivals and work.
        has_burst: Whether there are 2.4 times the uploads for 6 s.
        patience: Seconds that a parent waits for a lookup.
    """
    if isinstance(order, str):
        played = PlayedLoad(FifoGate, order, seed, patience)
    else:
        make = order
        played = PlayedLoad(
            lambda: SlotGate(shedding=LoadShedding(make())),
            'gate',
            seed,
            patience,
        )
    return played.run(load, _SECONDS, has_burst=has_burst)
