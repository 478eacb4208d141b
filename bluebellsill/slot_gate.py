"""Admission control for a target that states how many requests it can run.

Designed for a service close to or above its capacity, whose targets are
slowed down for short periods by other load on their hosts, and whose
requests differ in priority and lose most of their value when the answer
exceeds a target latency.
"""

from __future__ import annotations

from heapq import heapify, heapreplace

from bluebellsill.admission import Decision, Ticket
from bluebellsill.concurrency import ConcurrencyEstimator
from bluebellsill.rate_limiter import RateLimiter
from bluebellsill.service_times import ServiceTimes
from bluebellsill.slot_tracker import SlotTracker
from bluebellsill.slowness import SlownessTracker
from bluebellsill.start_rate import STRICT_COLD_RATE, ColdRateAllowance

__all__ = ('SlotGate',)

# A call that has exceeded its expected service time is assumed to need this
# fraction of it more.
_OVERRUN_FRACTION = 0.5
_DEFAULT_SERVICE_TIME = 0.05  # seconds; for routes without an answer so far
# Seconds to try another node: a round trip between two availability zones of
# the platform, and the slowness report of that node's target.
_REROUTE_TIME = 0.004
# Seconds by which a call starts later than a stated rate allows it: a timer
# that fires late, and the slowness report before the start.
_START_DELAY = 0.02
# Seconds until a target that still runs requests of an earlier process of this
# node is asked again how many.
_LOAD_CHECK_PERIOD = 0.05
# Seconds by which the end of one cold period differs at most between two
# reports: they are read on arrival, but a busy node may read them late.
_COLD_REPORT_TOLERANCE = 0.5


class SlotGate(SlotTracker):
    """Limits concurrency at one target and orders its queue by urgency.

    A request waits only if its answer is expected within its target
    latency, or before its deadline if it is a nested call. Everything else
    is refused at once, while there is time to try another node. Nested
    calls go first, because the requests that wait for them hold slots;
    then come calls still in time, then higher priorities, then earlier
    target latencies.

    While a target is slow, a call does not start if it is expected to end
    sooner by waiting; ``needs_slowness_report`` tells when the target has
    to be asked for its slowness.
    """

    def __init__(
        self, cold_rate_allowance: ColdRateAllowance = STRICT_COLD_RATE
    ) -> None:
        """Create the gate of a target that has not reported anything.

        Args:
            cold_rate_allowance: How far starts may exceed the rate that a cold
                target states.
        """
        super().__init__()
        self._cold_rate_allowance = cold_rate_allowance
        self._rate_limiter = RateLimiter()
        self.slowness = SlownessTracker()
        self._concurrency = ConcurrencyEstimator(1)
        self._service_times = ServiceTimes()

    @property
    def limit(self) -> int:
        """The number of calls that may run at a time."""
        return self._concurrency.best_concurrency

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
            return Decision.REFUSE, None
        is_occupied = self.occupied + len(self._queue) >= self.limit
        has_room = not is_occupied and not self._start_delay(now)
        if has_room and not self._queue and self._should_start_now(ticket, now):
            self._start(ticket, now)
            return Decision.RUN, None
        awaits_report = has_room and not self.slowness.is_fresh(now)
        may_wait = ticket.may_wait and (
            has_room or self._can_start_in_time(ticket, now)
        )
        if not awaits_report and not may_wait:
            ticket.retry_after = self.expected_wait(ticket, now)
            return Decision.REFUSE, None
        ticket.leaves_queue_at = self._latest_start(ticket)
        self._queue.append(ticket)
        beyond = self._beyond_rate(now)
        if any(_class_rank(one) >= _class_rank(ticket) for one in beyond):
            # Whoever waits already was told that it can start in time.
            self._queue.remove(ticket)
            ticket.retry_after = self._rate_limiter.wait(now, len(self._queue))
            return Decision.REFUSE, None
        return Decision.WAIT, None

    def admit(self, now: float) -> list[Ticket]:
        """Start the waiting calls that have a slot and should start now."""
        admitted: list[Ticket] = []
        if not self.slowness.is_fresh(now):
            return admitted
        self._sort_queue(now)
        for ticket in tuple(self._queue):
            if not self._has_capacity(now):
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
        expired += [
            ticket for ticket in self._beyond_rate(now) if ticket not in expired
        ]
        for ticket in expired:
            self._queue.remove(ticket)
            ticket.retry_after = self.expected_wait(ticket, now)
        return expired

    def delay_until_start(self, now: float) -> float | None:
        """Return the seconds until the start rate allows a waiting call.

        Returns:
            None if no call waits, or if the calls wait for something else.
        """
        if not self._queue or len(self._running) >= self.limit:
            return None
        if self.occupied >= self.limit:
            return _LOAD_CHECK_PERIOD
        return self._start_delay(now) or None

    def needs_slowness_report(self, now: float) -> bool:
        """Return whether only an outdated report keeps a call waiting."""
        could_start = bool(self._queue) and (
            self._has_capacity(now) or len(self._running) < self.limit
        )
        return could_start and not self.slowness.is_fresh(now)

    def on_slowness(self, factor: float, now: float) -> None:
        """Record the ratio of current to usual service time."""
        self.slowness.observe(factor, now)

    def expected_wait(self, ticket: Ticket, now: float) -> float:
        """Return the expected seconds until a call could start."""
        free_in = self._slots_free_in(now)
        own_order = _queue_order(ticket, self._service_time(ticket), now)
        delay = self.slowness.expected_start_delay
        ahead = 0
        for waiting in self._queue:
            service_time = self._service_time(waiting)
            if (
                waiting is not ticket
                and _queue_order(waiting, service_time, now) <= own_order
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

    def on_answer(self, ticket: Ticket, now: float) -> None:
        """Record a complete answer."""
        seconds = (now - ticket.started_at) / ticket.slowness
        usual = self._service_times.expected(ticket.route)
        if not usual or self._concurrency.is_reference(ticket.concurrency):
            self._service_times.observe(ticket.route, seconds)
        else:
            self._concurrency.observe(ticket.concurrency, seconds / usual)

    def on_overload(self) -> None:
        """Do nothing: the target states its slots itself."""

    def limit_starts_until(self, cold_until: float, per_second: float) -> None:
        """Limit the start rate until the target is warm.

        Args:
            cold_until: When the target is warm, in seconds.
            per_second: The requests a second that it can take until then.
        """
        if cold_until > self.start_limiter.cold_until + _COLD_REPORT_TOLERANCE:
            self.slowness.reset_baseline()
        self.start_limiter.cold_until = cold_until
        self.start_limiter.per_second = self._cold_rate_allowance.per_second(
            per_second
        )

    def limit_rate(self, rate: float | None, now: float) -> None:
        """Set the requests a second that the target takes, None for no limit.

        Args:
            rate: The rate for all nodes together.
            now: The time in seconds.
        """
        self._rate_limiter.change_rate(rate, now)

    def resize(self, slots: int) -> None:
        """Set how many requests the target can run at a time."""
        if slots != self._concurrency.slots:
            self._concurrency = ConcurrencyEstimator(max(1, slots))

    def _slots_free_in(self, now: float) -> list[float]:
        """Return a heap of the seconds until slots are free.

        Each waiting call takes one at most, so no more are listed, whatever
        number the target states.
        """
        most = len(self._queue) + 1
        free = min(most, self.limit - self.occupied)
        untracked = min(most, self.untracked)
        free_in = [float() for _ in range(free)]
        free_in += [_DEFAULT_SERVICE_TIME for _ in range(untracked)]
        free_in += [
            _remaining_time(running, self._usual_service_time(running), now)
            for running in self._running
        ]
        heapify(free_in)
        return free_in

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
            key=lambda ticket: _queue_order(
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
        has_slot = self.occupied < self.limit
        return has_slot and not self._start_delay(now)

    def _start_delay(self, now: float) -> float:
        """Return the seconds until the target's rates allow a start."""
        return max(self.start_limiter.wait(now), self._rate_limiter.wait(now))

    def _service_time(self, ticket: Ticket) -> float:
        """Return the service time in seconds while the target is not slow."""
        return self._usual_service_time(ticket) * self.slowness.baseline_factor

    def _usual_service_time(self, ticket: Ticket) -> float:
        return (
            self._service_times.expected(ticket.route) or _DEFAULT_SERVICE_TIME
        )

    def _start(self, ticket: Ticket, now: float) -> None:
        ticket.started_at = now
        ticket.slowness = self.slowness.factor
        self.start_limiter.on_start(now)
        self._rate_limiter.on_start(now)
        self._running.add(ticket)
        ticket.concurrency = len(self._running)


def _remaining_time(ticket: Ticket, usual_time: float, now: float) -> float:
    """Return the seconds that a running call is expected to need still."""
    service_time = usual_time * ticket.slowness
    remaining = ticket.started_at + service_time - now
    return remaining if remaining > 0 else service_time * _OVERRUN_FRACTION


def _class_rank(ticket: Ticket) -> tuple[bool, int]:
    """Return the sort key of a call's class; higher ones displace lower."""
    return ticket.is_inner, ticket.priority


def _queue_order(
    ticket: Ticket,
    service_time: float,
    now: float,
) -> tuple[bool, bool, int, float]:
    """Return the sort key of a waiting call; lower keys start first."""
    soft_deadline = ticket.soft_deadline or ticket.expires_at
    is_late = now + service_time > soft_deadline
    return not ticket.is_inner, is_late, -ticket.priority, soft_deadline
