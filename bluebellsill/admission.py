"""Admission control for the calls that arrive at a target's node."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, unique
from typing import Protocol

from bluebellsill.ramp import Ramp

__all__ = ('Admission', 'CallTracker', 'Decision', 'AdaptiveGate', 'Ticket')

# Seconds; a call may wait this long even where answers are faster.
MIN_QUEUE_TIMEOUT = 0.05


@unique
class Decision(Enum):
    """The outcome of offering a call for admission."""

    RUN = 'run'
    WAIT = 'wait'
    REFUSE = 'refuse'


@dataclass(slots=True, eq=False)
class Ticket:
    """The admission state of one call.

    Attributes:
        priority: Calls with a lower priority are shed first.
        expires_at: The deadline, in seconds; the caller gives up then.
        leaves_queue_at: When the call stops waiting for a slot.
        must_start_by: When it is too late to start, where the service time is
            known.
        started_at: When the call was sent to the target.
        soft_deadline: When the call exceeds its target latency, 0 if it has
            none.
        route: Identifies requests with similar service times.
        is_inner: Whether the call is nested: a running request waits for it.
        may_wait: Whether the call may be queued here; one that may not is
            tried at another node first.
        slowness: The target's slowness factor when the call started.
        concurrency: The calls running at the start, this one included.
        retry_after: Seconds after which a refused call may find a slot.
        queue_seconds: The expected wait of a refused call in this queue.
        team: The team that sent the request, empty without one.
        team_importance: Precedes ``priority`` where teams are declared.
        is_repeat: Whether the client was refused before.
        success_share: The share of similar calls that do not fail because a
            nested call is refused.
        refusal_reason: Why the call was refused, for logs and counters.
    """

    priority: int
    expires_at: float
    leaves_queue_at: float = 0
    must_start_by: float = 0
    started_at: float = 0
    soft_deadline: float = 0
    route: str = ''
    is_inner: bool = False
    may_wait: bool = True
    slowness: float = 1
    concurrency: int = 1
    retry_after: float = 0
    queue_seconds: float = 0
    team: str = ''
    team_importance: int = 0
    is_repeat: bool = False
    success_share: float = 1
    refusal_reason: str = ''


class Admission(Protocol):
    """Decides which calls to a target run, wait or are refused."""

    @property
    def in_flight(self) -> int:
        """The number of running calls."""

    @property
    def load(self) -> int:
        """The number of running and waiting calls."""

    @property
    def limit(self) -> int:
        """The number of calls that may run at a time."""

    def offer(
        self, ticket: Ticket, now: float
    ) -> tuple[Decision, Ticket | None]:
        """Return the decision on a call, and the waiting call it displaces."""

    def finish(self, ticket: Ticket) -> None:
        """Free the slot of a call that has ended."""

    def resume(self, ticket: Ticket, now: float) -> float:
        """Return the seconds until a call may start whose body is there."""

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a call from the queue; return whether it was waiting."""

    def admit(self, now: float) -> list[Ticket]:
        """Start the waiting calls that may run now, and return them."""

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the calls that may not wait any longer."""

    def delay_until_start(self, now: float) -> float | None:
        """Return the seconds until ``admit`` is due, None if nothing is."""

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Record a complete answer."""

    def on_overload(self) -> None:
        """Handle a call that the target shed, timed out or failed."""

    def on_cold(self) -> None:
        """Handle a target that is new, has restarted or has crashed."""

    def limit_starts_until(self, cold_until: float, per_second: float) -> None:
        """Limit the start rate until the target is warm."""

    def limit_rate(self, rate: float | None, now: float) -> None:
        """Limit the starts a second, also of a warm target; None ends it."""

    def resize(self, slots: int) -> None:
        """Set how many requests the warm target can run at a time."""

    def needs_slowness_report(self, now: float) -> bool:
        """Return whether a start needs the target's current slowness."""

    def on_slowness(self, factor: float, now: float) -> None:
        """Record the ratio of current to usual service time."""

    def on_load(self, requests: int) -> bool:
        """Record the requests at the target; return whether it frees room."""


class CallTracker:
    """Keeps the running and waiting calls of one target."""

    def __init__(self) -> None:
        """Create a tracker without calls."""
        self._running: set[Ticket] = set()
        self._queue: list[Ticket] = []

    @property
    def in_flight(self) -> int:
        """The number of running calls."""
        return len(self._running)

    @property
    def load(self) -> int:
        """The number of running and waiting calls."""
        return len(self._running) + len(self._queue)

    def finish(self, ticket: Ticket) -> None:
        """Free the slot of a call that has ended."""
        self._running.discard(ticket)

    def resume(self, ticket: Ticket, now: float) -> float:
        """Start an admitted call that had to wait for its body.

        Returns:
            The seconds until it may start.
        """
        ticket.started_at = now
        return 0

    def withdraw(self, ticket: Ticket) -> bool:
        """Remove a call from the queue.

        Returns:
            Whether the call was waiting.
        """
        if ticket not in self._queue:
            return False
        self._queue.remove(ticket)
        return True


class AdaptiveGate(CallTracker):
    """Limits concurrency at one target to what its latencies allow.

    The limit ramps up from one call as the target answers, and is never
    exceeded. The queue is as long as the limit, so that a call waits for
    about one service time. It is ordered by priority, then by arrival; a
    full queue sheds its last call for one of higher priority.
    """

    def __init__(self, slots: int) -> None:
        """Create the gate of a cold target.

        Args:
            slots: How many requests the warm target can run at a time.
        """
        super().__init__()
        self.ramp = Ramp(slots)

    @property
    def limit(self) -> int:
        """The number of calls that may run at a time."""
        return self.ramp.limit

    def offer(
        self, ticket: Ticket, now: float
    ) -> tuple[Decision, Ticket | None]:
        """Run, queue or refuse a call.

        Args:
            ticket: The call.
            now: The time in seconds.

        Returns:
            The decision, and the waiting call that is shed to make room.
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
        ticket.leaves_queue_at = now + self._queue_timeout(ticket, now)
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
        """Remove and return the calls whose queue timeout has passed."""
        expired = [
            ticket for ticket in self._queue if now >= ticket.leaves_queue_at
        ]
        for ticket in expired:
            self._queue.remove(ticket)
        return expired

    def delay_until_start(self, now: float) -> None:
        """Return None: calls start only when a slot is freed."""

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Record a complete answer."""
        self.ramp.on_answer(now - ticket.started_at, self.in_flight)

    def on_overload(self) -> None:
        """Lower the limit: the target is overloaded."""
        self.ramp.on_overload()

    def on_cold(self) -> None:
        """Restart the ramp-up: the target is cold."""
        self.ramp.on_cold()

    def limit_starts_until(self, cold_until: float, per_second: float) -> None:
        """Do nothing: the ramp finds the limit of a cold target itself."""

    def limit_rate(self, rate: float | None, now: float) -> None:
        """Do nothing: targets that state no slots state no rate either."""

    def resize(self, slots: int) -> None:
        """Set how many requests the warm target can run at a time."""
        self.ramp.resize(slots)

    def needs_slowness_report(self, now: float) -> bool:
        """Return False: the ramp needs only the latencies of answers."""
        return False

    def on_slowness(self, factor: float, now: float) -> None:
        """Do nothing: the ramp needs only the latencies of answers."""

    def on_load(self, requests: int) -> bool:
        """Do nothing: the ramp needs only the latencies of answers."""
        return False

    def _queue_timeout(self, ticket: Ticket, now: float) -> float:
        """Return how long a call may wait for a slot, in seconds.

        A slot is freed after about one usual latency. Twice that is kept
        for the answer itself, because refusing a call that has not run is
        better than letting it run past its deadline.
        """
        usual_latency = self.ramp.latency
        spare = ticket.expires_at - now - 2 * usual_latency
        return max(0, min(max(MIN_QUEUE_TIMEOUT, usual_latency), spare))

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        self._running.add(ticket)

    def _enqueue(self, ticket: Ticket) -> None:
        position = len(self._queue)
        while position and self._queue[position - 1].priority < ticket.priority:
            position -= 1
        self._queue.insert(position, ticket)
