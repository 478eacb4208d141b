"""Admission control for a target that states how many requests it can run.

Designed for a service close to or above its capacity, whose targets are
slowed down for short periods by other load on their hosts, and whose
requests differ in priority and lose most of their value when the answer
exceeds a target latency.
"""

from __future__ import annotations

from heapq import heapreplace

from bluebellsill.admission import Decision, Ticket
from bluebellsill.measured_slots import MeasuredSlots
from bluebellsill.overload import LoadShedding, RefusalReason
from bluebellsill.rate_limiter import RateLimiter
from bluebellsill.start_rate import STRICT_COLD_RATE, ColdRateAllowance

__all__ = ('SlotGate',)

# Seconds to try another node: a round trip between two availability zones of
# the platform, and the slowness report of that node's target.
_REROUTE_TIME = 0.004
# Seconds by which a call starts later than a stated rate allows it: a timer
# that fires late, and the slowness report before the start.
_START_DELAY = 0.02
# Seconds by which a timer is due after the moment that it checks, because the
# sum of a time and a delay may be rounded down.
_TIMER_MARGIN = 0.001
# Service times by which a call is expected to start too late before it is
# refused for that: slots are often freed earlier than expected.
_DISPLACED_AFTER = 0.5
# Seconds until a target that still runs requests of an earlier process of this
# node is asked again how many.
_LOAD_CHECK_PERIOD = 0.05
# Seconds by which the end of one cold period differs at most between two
# reports: they are read on arrival, but a busy node may read them late.
_COLD_REPORT_TOLERANCE = 0.5


class SlotGate(MeasuredSlots):
    """Limits concurrency at one target and orders its queue by urgency.

    A request waits only if its answer is expected within its target
    latency, or before its deadline if it is a nested call. Everything else
    is refused at once, while there is time to try another node. The order
    of the queue is that of ``shedding``. While that sheds load, waiting calls
    that would not start in time are refused at once too, and slots are kept
    for nested calls.

    While a target is slow, a call does not start if it is expected to end
    sooner by waiting; ``needs_slowness_report`` tells when the target has
    to be asked for its slowness.
    """

    def __init__(
        self,
        cold_rate_allowance: ColdRateAllowance = STRICT_COLD_RATE,
        shedding: LoadShedding | None = None,
    ) -> None:
        """Create the gate of a target that has not reported anything.

        Args:
            cold_rate_allowance: How far starts may exceed the rate that a cold
                target states.
            shedding: Orders the queue; by priority if not given.
        """
        super().__init__()
        self.shedding = shedding or LoadShedding()
        self._cold_rate_allowance = cold_rate_allowance
        self._rate_limiter = RateLimiter()
        self._has_new_call = False  # since the queue was last expired

    def offer(
        self, ticket: Ticket, now: float
    ) -> tuple[Decision, Ticket | None]:
        """Run, queue or refuse a call.

        Args:
            ticket: The call.
            now: The time in seconds.

        Returns:
            The decision, and no displaced call: ``expire`` returns those.
        """
        if now >= ticket.expires_at:
            return self._refuse(ticket, RefusalReason.EXPIRED, now, wait=0)
        is_free = self._free_slots(ticket, now) > len(self._queue)
        if self.shedding.refuses_route(ticket, now, is_busy=not is_free):
            return self._refuse(ticket, RefusalReason.FAILS_BELOW, now)
        has_room = is_free and not self._start_delay(now)
        if has_room and not self._queue and self._should_start_now(ticket, now):
            self._start(ticket, now)
            return Decision.RUN, None
        awaits_report = has_room and not self.slowness.is_fresh(now)
        may_wait = ticket.may_wait and (
            has_room or self._can_start_in_time(ticket, now)
        )
        if not awaits_report and not may_wait:
            return self._refuse(ticket, RefusalReason.NOT_IN_TIME, now)
        self._has_new_call = True
        ticket.leaves_queue_at = self._latest_start(ticket)
        ticket.must_start_by = (
            ticket.expires_at - self._service_time(ticket) + _TIMER_MARGIN
        )
        self._queue.append(ticket)
        order = self.shedding.order
        own_rank = order.class_rank(ticket, now)
        beyond = self._beyond_rate(now)
        if any(order.class_rank(one, now) >= own_rank for one in beyond):
            # Whoever waits already was told that it can start in time.
            self._queue.remove(ticket)
            wait = self._rate_limiter.wait(now, len(self._queue))
            return self._refuse(ticket, RefusalReason.BEYOND_RATE, now, wait)
        return Decision.WAIT, None

    def admit(self, now: float) -> list[Ticket]:
        """Start the waiting calls that have a slot and should start now."""
        admitted: list[Ticket] = []
        if not self.slowness.is_fresh(now) or not self._has_capacity(now):
            return admitted
        self._sort_queue(now)
        for ticket in tuple(self._queue):
            if self._free_slots(ticket, now) <= 0 or self._start_delay(now):
                # With slots reserved, those after nested calls wait as well.
                break
            if self._should_start_now(ticket, now):
                self._queue.remove(ticket)
                self._start(ticket, now)
                admitted.append(ticket)
        return admitted

    def expire(self, now: float) -> list[Ticket]:
        """Remove and return the calls that can no longer meet their deadline.

        A call that will miss only its target latency stays while there are
        free slots for all waiting calls and the target's rate allows a start:
        it is served late rather than not at all. A call that may not wait is
        removed as soon as the target's slowness is known or there is no
        capacity for a start.
        """
        is_decided = self.slowness.is_fresh(now) or not self._has_capacity(now)
        exceeds_capacity = self._rate_limiter.wait(now) > 0 or (
            len(self._queue) > self.limit - self.occupied
        )
        expired = [
            ticket
            for ticket in self._queue
            if now >= ticket.expires_at - self._service_time(ticket)
            or (exceeds_capacity and now > ticket.leaves_queue_at)
            or (is_decided and not ticket.may_wait)
        ]
        late = self._beyond_rate(now)
        if self._has_new_call and self.shedding.is_on:
            late += self._displaced(now)
        self._has_new_call = False
        for ticket in expired:
            self._queue.remove(ticket)
            self._refuse(ticket, RefusalReason.NOT_IN_TIME, now)
        for ticket in late:
            if ticket in self._queue:
                self._queue.remove(ticket)
                self._refuse(ticket, RefusalReason.DISPLACED, now)
                expired.append(ticket)
        return expired

    def delay_until_start(self, now: float) -> float | None:
        """Return the seconds until the start rate allows a waiting call.

        Returns:
            None if no call waits, or if the calls wait for something else.
        """
        limit = self._limit_for_queue()
        if not self._queue or len(self._running) >= limit:
            return None
        if self.occupied >= limit:
            return _LOAD_CHECK_PERIOD
        return self._start_delay(now) or None

    def needs_slowness_report(self, now: float) -> bool:
        """Return whether only an outdated report keeps a call waiting."""
        could_start = len(self._running) < self._limit_for_queue() and any(
            self.untracked or self._free_slots(one, now) > 0
            for one in self._queue
        )
        return could_start and not self.slowness.is_fresh(now)

    def expected_wait(self, ticket: Ticket, now: float) -> float:
        """Return the expected seconds until a call could start."""
        free_in = self._slots_free_in(ticket, now)
        rank = self.shedding.order.start_rank
        own_rank = rank(ticket, self._service_time(ticket), now)
        delay = self.slowness.expected_start_delay
        ahead = 0
        for waiting in self._queue:
            service_time = self._service_time(waiting)
            if (
                waiting is not ticket
                and rank(waiting, service_time, now) <= own_rank
            ):
                heapreplace(free_in, free_in[0] + service_time + delay)
                ahead += 1
        wait = max(
            free_in[0],
            self.start_limiter.wait(now),
            self._rate_limiter.wait(now, ahead),
        )
        if self.slowness.benefits_from_waiting(self._service_time(ticket)):
            wait = max(wait, self.slowness.expected_remaining)
        return wait

    def limit_starts_until(self, cold_until: float, per_second: float) -> None:
        """Limit the start rate until the target is warm.

        Args:
            cold_until: When the target is warm, in seconds.
            per_second: The requests a second that it can take until then.
        """
        if cold_until > self.start_limiter.cold_until + _COLD_REPORT_TOLERANCE:
            self.slowness.reset_baseline()
        allowed = self._cold_rate_allowance.per_second(per_second)
        self.start_limiter.limit_until(cold_until, allowed)

    def limit_rate(self, rate: float | None, now: float) -> None:
        """Set the requests a second that the target takes, None for no limit.

        Args:
            rate: The rate for all nodes together.
            now: The time in seconds.
        """
        self._rate_limiter.change_rate(rate, now)

    def _free_slots(self, ticket: Ticket, now: float) -> int:
        """Return the free slots that a call may use."""
        limit = self._limit_for(ticket)
        free = limit - self.occupied
        reserved = self.shedding.reserved_slots(limit, now)
        if ticket.is_inner or not reserved:
            return free
        nested = sum(one.is_inner for one in self._running)
        return min(free, free + nested - reserved)

    def _limit_for(self, ticket: Ticket) -> int:
        """Return how many calls may run once a call has started.

        A nested call may use all slots: its parent holds one while it waits.
        """
        uses_all = ticket.is_inner and self.shedding.is_on
        return self.slots if uses_all else self.limit

    def _limit_for_queue(self) -> int:
        return max(map(self._limit_for, self._queue), default=self.limit)

    def _slots_free_in(self, ticket: Ticket, now: float) -> list[float]:
        """Return a heap of the seconds until slots are free for a call."""
        running = self._running
        reserved = self.shedding.reserved_slots(self.limit, now)
        if reserved and not ticket.is_inner:
            running = {one for one in running if not one.is_inner} or running
        return self._free_in(self._free_slots(ticket, now), running, now)

    def _displaced(self, now: float) -> list[Ticket]:
        """Return the waiting calls that are not expected to start in time."""
        displaced: list[Ticket] = []
        if self.slowness.is_slow or not self._queue:
            return displaced
        self._sort_queue(now)
        free_in = self._slots_free_in(self._queue[-1], now)
        for ticket in self._queue:
            service_time = self._service_time(ticket)
            starts_at = now + free_in[0]
            tolerance = _DISPLACED_AFTER * service_time
            # The reserve keeps slots for nested calls that are not listed here.
            is_late = starts_at > ticket.leaves_queue_at + tolerance
            if is_late and free_in[0] and not ticket.is_inner:
                displaced.append(ticket)
            else:
                heapreplace(free_in, free_in[0] + service_time)
        return displaced

    def _can_start_in_time(self, ticket: Ticket, now: float) -> bool:
        starts_at = now + self.expected_wait(ticket, now)
        if self._rate_limiter.wait(now):
            # At a stated rate, the call has no earlier chance to start.
            starts_at += _START_DELAY
        return starts_at <= self._latest_start(ticket)

    def _beyond_rate(self, now: float) -> list[Ticket]:
        """Return the waiting calls that the stated rate starts too late.

        This is certain only at a stated rate: otherwise a call may find a slot
        earlier than expected.
        """
        beyond: list[Ticket] = []
        if self._rate_limiter.rate is None:
            return beyond
        self._sort_queue(now)
        ahead = 0
        for ticket in self._queue:
            wait = self._rate_limiter.wait(now, ahead)
            if wait and now + wait > ticket.leaves_queue_at:
                beyond.append(ticket)
            else:
                ahead += 1
        return beyond

    def _sort_queue(self, now: float) -> None:
        self._queue.sort(
            key=lambda ticket: self.shedding.order.start_rank(
                ticket, self._service_time(ticket), now
            ),
        )

    def _latest_start(self, ticket: Ticket) -> float:
        """Return the latest start that lets the call end in time."""
        ends_at = ticket.expires_at
        if ticket.soft_deadline and not ticket.is_inner:
            ends_at = min(ends_at, ticket.soft_deadline)
        return ends_at - self._service_time(ticket)

    def _should_start_now(self, ticket: Ticket, now: float) -> bool:
        """Return whether a call is better started now than later."""
        slowness = self.slowness
        if not slowness.is_fresh(now):
            return False
        service_time = self._service_time(ticket)
        if not ticket.may_wait:
            return (
                not slowness.is_slow
                or slowness.added_seconds(service_time) <= _REROUTE_TIME
            )
        if not slowness.benefits_from_waiting(service_time):
            return True
        return (
            now + service_time * slowness.relative_factor >= ticket.expires_at
        )

    def _has_capacity(self, now: float) -> bool:
        is_full = self.occupied >= self._limit_for_queue()
        return not (is_full or self._start_delay(now))

    def _start_delay(self, now: float) -> float:
        """Return the seconds until the target's rates allow a start."""
        return max(self.start_limiter.wait(now), self._rate_limiter.wait(now))

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        ticket.slowness = self.slowness.factor
        self.start_limiter.on_start(now)
        self._rate_limiter.on_start(now)
        self._running.add(ticket)
        ticket.concurrency = len(self._running)
        self.shedding.on_served(ticket, self._service_time(ticket), now)

    def _refuse(
        self,
        ticket: Ticket,
        reason: RefusalReason,
        now: float,
        wait: float | None = None,
    ) -> tuple[Decision, None]:
        turn = self._service_time(ticket) / self.limit
        if wait is None:
            wait = self.expected_wait(ticket, now)
        self.shedding.on_refused(ticket, reason, wait, turn, now)
        return Decision.REFUSE, None
