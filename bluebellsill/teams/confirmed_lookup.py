"""Holds requests that a newer routing document may accept."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from result import Err, Result

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.filters import run_filters, stated_milliseconds
from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bluebellsill.filters import Filter, InboundRequest
    from bluebellsill.metrics import Metrics
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.timers import Timer, TimerService
    from bluebellsill.view_age import ViewAge

__all__ = ('ConfirmedLookup',)

# Confirmations come every 0.4 to 0.5 s; more seconds than two of them need
# would only delay the answer to a wrong key.
_MAX_WAIT = 1.0
# Share of the time for which the caller waits itself, so that it gets an answer.
_MAX_SHARE_OF_BUDGET = 0.8
_MAX_WAITING = 64  # requests; bounds what clients without a key can occupy
# Seconds after which a change that the store has accepted must be in force; a
# view that is older may lack a key that the operator takes for valid.
_MAX_VIEW_AGE = 2.5

_Outcome = Result[None, Problem]


@dataclass(slots=True, eq=False)
class _Waiting:
    """A request whose key or route is unknown so far."""

    inbound: InboundRequest
    on_settled: Callable[[_Outcome], None]
    timer: Timer


class ConfirmedLookup:
    """Looks up keys and routes again once the node's view is confirmed.

    A request may arrive before the routing document that accepts it. It waits
    until the store is known to have had nothing newer after it arrived. The
    confirmations come in any case, so a lookup costs no call to the store.

    Routes are looked up again only while the document has teams.
    """

    def __init__(
        self,
        filters: Sequence[Filter],
        deadline_header: str,
        state: OperatorState,
        view: ViewAge,
        timers: TimerService,
        metrics: Metrics,
    ) -> None:
        """Create a lookup without waiting requests.

        Args:
            filters: Applied again to a request that waits.
            deadline_header: The header with the milliseconds that the caller
                waits.
            state: Provides the routing plan.
            view: The age of this node's view of the store.
            timers: Limit the wait.
            metrics: Counts the requests that wait.
        """
        self._filters = filters
        self._deadline_header = deadline_header
        self._state = state
        self._view = view
        self._timers = timers
        self._metrics = metrics
        self._waiting: list[_Waiting] = []
        self._is_due = False  # whether the requests are looked at next
        self._log = get_logger('teams')
        view.subscribe(self._schedule)
        state.subscribe(self._schedule)

    def may_change(self, inbound: InboundRequest, outcome: _Outcome) -> bool:
        """Return whether a newer document may accept a refused request."""
        if not isinstance(outcome, Err):
            return False
        plan = self._state.plan
        if plan is None or plan.teams is None:
            return False
        kind = outcome.err_value.kind
        return kind is ErrorKind.UNKNOWN_ROUTE or (
            kind is ErrorKind.UNAUTHORIZED and bool(inbound.unknown_key)
        )

    def is_stale(self, inbound: InboundRequest) -> bool:
        """Return whether this node cannot know that a key is wrong."""
        return bool(inbound.unknown_key) and (
            self._view.seconds > _MAX_VIEW_AGE
        )

    def settle(
        self,
        inbound: InboundRequest,
        outcome: _Outcome,
        on_settled: Callable[[_Outcome], None],
    ) -> None:
        """Wait, if that may change what the filters have decided.

        Args:
            inbound: The caller's request.
            outcome: What the filters have decided.
            on_settled: Called once, now or later, with the final decision; not
                called after ``on_abandoned``.
        """
        if not self.may_change(inbound, outcome):
            on_settled(outcome)
            return
        is_full = len(self._waiting) >= _MAX_WAITING
        if is_full:
            self._metrics.counts['lookups_turned_away'] += 1
        if is_full or self.is_stale(inbound):
            self._finish(inbound, outcome, on_settled)
            return
        self._metrics.counts['lookups_waited'] += 1
        self._wait(inbound, on_settled)

    def on_abandoned(self, inbound: InboundRequest) -> None:
        """Forget a request whose caller has disconnected."""
        for waiting in self._waiting:
            if waiting.inbound is inbound:
                self._remove(waiting)
                return

    def _wait(
        self, inbound: InboundRequest, on_settled: Callable[[_Outcome], None]
    ) -> None:
        seconds = _MAX_WAIT
        header = inbound.request.header(self._deadline_header)
        budget_ms = stated_milliseconds(header)
        if budget_ms is not None:
            seconds = min(seconds, _MAX_SHARE_OF_BUDGET * budget_ms / 1000)
        waiting = _Waiting(
            inbound,
            on_settled,
            self._timers.after(seconds, lambda: self._end(waiting)),
        )
        self._waiting.append(waiting)

    def _schedule(self) -> None:
        """Look at the requests after what has just changed is in force."""
        if self._waiting and not self._is_due:
            self._is_due = True
            self._timers.after(0, self._look_again)

    def _look_again(self) -> None:
        self._is_due = False
        for waiting in tuple(self._waiting):
            # Whatever one request leads to may end another.
            if waiting in self._waiting:
                outcome = run_filters(self._filters, waiting.inbound)
                if self._is_final(waiting.inbound, outcome):
                    self._settle(waiting, outcome)

    def _end(self, waiting: _Waiting) -> None:
        """Decide by what is known when the request cannot wait any longer."""
        self._settle(waiting, run_filters(self._filters, waiting.inbound))

    def _is_final(self, inbound: InboundRequest, outcome: _Outcome) -> bool:
        if self._view.confirmed_at > inbound.received_at:
            return True
        return not self.may_change(inbound, outcome)

    def _settle(self, waiting: _Waiting, outcome: _Outcome) -> None:
        inbound = waiting.inbound
        self._remove(waiting)
        waited = self._timers.clock.now() - inbound.received_at
        self._log.info(
            'looked up again',
            correlation=inbound.correlation,
            is_accepted=not isinstance(outcome, Err),
            is_confirmed=self._view.confirmed_at > inbound.received_at,
            view_age=round(self._view.seconds, 3),
            after_ms=int(waited * 1000),
        )
        self._finish(inbound, outcome, waiting.on_settled)

    def _finish(
        self,
        inbound: InboundRequest,
        outcome: _Outcome,
        on_settled: Callable[[_Outcome], None],
    ) -> None:
        if self.may_change(inbound, outcome) and self.is_stale(inbound):
            age = self._view.seconds
            message = f'the key is unknown, and this view is {age:.1f} s old'
            outcome = Err(Problem(ErrorKind.STALE, message))
        inbound.unknown_key = ''
        on_settled(outcome)

    def _remove(self, waiting: _Waiting) -> None:
        self._waiting.remove(waiting)
        waiting.timer.cancel()
