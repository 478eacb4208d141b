"""Decides what becomes of one call at its entry node."""

from __future__ import annotations

from dataclasses import dataclass, replace
from http import HTTPStatus
from typing import TYPE_CHECKING

from bluebellsill.errors import ANSWERS_BY_KIND, ErrorKind, Problem, Run
from bluebellsill.quarantine import MAX_CRASHES

if TYPE_CHECKING:
    from bluebellsill.clock import Clock
    from bluebellsill.retries import RetryBudget
    from bluebellsill.routing import Router
    from bluebellsill.target_view import TargetView

__all__ = ('Dispatch', 'Place')

_MAX_TRIES = 4  # nodes that are asked to take one call
_RETRYABLE_STATUSES = frozenset(
    (
        HTTPStatus.INTERNAL_SERVER_ERROR,
        HTTPStatus.BAD_GATEWAY,
        HTTPStatus.SERVICE_UNAVAILABLE,
        HTTPStatus.GATEWAY_TIMEOUT,
    )
)
_PATIENCE = 4  # usual latencies until a try counts as hanging
_MIN_BUDGET = 0.005  # seconds that a try needs to make sense


@dataclass(frozen=True, slots=True)
class Place:
    """Send the call to a target's node, for a limited time.

    Attributes:
        node_id: The node beside the target.
        seconds: The time of the try.
        may_wait: Whether the call may wait there for its turn.
    """

    node_id: str
    seconds: float
    may_wait: bool = True


class Dispatch:
    """Tries targets one after another, while that is safe and in budget.

    A request that may have reached a target is tried again only if it is
    idempotent. A refusal before that is tried elsewhere in any case.
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
        max_sends: int = _MAX_TRIES,
        asks_first: bool = False,
    ) -> None:
        """Prepare a call.

        Args:
            router: The targets of the service.
            budget: Bounds the retries of the service.
            clock: Tells the time.
            deadline: When nobody waits any more.
            is_idempotent: Whether running twice does no harm.
            route: Names requests that take about as long.
            max_sends: How many targets may be handed the call.
            asks_first: Whether to look for a target that takes the call at
                once, and to let it wait only where there is none.
        """
        self._router = router
        self._budget = budget
        self._clock = clock
        self._deadline = deadline
        self._is_idempotent = is_idempotent
        self._route = route
        self._max_sends = max_sends
        self._asks_first = asks_first
        self._may_wait = not asks_first
        self._waits_by_node: dict[str, float] = {}
        self._sends = 0
        self._retry_after: float = 0
        self._tried: list[str] = []
        self._view: TargetView | None = None
        self._sent_at: float = 0
        self._crashes = 0
        self.may_have_run = False

    @property
    def tried(self) -> tuple[str, ...]:
        """The nodes that were asked, in order."""
        return tuple(self._tried)

    def start(self) -> Place | Problem:
        """Choose the first target."""
        self._budget.on_time(self._clock.now())
        self._budget.on_call()
        return self._place(Problem(ErrorKind.NO_TARGET, 'no target is ready'))

    def on_answer(
        self,
        status: int,
        load: int,
        limit: int,
        *,
        has_failed_below: bool = False,
        slowness: float = 1,
        failing: float = 0,
    ) -> Place | None:
        """Take in a whole answer and the load at the target's node.

        Args:
            status: The HTTP status.
            load: The calls that run or wait there.
            limit: The calls that may run there.
            has_failed_below: Whether a service that the target called
                failed. It was tried again there, so that a fault at the
                end of a chain is not multiplied at each step.
            slowness: How many times longer than usual work takes there.
            failing: The share of its answers that failed of late.

        Returns:
            Where to try again, or None to pass the answer on.
        """
        now = self._clock.now()
        view = self._end_try()
        self._sends += 1
        if view is not None:
            view.on_report(load, limit, now)
            view.on_state(slowness, failing, now)
            if status < HTTPStatus.INTERNAL_SERVER_ERROR:
                seconds = now - self._sent_at
                view.on_latency(seconds, now)
                self._router.outliers.on_answer(view, self._route, seconds, now)
            elif not has_failed_below:
                # A target that fails fast must not look like a fast one.
                view.on_error_status(now)
        if has_failed_below or not self._is_idempotent:
            return None
        if status not in _RETRYABLE_STATUSES:
            return None
        self.may_have_run = True
        if not self._budget.take(was_dispatched=True):
            return None
        place = self._place(Problem(ErrorKind.TARGET_FAILED, 'shed'))
        return place if isinstance(place, Place) else None

    def on_refusal(
        self,
        kind: ErrorKind,
        load: int,
        limit: int,
        *,
        has_arrived: bool = False,
        retry_after: float = 0,
        slowness: float = 1,
        failing: float = 0,
    ) -> Place | Problem:
        """Take in a refusal: the target did not run the call.

        Args:
            kind: Why it was refused.
            load: The calls that run or wait there.
            limit: The calls that may run there.
            has_arrived: Whether the target itself refused the call, and
                not the node beside it.
            retry_after: Seconds until a slot is free there, 0 if unknown.
            slowness: How many times longer than usual work takes there.
            failing: The share of its answers that failed of late.
        """
        view = self._end_try()
        self._sends += has_arrived
        if retry_after:
            soonest = self._retry_after or retry_after
            self._retry_after = min(soonest, retry_after)
        if view is not None:
            now = self._clock.now()
            view.on_report(max(load, limit), limit, now)
            view.on_state(slowness, failing, now)
            view.on_refusal(
                now,
                is_full=kind is ErrorKind.OVERLOADED,
                has_arrived=has_arrived,
            )
            if not self._may_wait and kind is ErrorKind.OVERLOADED:
                self._waits_by_node[view.id] = retry_after
        problem = Problem(kind, f'refused by {self._tried[-1]}')
        if not ANSWERS_BY_KIND[kind].is_retryable_elsewhere:
            return self._final(problem)
        if not self._budget.take(was_dispatched=has_arrived):
            return self._final(problem)
        return self._place(problem)

    def on_failure(
        self,
        kind: ErrorKind,
        message: str,
        *,
        has_crashed: bool = False,
    ) -> Place | Problem:
        """Take in a failure after which the target may have run the call.

        Args:
            kind: What became of the try.
            message: The same for a person.
            has_crashed: Whether the target has crashed with the call.
        """
        self.may_have_run = True
        self._sends += 1
        self._crashes += has_crashed
        view = self._end_try()
        now = self._clock.now()
        if view is not None:
            view.on_failure(now)
            view.latency = max(view.latency, now - self._sent_at)
        problem = Problem(kind, message)
        if not self._is_idempotent:
            return Problem(ErrorKind.OUTCOME_UNKNOWN, message)
        if self._crashes >= MAX_CRASHES:
            return problem
        if not self._budget.take(was_dispatched=True):
            return problem
        return self._place(problem)

    def on_abandoned(self) -> None:
        """The caller went away."""
        self._end_try()

    def _place(self, problem: Problem) -> Place | Problem:
        now = self._clock.now()
        left = self._deadline - now
        if self._sends >= self._max_sends or left < _MIN_BUDGET:
            return self._final(problem)
        view = self._next_view(now)
        if view is None:
            return self._final(problem)
        self._tried.append(view.id)
        self._view = view
        self._sent_at = now
        view.started.append(now)
        return Place(view.id, self._seconds(view, left), self._may_wait)

    def _next_view(self, now: float) -> TargetView | None:
        """Return the target to try next.

        Once every target that was asked has refused to take the call at
        once, it waits where the wait is shortest.
        """
        if len(self._tried) < _MAX_TRIES:
            view = self._router.choose(self._tried, now)
            if view is not None:
                return view
        if self._may_wait or not self._waits_by_node:
            return None
        self._may_wait = True
        shortest = min(self._waits_by_node, key=self._waits_by_node.__getitem__)
        return self._router.views_by_id.get(shortest)

    def _seconds(self, view: TargetView, left: float) -> float:
        """Return the time of a try.

        Half of what is left is kept for another try, should this one
        hang, unless the target's usual latency does not allow for it.
        """
        is_last = (
            not self._is_idempotent
            or len(self._tried) == _MAX_TRIES
            or self._sends + 1 >= self._max_sends
        )
        is_known = view.latency_at > 0
        patience = _PATIENCE * view.latency if is_known else left
        return left if is_last or patience > left / 2 else left / 2

    def _end_try(self) -> TargetView | None:
        view = self._view
        self._view = None
        if view is not None:
            view.started.remove(self._sent_at)
        return view

    def _final(self, problem: Problem) -> Problem:
        if self.may_have_run and problem.answer.run is Run.NOT_RUN:
            # An earlier try may have run, whatever became of the last one.
            return Problem(ErrorKind.TARGET_FAILED, problem.message)
        if self._retry_after:
            return replace(problem, retry_after=self._retry_after)
        return problem
