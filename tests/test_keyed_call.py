"""A keyed request at its entry node, with holders that fail."""

from __future__ import annotations

from collections.abc import Callable

from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.errors import ErrorKind, Problem, Run
from bluebellsill.filters import Inbound
from bluebellsill.http import Request, Response
from bluebellsill.idempotency import ClaimState, Outcome
from bluebellsill.keyed_call import KeyedCall
from bluebellsill.messages import Claim, ClaimReply, Settle
from bluebellsill.peers import LinkLost

_GRANTS = {ClaimState.GRANTED, ClaimState.UNCERTAIN}
_REPLIES = st.one_of(
    st.sampled_from(list(ClaimState)),
    st.booleans(),  # a lost connection, and whether the claim was sent
)


class Holders:
    """Two holders that answer as they are told."""

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
        """Answer as the next reply says."""
        reply = self.replies[len(self.claimed)]
        self.claimed.append(holder)
        if isinstance(reply, bool):
            on_reply(LinkLost('silent', is_sent=reply))
        else:
            on_reply(ClaimReply(claim.id, int(reply), 201, [], b'paid'))

    def settle(self, holder: str, settle: Settle) -> None:
        """Note what is settled."""
        self.settled.append((holder, settle.outcome))


def _play(
    replies: list[ClaimState | bool],
    outcome: Response | Problem,
) -> tuple[Holders, int, Response | Problem]:
    holders = Holders(replies)
    request = Request('POST', '/pay/x', [('idempotency-key', 'k')])
    inbound = Inbound(request, 'outside', 'c', 0, 'pay')
    runs: list[int] = []
    told: list[Response | Problem] = []

    def run(on_done: Callable[[Response | Problem], None]) -> None:
        runs.append(1)
        on_done(outcome)

    KeyedCall(inbound, holders, run, told.append, 0).start()
    assert len(told) == 1
    return holders, len(runs), told[0]


@given(st.lists(_REPLIES, min_size=2, max_size=2))
def test_runs_only_when_all_grant_and_one_is_certain(replies) -> None:  # noqa: ANN001
    holders, runs, told = _play(replies, Response(200))
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
    # Whatever may have been granted is given back.
    assert {outcome for _, outcome in holders.settled} <= {Outcome.NOT_RUN}
    if isinstance(told, Problem):
        is_reused = told.kind is ErrorKind.KEY_REUSED
        assert is_reused or told.answer.run is not Run.NOT_RUN


def test_request_that_did_not_run_frees_its_key() -> None:
    problem = Problem(ErrorKind.OVERLOADED, 'full')
    holders, _, told = _play([ClaimState.GRANTED] * 2, problem)
    assert told is problem
    assert {one for _, one in holders.settled} == {Outcome.NOT_RUN}


def test_unknown_outcome_keeps_its_key() -> None:
    problem = Problem(ErrorKind.OUTCOME_UNKNOWN, 'lost')
    holders, _, _ = _play([ClaimState.GRANTED] * 2, problem)
    assert {one for _, one in holders.settled} == {Outcome.UNKNOWN}


def test_earlier_answer_is_replayed() -> None:
    _, runs, told = _play(
        [ClaimState.COMPLETED, ClaimState.GRANTED], Response(200)
    )
    assert not runs
    assert isinstance(told, Response)
    assert (told.status, told.body) == (201, b'paid')
    assert told.header('idempotency-replayed') == 'true'


def test_service_without_holders_runs_nothing() -> None:
    _, runs, told = _play([], Response(200))
    assert not runs
    assert isinstance(told, Problem)
    assert told.kind is ErrorKind.KEY_UNAVAILABLE
