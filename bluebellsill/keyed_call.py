"""Runs a request with an idempotency key at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.errors import ErrorKind, Problem, RunStatus
from bluebellsill.http import Response, is_final_status
from bluebellsill.idempotency import ClaimState, Outcome
from bluebellsill.messages import Claim, ClaimReply, Settle
from bluebellsill.peers import LinkLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.filters import InboundRequest
    from bluebellsill.messages import Incarnations

__all__ = ('KeyedCall', 'KeyHolderClient')

_CLAIM_MARGIN = 5.0  # seconds from the deadline until a claim expires

_PROBLEMS_BY_STATE = {
    ClaimState.IN_PROGRESS: Problem(
        ErrorKind.KEY_IN_PROGRESS,
        'a request with this idempotency key is running; retry later',
    ),
    ClaimState.COMPLETED_WITHOUT_BODY: Problem(
        ErrorKind.KEY_COMPLETED,
        'the request with this idempotency key has run,'
        ' but its response was too large to keep',
    ),
    ClaimState.UNKNOWN: Problem(
        ErrorKind.OUTCOME_UNKNOWN,
        'a request with this idempotency key may have run;'
        ' its outcome is unknown',
    ),
    ClaimState.REUSED: Problem(
        ErrorKind.KEY_REUSED,
        'this idempotency key was already used for a different request',
    ),
    ClaimState.NOT_HOLDER: Problem(
        ErrorKind.KEY_UNAVAILABLE,
        'the nodes disagree on which of them hold this idempotency key;'
        ' retry soon',
    ),
    ClaimState.LOST: Problem(
        ErrorKind.OUTCOME_UNKNOWN,
        'the record of this idempotency key may be lost;'
        ' the request may have run',
    ),
    ClaimState.FULL: Problem(
        ErrorKind.KEY_UNAVAILABLE,
        'a node that holds this idempotency key cannot store more records',
    ),
}


class KeyHolderClient(Protocol):
    """Sends claims to the nodes that hold the record of a key."""

    def holders(self, service: str, scoped_key: str) -> Incarnations:
        """Return the holders that this node knows, highest rank first."""

    def claim(
        self,
        holder: str,
        claim: Claim,
        on_reply: Callable[[ClaimReply | LinkLost], None],
    ) -> None:
        """Send a claim to a holder."""

    def settle(self, holder: str, settle: Settle) -> None:
        """Report the outcome of a claimed request to a holder."""


class KeyedCall:
    """Claims the key at each holder in turn, then runs the request.

    All nodes ask the holder of the highest rank first, so that of several
    requests with the same key at most one goes on to the second holder.
    """

    def __init__(
        self,
        inbound: InboundRequest,
        key_holders: KeyHolderClient,
        run: Callable[[Callable[[Response | Problem], None]], None],
        on_done: Callable[[Response | Problem], None],
        now: float,
    ) -> None:
        """Prepare a call; ``start`` begins it.

        Args:
            inbound: The caller's request.
            key_holders: Sends claims to the holders.
            run: Runs the request once the claim is granted.
            on_done: Called once with the outcome.
            now: The time in seconds.
        """
        self._inbound = inbound
        self._key_holders = key_holders
        self._run = run
        self._on_done = on_done
        self._lifetime_ms = int(
            (max(0, inbound.deadline - now) + _CLAIM_MARGIN) * 1000,
        )
        self._holders: Incarnations = []
        self._granted: list[str] = []
        self._is_certain = False

    def start(self) -> None:
        """Claim the key at the first holder."""
        inbound = self._inbound
        self._holders = self._key_holders.holders(
            inbound.service_name,
            inbound.scoped_key,
        )
        if not self._holders:
            message = (
                f'no node holds idempotency keys of {inbound.service_name}'
            )
            self._refuse(Problem(ErrorKind.KEY_UNAVAILABLE, message))
            return
        self._claim_next()

    def _claim_next(self) -> None:
        holder = self._holders[len(self._granted)][0]
        inbound = self._inbound
        claim = Claim(
            0,
            inbound.scoped_key,
            inbound.fingerprint,
            inbound.correlation,
            self._lifetime_ms,
            self._holders,
        )
        self._key_holders.claim(
            holder,
            claim,
            lambda reply: self._on_reply(holder, reply),
        )

    def _on_reply(self, holder: str, reply: ClaimReply | LinkLost) -> None:
        if isinstance(reply, LinkLost):
            # The claim may have been granted, so it has to be released too.
            self._granted.append(holder)
            message = f'holder {holder} of this idempotency key did not answer'
            self._refuse(Problem(ErrorKind.KEY_UNAVAILABLE, message))
            return
        state = _claim_state(reply.state)
        if state in {ClaimState.GRANTED, ClaimState.UNCERTAIN}:
            self._is_certain |= state is ClaimState.GRANTED
            self._granted.append(holder)
            self._on_granted()
        elif state is ClaimState.COMPLETED and not is_final_status(
            reply.status
        ):
            # A node of an earlier version has recorded such an answer.
            message = f'the recorded answer has status {reply.status}'
            self._refuse(Problem(ErrorKind.OUTCOME_UNKNOWN, message))
        elif state is ClaimState.COMPLETED:
            self._release()
            headers = [*reply.headers, ('idempotency-replayed', 'true')]
            response = Response(reply.status, headers, reply.body)
            self._on_done(response)
        else:
            self._refuse(_PROBLEMS_BY_STATE[state])

    def _on_granted(self) -> None:
        if len(self._granted) < len(self._holders):
            self._claim_next()
        elif self._is_certain:
            self._inbound.granted_by = self._granted
            self._run(self._on_run)
        else:
            message = (
                'the record of this idempotency key may be lost;'
                ' the request may have run'
            )
            self._refuse(Problem(ErrorKind.OUTCOME_UNKNOWN, message))

    def _on_run(self, outcome: Response | Problem) -> None:
        inbound = self._inbound
        if isinstance(outcome, Response):
            settle = Settle(
                inbound.scoped_key,
                inbound.correlation,
                int(Outcome.ANSWERED),
                outcome.status,
                outcome.headers,
                outcome.body,
            )
        else:
            has_not_run = outcome.response.run is RunStatus.NOT_RUN
            known = Outcome.NOT_RUN if has_not_run else Outcome.UNKNOWN
            settle = Settle(inbound.scoped_key, inbound.correlation, int(known))
        for holder in self._granted:
            self._key_holders.settle(holder, settle)
        self._on_done(outcome)

    def _refuse(self, problem: Problem) -> None:
        self._release()
        self._on_done(problem)

    def _release(self) -> None:
        inbound = self._inbound
        release = Settle(
            inbound.scoped_key,
            inbound.correlation,
            int(Outcome.NOT_RUN),
        )
        for holder in self._granted:
            self._key_holders.settle(holder, release)


def _claim_state(number: int) -> ClaimState:
    """Return a claim state from a peer; unrecognized ones are UNKNOWN."""
    try:
        return ClaimState(number)
    except ValueError:
        return ClaimState.UNKNOWN
