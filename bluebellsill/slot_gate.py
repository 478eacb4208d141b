"""Admission at a target that states how many requests it runs at a time.

The load that this answers: a service close to or above its capacity, whose
targets are slowed by their neighbours for moments, with requests of unequal
importance and a latency after which an answer is of little use.
"""

from __future__ import annotations

from heapq import heapify, heapreplace

from bluebellsill.admission import Decision, Ticket
from bluebellsill.start_pace import StartPace
from bluebellsill.work_times import WorkTimes

__all__ = ('SlotGate',)

_OVERRUN = 0.5  # of the usual time is left of work that takes longer


class SlotGate:
    """Counts what runs at one target and keeps a queue by use.

    A request waits only if it is expected to be answered in its target
    latency, or before its deadline if it is a call that another request
    waits for. Everything else is refused at once, while there is time to
    go elsewhere. Calls of running requests go first, because their parents
    hold slots; then comes importance, then the earliest target latency.
    """

    def __init__(self) -> None:
        """Create the gate of a target that has not said anything."""
        self.pace = StartPace()
        self.slots = 1
        self._times = WorkTimes()
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

    @property
    def limit(self) -> int:
        """The number of calls that may run."""
        return self.slots

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
        if not self._queue and self._may_start(now):
            self._start(ticket, now)
            return Decision.RUN, None
        wait = self.expected_wait(ticket, now)
        ticket.leaves_queue_at = self._latest_start(ticket)
        if now + wait > ticket.leaves_queue_at:
            ticket.retry_after = wait
            return Decision.REFUSE, None
        self._queue.append(ticket)
        self._queue.sort(key=_order)
        return Decision.WAIT, None

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

    def admit(self, now: float) -> list[Ticket]:
        """Start as many waiting calls as the target bears."""
        admitted: list[Ticket] = []
        while self._queue and self._may_start(now):
            ticket = self._queue.pop(0)
            self._start(ticket, now)
            admitted.append(ticket)
        return admitted

    def expire(self, now: float) -> list[Ticket]:
        """Take out the calls that would be answered too late."""
        expired = [
            ticket for ticket in self._queue if now >= ticket.leaves_queue_at
        ]
        for ticket in expired:
            self._queue.remove(ticket)
            ticket.retry_after = self.expected_wait(ticket, now)
        return expired

    def drop_queue(self) -> list[Ticket]:
        """Take out every waiting call."""
        dropped = self._queue
        self._queue = []
        return dropped

    def next_start(self, now: float) -> float | None:
        """Return the seconds until a cold target may be given a waiting call.

        Returns:
            None if nothing waits, or only for a slot.
        """
        if not self._queue or len(self._running) >= self.slots:
            return None
        return self.pace.wait(now)

    def expected_wait(self, ticket: Ticket, now: float) -> float:
        """Return the seconds until a call would get a slot."""
        free = [0.0 for _ in range(self.slots - len(self._running))]
        free += [self._left(one, now) for one in self._running]
        heapify(free)
        mine = _order(ticket)
        for waiting in self._queue:
            if _order(waiting) > mine:
                break
            heapreplace(free, free[0] + self._times.expected(waiting.route))
        return max(free[0], self.pace.wait(now))

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Take in a whole answer."""
        self._times.observe(ticket.route, now - ticket.started_at)

    def on_shed(self) -> None:
        """Do nothing: the target's slots are what it says they are."""

    def on_cold(self) -> None:
        """Do nothing: a target that has started says how long it is cold."""

    def set_cold(self, cold_until: float, per_second: float) -> None:
        """Bound the starts in a second until a time.

        Args:
            cold_until: When the target is warm, in seconds.
            per_second: The requests a second that it bears until then.
        """
        self.pace.cold_until = cold_until
        self.pace.per_second = per_second

    def resize(self, slots: int) -> None:
        """Set how many requests the target runs at a time."""
        self.slots = max(1, slots)

    def _may_start(self, now: float) -> bool:
        has_slot = len(self._running) < self.slots
        return has_slot and not self.pace.wait(now)

    def _latest_start(self, ticket: Ticket) -> float:
        usual = self._times.expected(ticket.route)
        if ticket.is_inner or not ticket.wanted_at:
            return ticket.expires_at - usual
        return min(ticket.wanted_at, ticket.expires_at) - usual

    def _left(self, ticket: Ticket, now: float) -> float:
        usual = self._times.expected(ticket.route)
        left = ticket.started_at + usual - now
        return left if left > 0 else usual * _OVERRUN

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        self.pace.on_start(now)
        self._running.add(ticket)


def _order(ticket: Ticket) -> tuple[bool, int, float]:
    wanted_at = ticket.wanted_at or ticket.expires_at
    return not ticket.is_inner, -ticket.priority, wanted_at
