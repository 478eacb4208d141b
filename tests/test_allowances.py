"""Tests of the parts that decide on the allowances of teams."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill.allowances.assembly import allowance_step, observe
from bluebellsill.allowances.grantor import Grantor
from bluebellsill.allowances.grantor_service import GrantorService
from bluebellsill.allowances.grantors import Grantors
from bluebellsill.allowances.member_changes import MemberChanges
from bluebellsill.allowances.population import Population
from bluebellsill.allowances.sliding_minimum import SlidingMinimum
from bluebellsill.allowances.token_bucket import TokenBucket, capacity
from bluebellsill.allowances.token_ledger import TokenLedger
from bluebellsill.clock import ManualClock
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.filters import InboundRequest
from bluebellsill.gossip_messages import Member
from bluebellsill.http import Request
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import (
    Refusal,
    TokenGrant,
    TokenRequest,
    decode,
    encode,
)
from bluebellsill.metrics import Metrics
from bluebellsill.rendezvous import rank
from bluebellsill.resources import EXTERNAL_CALLER, Kind
from bluebellsill.retry_advice import retry_after
from bluebellsill.teams import Allowance, Team
from tests.allowance_world import AllowanceWorld
from tests.node_session import NodeSession

_OWN = '10.0.0.1:1'
_IDS = [f'10.0.0.{index}:1' for index in range(1, 11)]
_ALLOWANCE = Allowance(100, 50)
_RESTARTED = 100_000  # an incarnation of a later start


def _record(
    member_id: str,
    state: MemberState = MemberState.READY,
    incarnation: int = 1,
    version: int = 0,
) -> Member:
    return Member(member_id, incarnation, version, int(state), 'a', 's')


class _View:
    """The population and the grantors of a node that knows ten members."""

    def __init__(self, own: str = _OWN) -> None:
        self.clock = ManualClock(100)
        self.members = Members(_record(own))
        self.population, self.grantors = observe(self.members, self.clock)
        for one in _IDS:
            self.members.merge(_record(one), 100)
        self.clock.advance(40)

    def first(self, team: str = 'atlas') -> str:
        """Return the grantor of a team."""
        return self.grantors.tenure(team, self.clock.now()).grantor

    def share(self) -> float:
        """Return the live share."""
        return self.population.share(self.clock.now())

    def change(self, member_id: str, **fields: Any) -> None:
        """Merge a record of a member."""
        self.members.merge(_record(member_id, **fields), self.clock.now())


def test_minimum_falls_at_once_and_rises_later() -> None:
    """Guards against a share that rises before the other side has shrunk."""
    minimum = SlidingMinimum(3)
    minimum.update(1, 0)
    minimum.update(0.4, 1)
    assert minimum.minimum(1) == 0.4
    minimum.update(1, 2)
    assert minimum.minimum(4.9) == 0.4
    assert minimum.minimum(5.1) == 1


def test_minimum_keeps_few_values() -> None:
    """Guards against memory for each of thousands of changes."""
    minimum = SlidingMinimum(3)
    for step in range(20_000):
        minimum.update(step, step / 10_000)
    assert len(minimum._former) <= 22
    assert minimum.minimum(2) == 0


def test_share_counts_lost_members_but_not_those_that_left() -> None:
    """Guards against a rate that shrinks after a graceful leave."""
    view = _View()
    view.change(_IDS[8], state=MemberState.LEAVING, version=1)
    view.change(_IDS[8], state=MemberState.GONE, version=2)
    assert view.share() == 1
    view.change(_IDS[9], state=MemberState.SUSPECT)
    assert view.share() == pytest.approx(8 / 9)
    view.change(_IDS[9], state=MemberState.GONE)
    assert view.population.known(view.clock.now()) == 9
    view.clock.advance(901)
    assert view.population.known(view.clock.now()) == 8
    view.share()
    view.clock.advance(3.1)
    assert view.share() == 1


def test_share_is_a_half_while_members_are_being_lost() -> None:
    """Guards against a side that grants almost all until it finds the rest."""
    view = _View()
    for one in _IDS[7:9]:
        view.change(one, state=MemberState.SUSPECT)
    assert view.share() == 0.5
    view.clock.advance(3.5)
    assert view.share() == 0.8


def test_share_uses_the_count_of_peers() -> None:
    """Guards against a restarted node that does not know of the lost ones."""
    view = _View()
    view.population.on_peer_count(40, view.clock.now())
    assert view.share() == 0.25
    view.clock.advance(11)
    view.share()
    view.clock.advance(4)
    assert view.share() == 1


def test_node_is_settled_once_no_member_appears() -> None:
    """Guards against a node that decides with a part of the members."""
    population = Population(0)
    population.on_change(None, _record(_OWN), 0)
    population.on_change(None, _record(_IDS[1]), 1.4)
    assert population.settled_at(2.3) is None
    assert population.settled_at(2.5) == pytest.approx(2.4)


def test_refuted_news_of_a_gone_member_is_not_passed_on() -> None:
    """Guards against a rate that collapses when a partition heals."""
    seen: list[tuple[int, int]] = []
    changes = MemberChanges(
        lambda former, record, _: seen.append(
            (former.state if former else -1, record.state)
        )
    )
    ready, gone = _record(_IDS[1]), _record(_IDS[1], MemberState.GONE)
    changes.on_change(ready, gone, 0)
    changes.on_change(gone, _record(_IDS[1], incarnation=2), 1)
    assert seen == [(MemberState.READY, MemberState.READY)]
    changes.on_change(ready, gone, 2)
    changes.flush(4.4)
    assert len(seen) == 1
    changes.flush(4.6)
    assert seen[-1] == (MemberState.READY, MemberState.GONE)


def test_grantor_is_the_first_by_rendezvous_hash() -> None:
    """Guards against nodes that disagree with the same members."""
    view = _View()
    for team in ('atlas', 'boreas', 'ceres'):
        assert view.first(team) == rank(team, _IDS, 1)[0]


def test_rankings_follow_changes_of_members() -> None:
    """Guards against kept rankings that differ from new ones."""
    view = _View()
    teams = [f'team-{index}' for index in range(50)]
    for team in teams:
        view.first(team)
    states = (MemberState.SUSPECT, MemberState.READY, MemberState.LEAVING)
    for version, state in enumerate(states, 1):
        for one in _IDS[2:8]:
            view.change(one, state=state, version=version)
        kept = [view.first(team) for team in teams]
        fresh = Grantors(_OWN, view.members.by_id.values, view.population, 0)
        now = view.clock.now()
        assert kept == [fresh.tenure(team, now).grantor for team in teams]


def test_new_member_takes_over_later_and_is_announced() -> None:
    """Guards against a node that is asked before it knows the others."""
    view = _View()
    team = next(
        one
        for one in (f'team-{index}' for index in range(1000))
        if rank(one, [*_IDS, '10.0.0.99:1'], 1) == ['10.0.0.99:1']
    )
    before = view.first(team)
    view.change('10.0.0.99:1')
    assert view.first(team) == before
    view.clock.advance(1.5)
    assert view.grantors.tenure(team, view.clock.now()).is_contested
    view.clock.advance(0.6)
    assert view.first(team) == '10.0.0.99:1'


def test_restarted_grantor_is_replaced_for_the_time_of_its_start() -> None:
    """Guards against a grantor that has just lost what it granted."""
    view = _View()
    first, second = rank('atlas', _IDS, 2)
    assert view.first() == first
    view.change(first, incarnation=_RESTARTED)
    assert view.first() == second
    view.clock.advance(2.1)
    assert view.first() == first


def test_rejoined_grantor_remains() -> None:
    """Guards against a change of all grantors when a partition heals."""
    view = _View()
    first = view.first()
    view.change(first, incarnation=2)
    assert view.first() == first


def test_change_of_a_member_does_not_rank_all() -> None:
    """Guards against a full ranking of 27,000 nodes for each change."""
    view = _View()
    reads = 0

    def members() -> Any:
        nonlocal reads
        reads += 1
        return view.members.by_id.values()

    grantors = Grantors(_OWN, members, view.population, 0)
    now = view.clock.now()
    grantors.tenure('atlas', now)
    for one in rank('atlas', _IDS, 5):
        gone = _record(one, MemberState.GONE)
        grantors.on_change(_record(one), gone, now)
        grantors.tenure('atlas', now)
    assert reads == 1


def test_rankings_and_buckets_are_bounded() -> None:
    """Guards against memory for each team that ever sent a request."""
    view = _View()
    grantor = Grantor(_OWN, view.grantors, view.population)
    for index in range(10_000):
        team = f'team-{index}'
        grantor.grant(team, 1, _ALLOWANCE, 1, view.clock.now())
    assert len(view.grantors) == 4096
    assert 0 < len(grantor) <= 4096


def _own_view() -> _View:
    return _View(rank('atlas', _IDS, 1)[0])


def test_bucket_grants_burst_and_rate() -> None:
    """Guards against more than the allowance, and less."""
    bucket = TokenBucket(_ALLOWANCE, capacity(_ALLOWANCE, 1), 0)
    assert bucket.take(1000, 0, 1).granted == 65
    assert bucket.take(1000, 1, 1).granted in {65, 64}
    assert bucket.take(1000, 1.25, 0.4).granted == 10


def test_bucket_spreads_the_times_of_denied_nodes() -> None:
    """Guards against nodes that all ask again at the same moment."""
    bucket = TokenBucket(_ALLOWANCE, 0, 0)
    delays = [bucket.take(2, 0, 1).delay for _ in range(70)]
    assert delays[0] == 0.1
    assert max(delays) == 1
    assert len(set(delays)) > 40


def test_new_grantor_begins_with_spare_tokens_and_half_of_the_rate() -> None:
    """Guards against a burst that the predecessor granted just before."""
    view = _own_view()
    own = view.members.own.id
    grantor = Grantor(own, view.grantors, view.population)
    view.members.update_own(state=MemberState.LEAVING)
    now = view.clock.now()
    assert grantor.grant('atlas', 500, _ALLOWANCE, 1, now) is None
    view.members.update_own(state=MemberState.READY)
    grant = grantor.grant('atlas', 500, _ALLOWANCE, 1, now)
    assert grant is not None
    # Half of what is tolerated: a tenth of the requests of 5 s, and 20.
    window = 5 * _ALLOWANCE.rate + _ALLOWANCE.burst
    spare = (0.1 * window + 20) / 2
    assert grant.granted == int(min(spare, capacity(_ALLOWANCE, 0.5)))
    grant = grantor.grant('atlas', 500, _ALLOWANCE, 1, now + 1)
    assert grant is not None
    assert grant.granted == int(capacity(_ALLOWANCE, 0.5))


def test_node_whose_target_left_before_it_settled_grants_nothing() -> None:
    """Guards against two grantors: the others do not take it for one."""
    own = rank('atlas', _IDS, 1)[0]
    clock = ManualClock(100)
    members = Members(_record(own))
    population, grantors = observe(members, clock)
    for one in _IDS:
        members.merge(_record(one), 100)
    # The members are ranked before this node may be the grantor.
    assert grantors.tenure('atlas', 100).grantor != own
    members.update_own(state=MemberState.LEAVING)
    clock.advance(40)
    grantor = Grantor(own, grantors, population)
    assert grantor.grant('atlas', 1, _ALLOWANCE, 1, clock.now()) is None
    members.update_own(state=MemberState.READY)
    assert grantor.grant('atlas', 1, _ALLOWANCE, 1, clock.now()) is not None


def test_grantor_without_history_has_a_full_bucket() -> None:
    """Guards against refusals of a team that was idle for long."""
    view = _own_view()
    grantor = Grantor(view.members.own.id, view.grantors, view.population)
    grant = grantor.grant('atlas', 50, _ALLOWANCE, 1, view.clock.now())
    assert grant is not None
    assert grant.granted == 50


def test_grantor_uses_the_newest_document() -> None:
    """Guards against a node that lags and reports the former limit."""
    view = _own_view()
    grantor = Grantor(view.members.own.id, view.grantors, view.population)
    now = view.clock.now()
    grantor.grant('atlas', 1, _ALLOWANCE, 1, now)
    grantor.grant('atlas', 1, Allowance(10, 0), 2, now)
    grant = grantor.grant('atlas', 500, _ALLOWANCE, 1, now)
    assert grant is not None
    assert grant.granted <= 6


def test_unsettled_node_grants_nothing() -> None:
    """Guards against a restarted node that grants to itself."""
    clock = ManualClock(100)
    members = Members(_record(_OWN))
    population, grantors = observe(members, clock)
    grantor = Grantor(_OWN, grantors, population)
    assert grantor.grant('atlas', 1, _ALLOWANCE, 1, 101.4) is None
    assert grantor.grant('atlas', 1, _ALLOWANCE, 1, 101.6) is not None


@pytest.mark.parametrize(
    ('wanted', 'rate', 'burst'),
    [(0, 10, 1), (-5, 10, 1), (5, 0, 1), (5, -1, 1), (5, float('nan'), 1)],
)
def test_senseless_token_request_gets_nothing(
    wanted: int, rate: float, burst: float
) -> None:
    """Guards against a crash by a message of another version."""
    view = _own_view()
    grantor = Grantor(view.members.own.id, view.grantors, view.population)
    service = GrantorService(grantor, view.population, view.clock, Metrics())
    request = TokenRequest(3, 'atlas', wanted, rate, burst, 1, 10)
    assert service.answer(request) == TokenGrant(3, 0, 0, 10)


def test_token_messages_survive_encoding() -> None:
    """Guards against messages that the decoder does not know."""
    for message in (
        TokenRequest(1, 'atlas', 5, 10.5, 3, 7, 70),
        TokenGrant(1, 5, 100, 70),
    ):
        assert decode(encode(message)) == message


def test_tokens_expire_after_the_time_at_which_they_were_asked_for() -> None:
    """Guards against tokens of a former window."""
    ledger = TokenLedger(_ALLOWANCE, 0)
    ledger.add(3, asked_at=10)
    assert ledger.take(10.39)
    assert ledger.tokens(10.39) == 2
    assert not ledger.take(10.41)


def test_ledger_holds_what_it_expects_to_need() -> None:
    """Guards against a message for each request of a busy team."""
    ledger = TokenLedger(_ALLOWANCE, 0)
    assert ledger.wanted(1, 0) == 1
    for step in range(1000):
        ledger.on_arrival(step / 500)
    assert ledger.wanted(0, 2) == pytest.approx(100, rel=0.1)
    ledger.add(80, 2)
    assert ledger.wanted(0, 2) == 0


def test_lower_limit_voids_held_tokens() -> None:
    """Guards against tokens of the former limit."""
    ledger = TokenLedger(_ALLOWANCE, 0)
    ledger.add(5, 0)
    ledger.change_allowance(Allowance(200, 50))
    assert ledger.tokens(0) == 5
    ledger.change_allowance(Allowance(200, 40))
    assert ledger.tokens(0) == 0


def test_own_bucket_gives_a_part_of_the_rate_without_a_grantor() -> None:
    """Guards against nodes that all admit a request when a grantor fails."""
    ledger = TokenLedger(_ALLOWANCE, 0.5)
    assert not ledger.take_own(10, 0)
    taken = sum(ledger.take_own(10, step / 100) for step in range(1, 1001))
    # 0.3 of 100 a second, by ten nodes, for ten seconds.
    assert taken == pytest.approx(30, abs=1)
    ledger.on_grantor()
    assert sum(ledger.take_own(10, 100) for _ in range(5)) <= 1


def _inbound(world: AllowanceWorld, **fields: Any) -> InboundRequest:
    given: dict[str, Any] = {'caller': EXTERNAL_CALLER, 'team': world.team}
    return InboundRequest(
        Request('GET', '/', [], b''),
        correlation='id',
        received_at=world.clock.now(),
        **(given | fields),
    )


@pytest.mark.parametrize(
    'fields',
    [{'team': None}, {'team': Team('free')}, {'caller': 'shop'}],
)
def test_uncounted_requests_are_admitted_at_once(
    fields: dict[str, Any],
) -> None:
    """Guards against nested calls and other teams that are counted."""
    world = AllowanceWorld(3, _ALLOWANCE)
    step = world.peers_by_id[world.ids[0]].step
    decided: list[Problem | None] = []
    step.admit(_inbound(world, **fields), decided.append)
    assert decided == [None]
    assert not step._queues
    assert world.token_requests == 0


def test_abandoned_request_is_not_decided() -> None:
    """Guards against an answer to a caller that has gone."""
    world = AllowanceWorld(3, _ALLOWANCE)
    world.run(12)
    step = world.peers_by_id[_other(world)].step
    decided: list[Problem | None] = []
    inbound = _inbound(world)
    step.admit(inbound, decided.append)
    step.on_abandoned(inbound)
    world.run(1)
    assert not decided


def test_token_of_a_request_that_has_not_run_returns() -> None:
    """Guards against an allowance that is used up by refused requests."""
    world = AllowanceWorld(3, _ALLOWANCE)
    step = world.peers_by_id[_other(world)].step
    inbound = _inbound(world)
    decided: list[Problem | None] = []
    step.admit(inbound, decided.append)
    world.run(0.1)
    before = world.token_requests
    step.on_not_run(inbound)
    step.admit(_inbound(world), decided.append)
    assert decided == [None, None]
    assert world.token_requests == before


def test_refusal_tells_when_to_come_again() -> None:
    """Guards against a refusal without a usable retry time."""
    world = AllowanceWorld(3, Allowance(10, 0))
    step = world.peers_by_id[_other(world)].step
    decided: list[Problem | None] = []
    for _ in range(30):
        step.admit(_inbound(world), decided.append)
    world.run(0.2)
    refused = [one for one in decided if one is not None]
    assert len(decided) == 30
    assert refused
    assert {one.kind for one in refused} == {ErrorKind.ALLOWANCE_EXCEEDED}
    assert all(0.1 <= one.retry_after <= 1 for one in refused)
    assert retry_after(refused[0], 0.4) == pytest.approx(0.1)


def test_wait_for_an_unreachable_grantor_is_short() -> None:
    """Guards against requests that wait until a link is found dead."""
    world = AllowanceWorld(3, _ALLOWANCE)
    world.run(12)
    other = _other(world)
    world.cut_off([other])
    decided: list[Problem | None] = []
    world.peers_by_id[other].step.admit(_inbound(world), decided.append)
    world.run(0.26)
    assert len(decided) == 1


def _other(world: AllowanceWorld) -> str:
    return next(one for one in world.ids if one != world.grantor_id())


class _FakeStep:
    """An entry step whose decisions a test makes."""

    def __init__(self) -> None:
        self.decide: Callable[[Problem | None], None]
        self.calls: list[str] = []

    def admit(
        self, inbound: InboundRequest, on_decided: Callable[..., None]
    ) -> None:
        self.calls.append('admit')
        self.decide = on_decided

    def on_not_run(self, inbound: InboundRequest) -> None:
        self.calls.append('not run')

    def on_abandoned(self, inbound: InboundRequest) -> None:
        self.calls.append('abandoned')


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> SimpleNamespace:
    session = NodeSession(monkeypatch)
    session.declare(Kind.SERVICE, 'shop', expected_targets=1, deadline_ms=1000)
    session.add_target_node('10.0.0.2:1', 'shop')
    step = _FakeStep()
    session.gateway._entry_step = step
    return SimpleNamespace(session=session, step=step)


def test_gateway_sends_a_request_once_it_is_admitted(
    entry: SimpleNamespace,
) -> None:
    """Guards against requests that run before the decision."""
    entry.session.call('coach', 'GET', '/shop/x')
    assert not entry.session.peer_requests
    entry.step.decide(None)
    entry.session.timers.run_due()
    assert len(entry.session.peer_requests) == 1
    entry.session.reply(lambda one: Refusal(one, 'leaving', 1, 1))
    assert entry.step.calls == ['admit', 'not run']
    assert entry.session.gateway.in_flight == 0


def test_gateway_answers_a_refused_request(entry: SimpleNamespace) -> None:
    """Guards against a refused request that runs or stays open."""
    entry.session.call('coach', 'GET', '/shop/x')
    problem = Problem(ErrorKind.ALLOWANCE_EXCEEDED, 'used up', 0.2)
    entry.step.decide(problem)
    assert not entry.session.peer_requests
    assert entry.session.gateway.in_flight == 0
    assert entry.step.calls == ['admit']
    assert any('429' in line for line in entry.session.lines)


def test_gateway_tells_the_step_of_a_disconnected_caller(
    entry: SimpleNamespace,
) -> None:
    """Guards against a request that waits without a caller."""
    reply = entry.session.call('coach', 'GET', '/shop/x')
    entry.session.disconnect_caller('coach', reply)
    assert entry.step.calls == ['admit', 'abandoned']
    assert entry.session.gateway.in_flight == 0


def test_tokens_are_asked_for_over_the_peer_links(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests or grants that the links do not carry."""
    session = NodeSession(monkeypatch)
    handlers: dict[type, Any] = {}
    peers: Any = SimpleNamespace(
        members=session.members,
        links=session.links,
        server=SimpleNamespace(on=handlers.__setitem__),
    )
    step = allowance_step(peers, lambda: 7, Random(1), Metrics())
    peer = '10.0.0.2:1'
    session.add_target_node(peer, 'shop')
    inbound = InboundRequest(
        Request('GET', '/', [], b''),
        EXTERNAL_CALLER,
        'id',
        0,
        team=Team('atlas', allowance=_ALLOWANCE),
    )
    decided: list[Problem | None] = []
    step.admit(inbound, decided.append)
    session.timers.run_due()
    request = session.sent_messages[-1]
    assert isinstance(request, TokenRequest)
    assert (request.team, request.wanted) == ('atlas', 1)
    assert (request.rate, request.burst) == (100, 50)
    assert (request.document_version, request.known) == (7, 2)
    session.deliver(peer, TokenGrant(request.id, 1, 0, 2))
    assert decided == [None]
    answers: list[Any] = []
    handlers[TokenRequest](SimpleNamespace(send=answers.append), request)
    assert answers == [TokenGrant(request.id, 0, 0, 2)]
