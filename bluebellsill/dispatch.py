"""Chooses targets and decides on retries for one call at its entry node."""

from __future__ import annotations

from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import TYPE_CHECKING

from bluebellsill.errors import RESPONSES_BY_KIND, ErrorKind, Problem
from bluebellsill.quarantine import MAX_CRASHES
from bluebellsill.target_notes import paced_wait

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bluebellsill.clock import Clock
    from bluebellsill.messages import TargetNote
    from bluebellsill.retries import RetryBudget
    from bluebellsill.routing import Router
    from bluebellsill.target_view import TargetView

__all__ = ('Dispatch', 'Attempt')

_MAX_ATTEMPTS = 4  # nodes that one call is sent to
# Nodes that one call is sent to if some of them refuse it for the rate that
# their target states: they are known only after they have refused a call.
_MAX_ATTEMPTS_WHEN_PACED = 8
_RETRYABLE_STATUSES = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
_HANG_LATENCY_FACTOR = 4  # average latencies until an attempt counts as hung
_MIN_ATTEMPT_SECONDS = 0.005  # no attempt is made with less time left


@dataclass(frozen=True, slots=True)
class Attempt:
    """A decision to send the call to a target's node with a timeout.

    Attributes:
        node_id: The node beside the target.
        timeout: Seconds until the attempt fails.
        may_wait: Whether the call may wait in that node's queue.
        note: What that target asked of all nodes last, None if nothing.
        hangs_after: Seconds after which another target is tried besides, if a
            retry is possible then; None for never.
    """

    node_id: str
    timeout: float
    may_wait: bool = True
    note: TargetNote | None = None
    hangs_after: float | None = None


class Dispatch:
    """Sends a call to one target after another within the retry budget.

    A request that may have run at a target is retried only if it is
    idempotent. A request that was refused without being run is retried
    at another target in any case.
    """

    def __init__(
        self,
        router: Router,
        budget: RetryBudget,
        clock: Clock,
        *,
        deadline: float,
        is_idempotent: bool,
        route: str = '',
        max_sends: int = _MAX_ATTEMPTS,
        avoids_queues: bool = False,
        tried: Sequence[str] = (),
    ) -> None:
        """Prepare a call.

        Args:
            router: Chooses among the targets of the service.
            budget: The retry budget of the service.
            clock: The time source of the deadline.
            deadline: When the caller is answered at the latest, in seconds.
            is_idempotent: Whether the call may safely run twice.
            route: The route name, under which service times are compared.
            max_sends: How many targets may receive the call.
            avoids_queues: Whether to look for a target that starts the call
                immediately, and to queue it only if there is none.
            tried: The nodes to which a hedged call was sent before.
        """
        self._router = router
        self._budget = budget
        self._clock = clock
        self._deadline = deadline
        self._is_idempotent = is_idempotent
        self._route = route
        self._max_sends = max_sends
        self._avoids_queues = avoids_queues
        self._may_wait = not avoids_queues
        self._queue_seconds_by_node: dict[str, float] = {}
        self._sends = 0
        self._retry_after: float = 0
        self._tried = list(tried)
        self._paced_refusals = 0
        self._view: TargetView | None = None
        self._sent_at: float = 0
        self._crashes = 0
        self._has_hedge = False
        self.may_have_run = False

    @property
    def tried(self) -> tuple[str, ...]:
        """The nodes that the call was sent to, in order."""
        return tuple(self._tried)

    def start(self) -> Attempt | Problem:
        """Choose the first target."""
        self._budget.refill(self._clock.now())
        if not self._tried:
            self._budget.on_call()
        return self._next_attempt(
            Problem(ErrorKind.NO_TARGET, 'no target is ready')
        )

    def on_answer(
        self,
        status: int,
        load: int,
        limit: int,
        *,
        has_failed_below: bool = False,
        slowness: float = 1,
        failing: float = 0,
        note: TargetNote | None = None,
    ) -> Attempt | None:
        """Handle a complete answer and the load reported with it.

        Args:
            status: The HTTP status.
            load: The number of calls running or queued at the target.
            limit: The number of calls that may run there at a time.
            has_failed_below: Whether a service that the target called
                failed. That call was retried at its own entry node;
                retrying it here too would multiply retries at each step
                of a call chain.
            slowness: The target's current service time relative to its
                usual one.
            failing: The share of the target's recent answers that failed.
            note: What the target asks of all nodes, None if nothing.

        Returns:
            The next attempt, or None to pass the answer on.
        """
        now = self._clock.now()
        view = self._end_attempt()
        self._sends += 1
        if view is not None:
            self._record_note(view, note, now)
            view.on_load_report(load, limit, now)
            view.on_performance_report(slowness, failing, now)
            if status < HTTPStatus.INTERNAL_SERVER_ERROR:
                seconds = now - self._sent_at
                view.on_latency(seconds, now)
                self._router.outlier_detector.on_answer(
                    view, self._route, seconds, now
                )
            elif not has_failed_below:
                # A target that fails fast must not be preferred as a fast one.
                view.on_error_status(now)
        if has_failed_below or not self._is_idempotent:
            return None
        if status not in _RETRYABLE_STATUSES:
            return None
        self.may_have_run = True
        if not self._budget.take(was_dispatched=True):
            return None
        decision = self._next_attempt(Problem(ErrorKind.TARGET_FAILED, 'shed'))
        return decision if isinstance(decision, Attempt) else None

    def on_refusal(
        self,
        kind: ErrorKind,
        load: int,
        limit: int,
        *,
        has_arrived: bool = False,
        retry_after: float = 0,
        queue_seconds: float = 0,
        slowness: float = 1,
        failing: float = 0,
        note: TargetNote | None = None,
    ) -> Attempt | Problem:
        """Handle a refusal: the target did not run the call.

        Args:
            kind: Why the call was refused.
            load: The number of calls running or queued at the target.
            limit: The number of calls that may run there at a time.
            has_arrived: Whether the target itself refused the call rather
                than the node beside it.
            retry_after: Seconds until a slot is free there, 0 if unknown.
            queue_seconds: The expected wait in the queue there.
            slowness: The target's current service time relative to its
                usual one.
            failing: The share of the target's recent answers that failed.
            note: What the target asks of all nodes, None if nothing.
        """
        view = self._end_attempt()
        self._sends += has_arrived
        if retry_after:
            earliest = self._retry_after or retry_after
            self._retry_after = min(earliest, retry_after)
        if view is not None:
            now = self._clock.now()
            view.on_performance_report(slowness, failing, now)
            # A node that does not know its target yet sends no note.
            known_note = note or self._router.notes.of(view.id)
            self._record_note(view, known_note, now)
            paced_seconds = paced_wait(note, retry_after) if load < limit else 0
            self._paced_refusals += paced_seconds > 0
            view.on_refusal(
                now,
                load,
                limit,
                is_full=kind is ErrorKind.OVERLOADED,
                has_arrived=has_arrived,
                paced_seconds=paced_seconds,
            )
            if kind is ErrorKind.OVERLOADED and not self._may_wait:
                self._queue_seconds_by_node[view.id] = queue_seconds
        problem = Problem(kind, f'refused by {self._tried[-1]}')
        if not RESPONSES_BY_KIND[kind].is_retryable_elsewhere:
            return self.final_problem(problem)
        if not self._budget.take(was_dispatched=has_arrived):
            return self.final_problem(problem)
        return self._next_attempt(problem)

    def on_failure(
        self,
        kind: ErrorKind,
        message: str,
        *,
        has_crashed: bool = False,
    ) -> Attempt | Problem:
        """Handle a failure after which the target may have run the call.

        Args:
            kind: The kind of failure.
            message: A description of the failure.
            has_crashed: Whether the target crashed while it ran the call.
        """
        self._record_failure(has_crashed=has_crashed)
        problem = Problem(kind, message)
        if not self._is_idempotent:
            return Problem(ErrorKind.OUTCOME_UNKNOWN, message)
        if self._crashes >= MAX_CRASHES:
            return problem
        if not self._budget.take(was_dispatched=True):
            return problem
        return self._next_attempt(problem)

    def hedge(self) -> Dispatch | None:
        """Prepare to send the call to another target while this one runs it.

        Until the returned dispatch is absorbed, this one tries no target.

        Returns:
            A dispatch to start, None if no retry is possible.
        """
        if self._router.choose(self._tried, self._clock.now()) is None:
            return None
        if not self._budget.take(was_dispatched=True):
            return None
        self._has_hedge = True
        return Dispatch(
            self._router,
            self._budget,
            self._clock,
            deadline=self._deadline,
            is_idempotent=self._is_idempotent,
            route=self._route,
            max_sends=self._max_sends - self._sends - 1,
            avoids_queues=self._avoids_queues,
            tried=self._tried,
        )

    def absorb(self, hedge: Dispatch) -> None:
        """Take over what a hedge has done that did not serve the call."""
        self._has_hedge = False
        self._tried = hedge._tried
        self._sends += hedge._sends
        self._crashes += hedge._crashes
        self.may_have_run |= hedge.may_have_run

    def on_outpaced(self) -> None:
        """Handle an attempt that the hedge has answered before."""
        self._record_failure(has_crashed=False)

    def final_problem(self, problem: Problem) -> Problem:
        """Return the problem for the caller, given all attempts so far."""
        if self.may_have_run and problem.response.promises_not_run:
            # An earlier attempt may have run even though the last one did not.
            return Problem(ErrorKind.TARGET_FAILED, problem.message)
        if self._retry_after:
            return replace(problem, retry_after=self._retry_after)
        return problem

    def on_abandoned(self) -> None:
        """End the attempt in progress, as the call goes no further."""
        self._end_attempt()

    def _next_attempt(self, problem: Problem) -> Attempt | Problem:
        now = self._clock.now()
        left = self._deadline - now
        if self._sends >= self._max_sends or left < _MIN_ATTEMPT_SECONDS:
            return self.final_problem(problem)
        view = None if self._has_hedge else self._next_target(now)
        if view is None:
            return self.final_problem(problem)
        return self._start_attempt(view, now)

    def _start_attempt(self, view: TargetView, now: float) -> Attempt:
        self._tried.append(view.id)
        self._view = view
        self._sent_at = now
        view.call_start_times.append(now)
        left = self._deadline - now
        return Attempt(
            view.id,
            left,
            self._may_wait,
            self._router.notes.of(view.id),
            self._hangs_after(view, left),
        )

    def _next_target(self, now: float) -> TargetView | None:
        """Return the target of the next attempt.

        If every target that was asked refused to start the call at once,
        the call is queued where the reported wait is shortest.
        """
        attempts = len(self._tried)
        max_attempts = min(
            _MAX_ATTEMPTS + self._paced_refusals, _MAX_ATTEMPTS_WHEN_PACED
        )
        if attempts < max_attempts:
            view = self._router.choose(self._tried, now)
            if view is not None:
                return view
        if self._may_wait or not self._queue_seconds_by_node:
            return None
        self._may_wait = True
        shortest = min(
            self._queue_seconds_by_node,
            key=self._queue_seconds_by_node.__getitem__,
        )
        return self._router.views_by_id.get(shortest)

    def _hangs_after(self, view: TargetView, left: float) -> float | None:
        """Return the seconds until an attempt counts as hung, None for never.

        Half of the remaining time is kept for another attempt, unless the
        target's average latency is too long for that.
        """
        is_last = (
            not self._is_idempotent
            or len(self._tried) >= _MAX_ATTEMPTS
            or self._sends + 1 >= self._max_sends
        )
        is_known = view.latency_at > 0
        hang_after = _HANG_LATENCY_FACTOR * view.latency if is_known else left
        return None if is_last or hang_after > left / 2 else left / 2

    def _record_failure(self, *, has_crashed: bool) -> None:
        """End an attempt after which the target may have run the call."""
        self.may_have_run = True
        self._sends += 1
        self._crashes += has_crashed
        view = self._end_attempt()
        now = self._clock.now()
        if view is not None:
            view.on_failure(now)
            view.latency = max(view.latency, now - self._sent_at)

    def _record_note(
        self, view: TargetView, note: TargetNote | None, now: float
    ) -> None:
        self._router.notes.record(view.id, note)
        if note is not None and note.is_leaving:
            view.on_leaving(now)

    def _end_attempt(self) -> TargetView | None:
        view = self._view
        self._view = None
        if view is not None:
            view.call_start_times.remove(self._sent_at)
        return view
