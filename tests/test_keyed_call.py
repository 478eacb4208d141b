"""A request with an idempotency key whose holders refuse or fail."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.errors import ErrorKind, Problem, RunStatus
from bluebellsill.filters import InboundRequest
from bluebellsill.http import Request, Response
from bluebellsill.idempotency import ClaimState, Outcome
from bluebellsill.keyed_call import KeyedCall
from bluebellsill.messages import Claim, ClaimReply, Settle
from bluebellsill.peers import LinkLost

_GRANTS = {ClaimState.GRANTED, ClaimState.UNCERTAIN}
_REPLIES = st.one_of(
    st.sampled_from(list(ClaimState)),
    st.booleans(),  # connection lost; whether the claim had been sent
)


class FakeHolders:
    """Key holders that give predefined replies."""

    def __init__(self, replies: list[ClaimState | bool]) -> None:
        self.replies = replies
        self.claimed: list[str] = []
        self.settled: list[tuple[str, int]] = []

    def holders(self, service: str, scoped_key: str) -> list[tuple[str, int]]:
        """Return as many holders as there are replies."""
        return [(f'holder-{one}', 1) for one in range(len(self.replies))]

    def claim(
        self,
        holder: str,
        claim: Claim,
        on_reply: Callable[[ClaimReply | LinkLost], None],
    ) -> None:
        """Give the next reply."""
        reply = self.replies[len(self.claimed)]
        self.claimed.append(holder)
        if isinstance(reply, bool):
            on_reply(LinkLost('silent', is_sent=reply))
        else:
            on_reply(ClaimReply(claim.id, int(reply), 201, [], b'paid'))

    def settle(self, holder: str, settle: Settle) -> None:
        """Record the outcome sent to a holder."""
        self.settled.append((holder, settle.outcome))


def _run_call(
    replies: list[ClaimState | bool],
    outcome: Response | Problem,
) -> tuple[FakeHolders, int, Response | Problem]:
    holders = FakeHolders(replies)
    request = Request('POST', '/pay/x', [('idempotency-key', 'k')])
    inbound = InboundRequest(request, 'outside', 'c', 0, 'pay')
    runs: list[int] = []
    results: list[Response | Problem] = []

    def run(on_done: Callable[[Response | Problem], None]) -> None:
        runs.append(1)
        on_done(outcome)

    KeyedCall(inbound, holders, run, results.append, 0).start()
    assert len(results) == 1
    return holders, len(runs), results[0]


@given(st.lists(_REPLIES, min_size=2, max_size=2))
def test_runs_only_when_all_grant_and_one_is_certain(replies) -> None:  # noqa: ANN001
    holders, runs, result = _run_call(replies, Response(200))
    states = [one for one in replies if not isinstance(one, bool)]
    is_granted = len(states) == 2 and set(states) <= _GRANTS
    assert runs == (is_granted and ClaimState.GRANTED in states)
    if runs:
        expected = [
            ('holder-0', Outcome.ANSWERED),
            ('holder-1', Outcome.ANSWERED),
        ]
        assert holders.settled == expected
        return
    # Every claim that may have been granted is released.
    assert {outcome for _, outcome in holders.settled} <= {Outcome.NOT_RUN}
    if isinstance(result, Problem):
        is_reused = result.kind is ErrorKind.KEY_REUSED
        assert is_reused or result.response.run is not RunStatus.NOT_RUN


def test_request_that_did_not_run_releases_its_key() -> None:
    problem = Problem(ErrorKind.OVERLOADED, 'full')
    holders, _, result = _run_call([ClaimState.GRANTED] * 2, problem)
    assert result is problem
    assert {one for _, one in holders.settled} == {Outcome.NOT_RUN}


def test_unknown_outcome_does_not_release_the_key() -> None:
    problem = Problem(ErrorKind.OUTCOME_UNKNOWN, 'lost')
    holders, _, _ = _run_call([ClaimState.GRANTED] * 2, problem)
    assert {one for _, one in holders.settled} == {Outcome.UNKNOWN}


def test_earlier_answer_is_replayed() -> None:
    _, runs, result = _run_call(
        [ClaimState.COMPLETED, ClaimState.GRANTED], Response(200)
    )
    assert not runs
    assert isinstance(result, Response)
    assert (result.status, result.body) == (201, b'paid')
    assert result.header('idempotency-replayed') == 'true'


def test_request_without_holders_does_not_run() -> None:
    _, runs, result = _run_call([], Response(200))
    assert not runs
    assert isinstance(result, Problem)
    assert result.kind is ErrorKind.KEY_UNAVAILABLE
