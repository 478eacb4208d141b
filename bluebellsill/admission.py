"""Decides at a target's node which calls run, wait or are refused."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from bluebellsill.ramp import Ramp

__all__ = ('Admission', 'CallCounter', 'Decision', 'Gate', 'Ticket')

QUEUE_WAIT = 0.05  # seconds that a call may wait however fast answers are


@unique
class Decision(Enum):
    """What happens to a call that is offered."""

    RUN = 'run'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(slots=True, eq=False)
class Ticket:
    """One call at the gate.

    Attributes:
        priority: Lower is shed first.
        expires_at: When nobody waits for the answer any more.
        leaves_queue_at: When the call stops waiting for a slot.
        started_at: When the call went to the target.
        wanted_at: Until when an answer is of full use, 0 if nobody says.
        route: Names requests that take about as long.
        is_inner: Whether a request that runs waits for the call.
        may_wait: Whether the call may wait here; one that may not is tried
            elsewhere first.
        slowness: How many times longer than usual work took at the start.
        level: The calls that ran at the start, this one included.
        retry_after: Seconds after which a refused call may find a slot.
    """

    priority: int
    expires_at: float
    leaves_queue_at: float = 0
    started_at: float = 0
    wanted_at: float = 0
    route: str = ''
    is_inner: bool = False
    may_wait: bool = True
    slowness: float = 1
    level: int = 1
    retry_after: float = 0


class Admission(Protocol):
    """Decides which calls run at a target, wait or are refused."""

    @property
    def in_flight(self) -> int:
        """The number of calls that run."""

    @property
    def load(self) -> int:
        """The number of calls that run or wait."""

    @property
    def limit(self) -> int:
        """The number of calls that may run."""

    def offer(
        self, ticket: Ticket, now: float
    ) -> tuple[Decision, Ticket | None]:
        """Take in a call; return what happens to it and whom it sheds."""

    def finish(self, ticket: Ticket) -> None:
        """Free the slot of a call that has ended."""

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting call out; return whether it was waiting."""

    def admit(self, now: float) -> list[Ticket]:
        """Start as many waiting calls as the target bears."""

    def expire(self, now: float) -> list[Ticket]:
        """Take out the calls that have waited long enough."""

    def drop_queue(self) -> list[Ticket]:
        """Take out every waiting call."""

    def next_start(self, now: float) -> float | None:
        """Return the seconds until ``admit`` is due, None if nothing is."""

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Take in a whole answer."""

    def on_shed(self) -> None:
        """The target said that it bears no more."""

    def on_cold(self) -> None:
        """The target is new, has restarted or crashed."""

    def set_cold(self, cold_until: float, per_second: float) -> None:
        """Bound the starts in a second until a time."""

    def resize(self, slots: int) -> None:
        """Set what the target bears when warm."""

    def wants_measure(self, now: float) -> bool:
        """Return whether the target is to be asked for its slowness."""

    def on_slowness(self, factor: float, now: float) -> None:
        """Take in how many times longer than usual work takes now."""


class CallCounter:
    """The calls that run and wait at one gate, counted exactly."""

    def __init__(self) -> None:
        """Create a counter of a gate that nobody has come to."""
        self._running: set[Ticket] = set()
        self._queue: list[Ticket] = []

    @property
    def in_flight(self) -> int:
        """The number of calls that run."""
        return len(self._running)

    @property
    def load(self) -> int:
        """The number of calls that run or wait."""
        return len(self._running) + len(self._queue)

    def finish(self, ticket: Ticket) -> None:
        """Free the slot of a call that has ended."""
        self._running.discard(ticket)

    def withdraw(self, ticket: Ticket) -> bool:
        """Take a waiting call out.

        Returns:
            Whether the call was waiting.
        """
        if ticket not in self._queue:
            return False
        self._queue.remove(ticket)
        return True

    def drop_queue(self) -> list[Ticket]:
        """Take out every waiting call."""
        dropped = self._queue
        self._queue = []
        return dropped


class Gate(CallCounter):
    """Counts exactly what runs at one target and never exceeds its limit.

    The queue is as long as the limit, so that whoever waits needs to
    wait for about one service time. It is ordered by priority, then by
    arrival; a full queue sheds its lowest priority.
    """

    def __init__(self, slots: int) -> None:
        """Create the gate of a target that starts cold."""
        super().__init__()
        self.ramp = Ramp(slots)

    @property
    def limit(self) -> int:
        """The number of calls that may run."""
        return self.ramp.limit

    def offer(
        self, ticket: Ticket, now: float
    ) -> tuple[Decision, Ticket | None]:
        """Take in a call.

        Args:
            ticket: The call.
            now: The time in seconds.

        Returns:
            What happens to it, and a waiting call that is shed for it.
        """
        if now >= ticket.expires_at:
            return Decision.REFUSE, None
        if self.in_flight < self.limit and not self._queue:
            self._start(ticket, now)
            return Decision.RUN, None
        shed = None
        if len(self._queue) >= self.limit:
            shed = self._queue[-1]
            if shed.priority >= ticket.priority:
                return Decision.REFUSE, None
            self._queue.pop()
        ticket.leaves_queue_at = now + self._patience(ticket, now)
        self._enqueue(ticket)
        return Decision.WAIT, shed

    def admit(self, now: float) -> list[Ticket]:
        """Start as many waiting calls as there are free slots."""
        admitted: list[Ticket] = []
        while self._queue and self.in_flight < self.limit:
            ticket = self._queue.pop(0)
            self._start(ticket, now)
            admitted.append(ticket)
        return admitted

    def expire(self, now: float) -> list[Ticket]:
        """Take out the calls that have waited long enough."""
        expired = [
            ticket for ticket in self._queue if now >= ticket.leaves_queue_at
        ]
        for ticket in expired:
            self._queue.remove(ticket)
        return expired

    def next_start(self, now: float) -> None:
        """Return None: whatever waits, waits for a slot."""

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Take in a whole answer."""
        self.ramp.on_answer(now - ticket.started_at, self.in_flight)

    def on_shed(self) -> None:
        """Lower the limit: the target said that it bears no more."""
        self.ramp.on_shed()

    def on_cold(self) -> None:
        """Start to ramp up again."""
        self.ramp.on_cold()

    def set_cold(self, cold_until: float, per_second: float) -> None:
        """Do nothing: the ramp finds out what the target bears."""

    def resize(self, slots: int) -> None:
        """Set what the target bears when warm."""
        self.ramp.resize(slots)

    def wants_measure(self, now: float) -> bool:
        """Return False: latencies tell enough."""
        return False

    def on_slowness(self, factor: float, now: float) -> None:
        """Do nothing: latencies tell enough."""

    def _patience(self, ticket: Ticket, now: float) -> float:
        """Return how long waiting makes sense, in seconds.

        A slot is free after about one usual answer. Twice that must be
        left for the answer itself: a refusal that did not run is better
        than a call that runs out of time.
        """
        usual = self.ramp.latency
        spare = ticket.expires_at - now - 2 * usual
        return max(0, min(max(QUEUE_WAIT, usual), spare))

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        self._running.add(ticket)

    def _enqueue(self, ticket: Ticket) -> None:
        position = len(self._queue)
        while position and self._queue[position - 1].priority < ticket.priority:
            position -= 1
        self._queue.insert(position, ticket)
