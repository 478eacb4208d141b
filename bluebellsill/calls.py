"""Carries one call from its entry node to a target and back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.dispatch import Dispatch, Place
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.http import Headers, Response
from bluebellsill.logs import get_logger
from bluebellsill.messages import Answer, Call, Cancel, Failure, Refusal
from bluebellsill.peers import LinkLost, PeerLinks
from bluebellsill.resources import OUTSIDE

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.filters import Inbound
    from bluebellsill.runs import Run
    from bluebellsill.target_runner import TargetRunner
    from bluebellsill.timers import Timer

__all__ = ('PlacedCall',)

# Of the target latency; the rest is the way from and to the caller.
_USABLE_SHARE = 0.93
_REPLY_MARGIN = 0.05  # seconds that the node gets beyond the try's budget
Reply = Answer | Refusal | Failure | LinkLost


class PlacedCall:
    """One call on its way, try after try, until it has an outcome."""

    def __init__(
        self,
        inbound: Inbound,
        dispatch: Dispatch,
        links: PeerLinks,
        runner: TargetRunner,
        own_id: str,
        headers: Headers,
        on_done: Callable[[Response | Problem], None],
    ) -> None:
        """Prepare a call; ``start`` begins it.

        Args:
            inbound: The caller's request.
            dispatch: Decides where the call goes.
            links: Reach the nodes beside other targets.
            runner: Reaches the target beside this node.
            own_id: Names this node.
            headers: What the target gets of the caller's headers.
            on_done: Called once with the outcome.
        """
        self.dispatch = dispatch
        self._log = get_logger('calls')
        self._inbound = inbound
        self._links = links
        self._runner = runner
        self._own_id = own_id
        self._on_done: Callable[[Response | Problem], None] | None = on_done
        self._headers = headers
        self._timer: Timer | None = None
        self._local_run: Run | None = None
        self._request_id = 0
        self.node_id = ''

    def start(self) -> None:
        """Send the call to the first target."""
        self._act(self.dispatch.start())

    def cancel(self) -> None:
        """Stop: nobody waits for the answer any more.

        The target's node takes the call out of its queue. What runs goes
        on if it is not idempotent.
        """
        if self._on_done is None:
            return
        self._on_done = None
        self.dispatch.on_abandoned()
        self._end_try(is_cancelled=True)

    def _act(self, decision: Place | Problem) -> None:
        if isinstance(decision, Problem):
            self._finish(decision)
            return
        call = self._call(decision)
        self._request_id = call.id
        self.node_id = decision.node_id
        self._timer = self._links.reactor.timers.after(
            decision.seconds + _REPLY_MARGIN,
            self._on_timeout,
        )
        request_id = call.id

        def on_reply(reply: Reply) -> None:
            if self._request_id == request_id:
                self._on_reply(reply)

        if decision.node_id == self._own_id:
            self._local_run = self._runner.run(call, on_reply)
        else:
            self._links.request(decision.node_id, call, on_reply)

    def _call(self, place: Place) -> Call:
        inbound = self._inbound
        request = inbound.request
        return Call(
            self._links.next_id(),
            inbound.service_name,
            request.method,
            request.path,
            self._headers,
            request.body,
            int(place.seconds * 1000),
            inbound.route.importance,
            inbound.is_idempotent,
            inbound.fingerprint,
            inbound.correlation,
            inbound.scoped_key if inbound.granted_by else '',
            inbound.granted_by,
            self._target_latency_ms(),
            inbound.route.name,
            inbound.caller != OUTSIDE,
            place.may_wait,
        )

    def _target_latency_ms(self) -> int:
        """Return what is left of the time in which an answer is of full use."""
        inbound = self._inbound
        if not inbound.route.target_latency:
            return 0
        elapsed = self._links.now() - inbound.first_at
        wanted = _USABLE_SHARE * inbound.route.target_latency
        return max(1, int((wanted - elapsed) * 1000))

    def _on_reply(self, reply: Reply) -> None:
        self._end_try(is_cancelled=False)
        if isinstance(reply, Answer):
            self._on_answer(reply)
        elif isinstance(reply, Refusal):
            kind = _kind(reply.kind)
            self._act(
                self.dispatch.on_refusal(
                    kind,
                    reply.in_flight,
                    reply.limit,
                    has_arrived=reply.has_arrived,
                    retry_after=reply.retry_ms / 1000,
                    slowness=reply.slowness,
                    failing=reply.failing,
                ),
            )
        elif isinstance(reply, Failure):
            message = f'target beside {self.node_id} gave no whole answer'
            self._act(
                self.dispatch.on_failure(
                    _kind(reply.kind),
                    message,
                    has_crashed=reply.has_crashed,
                ),
            )
        elif reply.is_sent:
            message = f'connection to {self.node_id} lost: {reply.reason}'
            kind = ErrorKind.TARGET_FAILED
            self._act(self.dispatch.on_failure(kind, message))
        else:
            # Never connected, so the peer cannot have seen the call.
            self._act(self.dispatch.on_refusal(ErrorKind.NO_TARGET, 1, 1))

    def _on_answer(self, answer: Answer) -> None:
        again = self.dispatch.on_answer(
            answer.status,
            answer.in_flight,
            answer.limit,
            has_failed_below=answer.has_failed_below,
            slowness=answer.slowness,
            failing=answer.failing,
        )
        if again is not None:
            self._act(again)
            return
        self._finish(Response(answer.status, answer.headers, answer.body))

    def _on_timeout(self) -> None:
        self._end_try(is_cancelled=self._inbound.is_idempotent)
        message = f'no answer from {self.node_id} in time'
        self._act(self.dispatch.on_failure(ErrorKind.TIMED_OUT, message))

    def _end_try(self, *, is_cancelled: bool) -> None:
        if self._timer is not None:
            self._timer.cancel()
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
        self._links.forget(self.node_id, request_id)
        self._links.send(self.node_id, Cancel(request_id))

    def _finish(self, outcome: Response | Problem) -> None:
        on_done = self._on_done
        self._on_done = None
        if on_done is None:
            return
        self._log_end(outcome)
        on_done(outcome)

    def _log_end(self, outcome: Response | Problem) -> None:
        inbound = self._inbound
        now = self._links.now()
        seconds = now - inbound.received_at
        wanted_at = inbound.first_at + inbound.route.target_latency
        fields = {
            'correlation': inbound.correlation,
            'service': inbound.service_name,
            'route': inbound.route.name,
            'is_inner': inbound.caller != OUTSIDE,
            # Negative where the answer is in time.
            'late_ms': int((now - wanted_at) * 1000),
            'tried': self.dispatch.tried,
            'after_ms': int(seconds * 1000),
            'repeats_ms': int((inbound.received_at - inbound.first_at) * 1000),
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


def _kind(text: str) -> ErrorKind:
    """Return a peer's error kind; one of a later version is internal."""
    try:
        return ErrorKind(text)
    except ValueError:
        return ErrorKind.INTERNAL
