"""Admission at a target that states how many requests it runs at a time.

The load that this answers: a service close to or above its capacity, whose
targets are slowed by their neighbours for moments, with requests of unequal
importance and a latency after which an answer is of little use.
"""

from __future__ import annotations

from heapq import heapify, heapreplace

from bluebellsill.admission import CallCounter, Decision, Ticket
from bluebellsill.crowding import Crowding
from bluebellsill.slowness import Slowness
from bluebellsill.start_pace import STRICT, ColdRules, StartPace
from bluebellsill.work_times import WorkTimes

__all__ = ('SlotGate',)

_OVERRUN = 0.5  # of the usual time is left of work that takes longer
_FIRST_WORK = 0.05  # seconds that unknown work is taken to need
# Seconds that it takes to ask another node: both ways between two zones of
# the platform, and its target's word.
_DETOUR = 0.004
# Seconds by which two reports of one coldness differ at most: they are read
# at once, but may have waited for a busy node.
_SAME_COLD = 0.5


class SlotGate(CallCounter):
    """Counts what runs at one target and keeps a queue by use.

    A request waits only if it is expected to be answered in its target
    latency, or before its deadline if it is a call that another request
    waits for. Everything else is refused at once, while there is time to
    go elsewhere. Calls of running requests go first, because their parents
    hold slots; then comes importance, then the earliest target latency.

    Work is not started in a moment in which it takes several times as long
    if it ends sooner by waiting; ``wants_measure`` says when the target is
    to be asked for its slowness.
    """

    def __init__(self, cold_rules: ColdRules = STRICT) -> None:
        """Create the gate of a target that has not said anything.

        Args:
            cold_rules: What a cold target may get beside the rate that it
                states.
        """
        super().__init__()
        self._cold_rules = cold_rules
        self.pace = StartPace()
        self.slowness = Slowness()
        self._crowding = Crowding(1)
        self._times = WorkTimes()

    @property
    def limit(self) -> int:
        """The number of calls that may run."""
        return self._crowding.best_level

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
        has_room = self.load < self.limit and not self.pace.wait(now)
        if has_room and not self._queue and self._is_moment(ticket, now):
            self._start(ticket, now)
            return Decision.RUN, None
        is_asked = has_room and not self.slowness.is_fresh(now)
        may_wait = ticket.may_wait and (
            has_room or self._is_worth_a_wait(ticket, now)
        )
        if not is_asked and not may_wait:
            ticket.retry_after = self.expected_wait(ticket, now)
            return Decision.REFUSE, None
        ticket.leaves_queue_at = self._latest_start(ticket)
        self._queue.append(ticket)
        return Decision.WAIT, None

    def admit(self, now: float) -> list[Ticket]:
        """Start as many waiting calls as the target bears at the moment."""
        admitted: list[Ticket] = []
        if not self.slowness.is_fresh(now):
            return admitted
        self._queue.sort(
            key=lambda ticket: _order(ticket, self._work(ticket), now),
        )
        for ticket in tuple(self._queue):
            if not self._may_start(now):
                break
            if self._is_moment(ticket, now):
                self._queue.remove(ticket)
                self._start(ticket, now)
                admitted.append(ticket)
        return admitted

    def expire(self, now: float) -> list[Ticket]:
        """Take out the calls that cannot be answered in time any more.

        A late one stays only while nothing else waits for its slot: then
        it is served late rather than not at all. A call that may not wait
        goes as soon as it is known that the moment does not suit it.
        """
        is_known = self.slowness.is_fresh(now) or not self._may_start(now)
        is_crowded = len(self._queue) > self.limit - len(self._running)
        expired = [
            ticket
            for ticket in self._queue
            if now >= ticket.expires_at - self._work(ticket)
            or (is_crowded and now > ticket.leaves_queue_at)
            or (is_known and not ticket.may_wait)
        ]
        for ticket in expired:
            self._queue.remove(ticket)
            ticket.retry_after = self.expected_wait(ticket, now)
        return expired

    def next_start(self, now: float) -> float | None:
        """Return the seconds until a cold target may be given a waiting call.

        Returns:
            None if nothing waits, or only for a slot.
        """
        if not self._queue or len(self._running) >= self.limit:
            return None
        return self.pace.wait(now) or None

    def wants_measure(self, now: float) -> bool:
        """Return whether a call could start if the slowness were known."""
        has_use = bool(self._queue) and self._may_start(now)
        return has_use and not self.slowness.is_fresh(now)

    def on_slowness(self, factor: float, now: float) -> None:
        """Take in how many times longer than usual work takes now."""
        self.slowness.observe(factor, now)

    def expected_wait(self, ticket: Ticket, now: float) -> float:
        """Return the seconds until a call would get a slot."""
        free = [float() for _ in range(self.limit - len(self._running))]
        free += [_left(one, self._usual(one), now) for one in self._running]
        heapify(free)
        mine = _order(ticket, self._work(ticket), now)
        delay = self.slowness.usual_delay
        for waiting in self._queue:
            work = self._work(waiting)
            if waiting is not ticket and _order(waiting, work, now) <= mine:
                heapreplace(free, free[0] + work + delay)
        wait = max(free[0], self.pace.wait(now))
        if self.slowness.gains_by_waiting(self._work(ticket)):
            wait = max(wait, self.slowness.expected_rest)
        return wait

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Take in a whole answer."""
        seconds = (now - ticket.started_at) / ticket.slowness
        usual = self._times.expected(ticket.route)
        if not usual or self._crowding.is_roomy(ticket.level):
            self._times.observe(ticket.route, seconds)
        else:
            self._crowding.observe(ticket.level, seconds / usual)

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
        if cold_until > self.pace.cold_until + _SAME_COLD:
            self.slowness.forget_calm()
        self.pace.cold_until = cold_until
        self.pace.per_second = self._cold_rules.per_second(per_second)

    def resize(self, slots: int) -> None:
        """Set how many requests the target runs at a time."""
        if slots != self._crowding.slots:
            self._crowding = Crowding(max(1, slots))

    def _is_worth_a_wait(self, ticket: Ticket, now: float) -> bool:
        starts_at = now + self.expected_wait(ticket, now)
        return starts_at <= self._latest_start(ticket)

    def _latest_start(self, ticket: Ticket) -> float:
        """Return until when a start lets the call end in time."""
        ends_at = ticket.expires_at
        if ticket.wanted_at and not ticket.is_inner:
            ends_at = min(ends_at, ticket.wanted_at)
        return ends_at - self._work(ticket)

    def _is_moment(self, ticket: Ticket, now: float) -> bool:
        """Return whether a call is best started now rather than later."""
        slowness = self.slowness
        if not slowness.is_fresh(now):
            return False
        work = self._work(ticket)
        if not ticket.may_wait:
            return not slowness.is_slow or slowness.costs(work) <= _DETOUR
        if not slowness.gains_by_waiting(work):
            return True
        return now + work * slowness.excess >= ticket.expires_at

    def _may_start(self, now: float) -> bool:
        has_slot = len(self._running) < self.limit
        return has_slot and not self.pace.wait(now)

    def _work(self, ticket: Ticket) -> float:
        """Return the seconds that a call takes from a calm moment on."""
        return self._usual(ticket) * self.slowness.calm_factor

    def _usual(self, ticket: Ticket) -> float:
        return self._times.expected(ticket.route) or _FIRST_WORK

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        ticket.slowness = self.slowness.factor
        self.pace.on_start(now)
        self._running.add(ticket)
        ticket.level = len(self._running)


def _left(ticket: Ticket, usual: float, now: float) -> float:
    """Return the seconds that a running call still needs."""
    work = usual * ticket.slowness
    left = ticket.started_at + work - now
    return left if left > 0 else work * _OVERRUN


def _order(
    ticket: Ticket,
    work: float,
    now: float,
) -> tuple[bool, bool, int, float]:
    """Return the place of a waiting call; lower ones go first."""
    wanted_at = ticket.wanted_at or ticket.expires_at
    is_late = now + work > wanted_at
    return not ticket.is_inner, is_late, -ticket.priority, wanted_at
