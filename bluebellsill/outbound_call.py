"""Sends one call from its entry node to a target, retrying if allowed."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from bluebellsill.dispatch import Attempt, Dispatch
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import Headers, Response, is_final_status
from bluebellsill.logs import get_logger
from bluebellsill.messages import Answer, Call, Failure, Refusal
from bluebellsill.peers import LinkLost
from bluebellsill.resources import EXTERNAL_CALLER

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.body_transfer import CallLinks
    from bluebellsill.filters import InboundRequest
    from bluebellsill.runs import Run
    from bluebellsill.target_runner import TargetRunner
    from bluebellsill.timers import Timer

__all__ = ('OutboundCall',)

# Share of the target latency that is left for the call itself. The rest
# covers the network time between the caller and the entry node.
_TARGET_LATENCY_SHARE = 0.93
# Seconds that the entry node waits for a reply beyond the time budget that it
# sends to the target's node: a round trip between zones of at most 8 ms, and
# the delay of a busy node. The target's node may use up that budget.
_REPLY_MARGIN = 0.05
NodeReply = Answer | Refusal | Failure | LinkLost


class OutboundCall:
    """Runs the attempts of one call until it has an outcome.

    Attributes:
        dispatch: Decides after each attempt how the call continues.
        node_id: The node that the latest attempt was sent to.
    """

    def __init__(
        self,
        inbound: InboundRequest,
        dispatch: Dispatch,
        links: CallLinks,
        runner: TargetRunner,
        own_id: str,
        headers: Headers,
        on_done: Callable[[Response | Problem], None],
        *,
        is_hedge: bool = False,
    ) -> None:
        """Prepare the call; ``start`` sends it.

        Args:
            inbound: The caller's request.
            dispatch: Chooses the target of each attempt.
            links: Connections to the nodes of other targets.
            runner: Runs calls at the local target.
            own_id: The id of this node.
            headers: The caller's headers to forward to the target.
            on_done: Called once with the response or the error; not called
                after ``cancel``.
            is_hedge: Whether this is a second call to another target for a
                request whose first one hangs.
        """
        self.dispatch = dispatch
        self._log = get_logger('calls')
        self._inbound = inbound
        self._links = links
        self._runner = runner
        self._own_id = own_id
        self._on_done: Callable[[Response | Problem], None] | None = on_done
        self._headers = headers
        self._timers: list[Timer] = []
        self._local_run: Run | None = None
        self._request_id = 0
        self._sent_at: float = 0
        self._is_hedge = is_hedge
        self._hedge: OutboundCall | None = None
        self._held_outcome: Response | Problem | None = None
        self.node_id = ''

    @property
    def has_not_run(self) -> bool:
        """Whether the call certainly has not run at any target so far."""
        is_unsent = self._links.is_unsent(self._request_id)
        return (
            is_unsent and self._hedge is None and not self.dispatch.may_have_run
        )

    def start(self) -> None:
        """Send the first attempt."""
        self._apply(self.dispatch.start())

    def cancel(self) -> None:
        """Cancel the call because its caller has disconnected.

        The target's node removes the call from its queue. A call that is
        already running and is not idempotent runs to completion.
        """
        if self._on_done is None:
            return
        self._on_done = None
        self._cancel_hedge()
        self.dispatch.on_abandoned()
        self._end_attempt(is_cancelled=True)

    def _apply(self, decision: Attempt | Problem) -> None:
        if isinstance(decision, Problem):
            self._finish(decision)
            return
        call = self._make_call(decision)
        self._request_id = call.id
        self.node_id = decision.node_id
        self._sent_at = self._links.now()
        after = self._links.reactor.timers.after
        self._timers = [after(decision.timeout, self._on_budget_spent)]
        if decision.hangs_after is not None:
            self._timers.append(after(decision.hangs_after, self._on_hang))
        request_id = call.id

        def on_reply(reply: NodeReply) -> None:
            if self._request_id == request_id:
                self._on_reply(reply)

        if decision.node_id == self._own_id:
            run = self._runner.run(call, on_reply)
            if self._request_id == request_id:
                # A refusal is replied at once, and the next attempt, which may
                # have been sent to the same target, has its own run.
                self._local_run = run
        else:
            self._links.request(decision.node_id, call, on_reply)

    def _make_call(self, attempt: Attempt) -> Call:
        inbound = self._inbound
        request = inbound.request
        return Call(
            self._links.next_id(),
            inbound.service_name,
            request.method,
            request.path,
            self._headers,
            request.body,
            int(attempt.timeout * 1000),
            inbound.route.importance,
            inbound.is_idempotent,
            inbound.fingerprint,
            inbound.correlation,
            inbound.scoped_key if inbound.granted_by else '',
            inbound.granted_by,
            self._target_latency_ms(),
            inbound.route.name,
            inbound.caller != EXTERNAL_CALLER,
            attempt.may_wait,
            attempt.note,
            team=inbound.team.name if inbound.team else '',
            team_importance=inbound.team.importance if inbound.team else 0,
            is_repeat=inbound.first_attempt_at < inbound.received_at,
            key_tag=inbound.key_tag,
            key_version=inbound.key_version,
        )

    def _target_latency_ms(self) -> int:
        """Return the milliseconds left of the target latency, at least 1.

        0 means that the route has no target latency.
        """
        inbound = self._inbound
        if not inbound.route.target_latency:
            return 0
        elapsed = self._links.now() - inbound.first_attempt_at
        usable = _TARGET_LATENCY_SHARE * inbound.route.target_latency
        return max(1, int((usable - elapsed) * 1000))

    def _on_reply(self, reply: NodeReply) -> None:
        self._end_attempt(is_cancelled=False)
        if isinstance(reply, Answer):
            self._on_answer(reply)
        elif isinstance(reply, Refusal):
            self._on_refusal(reply)
        elif isinstance(reply, Failure):
            self._count_outcome(has_failed=True)
            message = f'target of {self.node_id} sent no complete response'
            self._apply(
                self.dispatch.on_failure(
                    _parse_error_kind(reply.kind),
                    message,
                    has_crashed=reply.has_crashed,
                ),
            )
        elif reply.is_sent:
            message = f'connection to {self.node_id} lost: {reply.reason}'
            kind = ErrorKind.TARGET_FAILED
            self._apply(self.dispatch.on_failure(kind, message))
        else:
            # The node cannot have received the complete call: the connection
            # was never established, or a part of the body was not sent.
            self._apply(self.dispatch.on_refusal(ErrorKind.NO_TARGET, 1, 1))

    def _on_refusal(self, refusal: Refusal) -> None:
        kind = _parse_error_kind(refusal.kind, ErrorKind.OVERLOADED)
        if kind is ErrorKind.UNAUTHORIZED:
            # The key was removed, which says nothing about the target and is
            # the same at all others.
            self.dispatch.on_abandoned()
            problem = Problem(kind, 'the key was removed while the call waited')
            self._finish(self.dispatch.final_problem(problem))
            return
        self._apply(
            self.dispatch.on_refusal(
                kind,
                refusal.in_flight,
                refusal.limit,
                has_arrived=refusal.has_arrived,
                retry_after=refusal.retry_ms / 1000,
                queue_seconds=(refusal.queue_ms or refusal.retry_ms) / 1000,
                slowness=refusal.slowness,
                failing=refusal.failing,
                note=refusal.note,
            ),
        )

    def _on_answer(self, answer: Answer) -> None:
        if not is_final_status(answer.status):
            # A node of an earlier version passes such answers on.
            self._count_outcome(has_failed=True)
            message = f'target of {self.node_id} sent status {answer.status}'
            kind = ErrorKind.TARGET_FAILED
            self._apply(self.dispatch.on_failure(kind, message))
            return
        if not answer.has_failed_below:
            self._count_outcome(
                has_failed=answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR
            )
        retry = self.dispatch.on_answer(
            answer.status,
            answer.in_flight,
            answer.limit,
            has_failed_below=answer.has_failed_below,
            slowness=answer.slowness,
            failing=answer.failing,
            note=answer.note,
        )
        if retry is not None:
            self._apply(retry)
            return
        self._finish(Response(answer.status, answer.headers, answer.body))

    def _count_outcome(self, *, has_failed: bool) -> None:
        """Count an outcome for the version of the target that was called."""
        traffic = self._inbound.traffic
        if traffic is not None:
            seconds = self._links.now() - self._sent_at
            route = self._inbound.route.name
            traffic.on_outcome(
                self.node_id, route, seconds, has_failed=has_failed
            )

    def _on_hang(self) -> None:
        """Call another target as well; the first one may just be slow."""
        hedge = self.dispatch.hedge()
        self._log.info(
            'attempt hangs',
            correlation=self._inbound.correlation,
            node=self.node_id,
            is_hedged=hedge is not None,
        )
        if hedge is None:
            return
        self._hedge = OutboundCall(
            self._inbound,
            hedge,
            self._links,
            self._runner,
            self._own_id,
            self._headers,
            lambda outcome: self._on_hedge_done(hedge, outcome),
            is_hedge=True,
        )
        self._hedge.start()

    def _on_hedge_done(
        self, hedge: Dispatch, outcome: Response | Problem
    ) -> None:
        self._hedge = None
        self.dispatch.absorb(hedge)
        if _is_served(outcome):
            if self._request_id:
                self.dispatch.on_outpaced()
                self._count_outcome(has_failed=False)
                self._end_attempt(is_cancelled=True)
            self._finish(outcome)
        elif isinstance(self._held_outcome, Problem):
            self._finish(self.dispatch.final_problem(self._held_outcome))
        elif self._held_outcome is not None:
            self._finish(self._held_outcome)

    def _cancel_hedge(self) -> None:
        if self._hedge is not None:
            self._hedge.cancel()
            self._hedge = None

    def _on_budget_spent(self) -> None:
        """Ask for the call back, unless its target has started it.

        Only the target's node knows whether it has. Its refusal tells that the
        request has not run; without one, nothing is known.
        """
        after = self._links.reactor.timers.after
        self._timers.append(after(_REPLY_MARGIN, self._on_timeout))
        if self.node_id != self._own_id:
            request_id = self._request_id
            self._links.abort_connecting(self.node_id)
            if self._request_id == request_id:
                self._links.cancel_waiting(self.node_id, request_id)
        elif self._local_run is not None:
            self._runner.refuse_waiting(self._local_run)

    def _on_timeout(self) -> None:
        if self._links.is_unsent(self._request_id):
            self._end_attempt(is_cancelled=True)
            kind = ErrorKind.BODY_NOT_SENT
            self._apply(self.dispatch.on_refusal(kind, 1, 1))
            return
        self._count_outcome(has_failed=True)
        self._end_attempt(is_cancelled=self._inbound.is_idempotent)
        message = f'no reply from {self.node_id} within the time budget'
        self._apply(self.dispatch.on_failure(ErrorKind.TIMED_OUT, message))

    def _end_attempt(self, *, is_cancelled: bool) -> None:
        for timer in self._timers:
            timer.cancel()
        request_id = self._request_id
        self._request_id = 0
        run = self._local_run
        self._local_run = None
        if not is_cancelled or not request_id:
            return
        if self.node_id == self._own_id:
            if run is not None:
                self._runner.cancel(run)
            return
        self._links.cancel(self.node_id, request_id)

    def _finish(self, outcome: Response | Problem) -> None:
        if self._hedge is not None and not _is_served(outcome):
            self._held_outcome = outcome
            return
        self._cancel_hedge()
        on_done = self._on_done
        self._on_done = None
        if on_done is None:
            return
        self._log_outcome(outcome)
        on_done(outcome)

    def _log_outcome(self, outcome: Response | Problem) -> None:
        inbound = self._inbound
        now = self._links.now()
        seconds = now - inbound.received_at
        due_at = inbound.first_attempt_at + inbound.route.target_latency
        fields = {
            'correlation': inbound.correlation,
            'is_hedge': self._is_hedge,
            'service': inbound.service_name,
            'route': inbound.route.name,
            'is_inner': inbound.caller != EXTERNAL_CALLER,
            # Negative if the call ends within the target latency.
            'late_ms': int((now - due_at) * 1000),
            'tried': self.dispatch.tried,
            'after_ms': int(seconds * 1000),
            'repeats_ms': int(
                (inbound.received_at - inbound.first_attempt_at) * 1000
            ),
        }
        if isinstance(outcome, Response):
            self._log.info('call answered', status=outcome.status, **fields)
        else:
            self._log.info(
                'call not answered',
                kind=outcome.kind.value,
                may_have_run=self.dispatch.may_have_run,
                retry_after=outcome.retry_after,
                **fields,
            )


def _is_served(outcome: Response | Problem) -> bool:
    """Return whether an outcome is better than any that may still come."""
    return (
        isinstance(outcome, Response)
        and outcome.status < HTTPStatus.INTERNAL_SERVER_ERROR
    )


def _parse_error_kind(
    text: str, unknown: ErrorKind = ErrorKind.INTERNAL
) -> ErrorKind:
    """Parse an error kind; one of a newer version counts as ``unknown``."""
    try:
        return ErrorKind(text)
    except ValueError:
        return unknown
