"""What a node tells of the way of a request, and that it changes nothing."""

from __future__ import annotations

from copy import deepcopy
from random import Random
from typing import Any

import pytest
from msgspec import json

from bluebellsill import ctl_command
from bluebellsill.allowances import TeamTokens
from bluebellsill.balancing_policy import NearestFree
from bluebellsill.clock import ManualClock
from bluebellsill.explain import Explainer, Explanation
from bluebellsill.explain.explanation import Candidate, Decision, NotUsed
from bluebellsill.filters import InboundRequest
from bluebellsill.gossip_messages import Member
from bluebellsill.http import Request, Response
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import CanaryShare
from bluebellsill.metrics import Metrics
from bluebellsill.operator_state import OperatorState
from bluebellsill.platform.endpoints import ExplainApi, MetricsApi
from bluebellsill.platform.explain_client import fetch_explanation
from bluebellsill.platform.headers import CALLER_HEADERS, CREDENTIALS
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.quarantine import Quarantine
from bluebellsill.resources import EXTERNAL_CALLER
from bluebellsill.retries import RetryBudget
from bluebellsill.rollouts.order import CanaryOrder
from bluebellsill.rollouts.traffic import ServiceTraffic
from bluebellsill.route_interface import RouteInterface
from bluebellsill.router_registry import RouterRegistry
from bluebellsill.teams import Allowance, Team
from bluebellsill.weighted_round_robin import WeightedRoundRobin
from tests.allowance_world import AllowanceWorld
from tests.path_rules import path_rule
from tests.team_document import HOST, declare, team_document, tenant

_KEY = 'key-of-club-31b0'
_OWN_ID = '10.0.0.1:1'
_SPLIT = [
    {'service': 'shop', 'weight': 3},
    {'service': 'den', 'weight': 1},
]
_RULES = [
    path_rule('/shop/', route_type='non_idempotent'),
    path_rule('/open/', public=True),
    path_rule('/split/', '', weighted_services=_SPLIT),
]


class _World:
    """The parts of one node that decide on a request, without a network."""

    def __init__(self) -> None:
        self.clock = ManualClock(100)
        self.random = Random(7)
        self.state = OperatorState(decode_plan)
        self.members = Members(_member(1, 'a', service='other'))
        self.tokens: TeamTokens | None = None
        self.traffic: ServiceTraffic | None = None
        self.is_draining = False
        self.lookup: Any = None
        self.round_robin = WeightedRoundRobin(self.random)
        self.interface = RouteInterface(
            CALLER_HEADERS,
            'other',
            self.state,
            self.round_robin,
            Quarantine(),
            self.clock,
            self.random,
        )
        self.registry = RouterRegistry(
            self.members,
            self.state,
            lambda: NearestFree(self.random, 'a'),
            RetryBudget,
            self,
        )
        self.explainer = Explainer(
            self.state,
            self.interface,
            self,
            lambda service: self.registry.preview(
                service, NearestFree(Random(0), 'a')
            ),
            lambda: self.lookup,
            lambda: self.is_draining,
            self.clock,
        )

    # The canary releases of the registry.

    def subscribe(self, listener: Any) -> None:
        """Notify nobody."""

    def of_service(self, service: str) -> ServiceTraffic | None:
        """Return the release of the shop."""
        return self.traffic if service == 'shop' else None

    # The allowances of the explainer.

    def preview(self, team: Team) -> TeamTokens | None:
        """Return the same tokens for all teams."""
        return self.tokens

    def declare(self, *tenants: dict[str, Any], **fields: Any) -> None:
        """Put a document in force."""
        hosts = [{'hostname': HOST, 'path_rules': _RULES}]
        fields = {'virtual_hosts': hosts, **fields}
        declare(self.state, 1, team_document(1, *tenants, **fields))

    def add(self, index: int, zone: str, **fields: Any) -> str:
        """Add a target; return its node."""
        member = _member(index, zone, **fields)
        self.members.merge(member, self.clock.now())
        return member.id

    def explain(self, path: str = '/shop/x', key: str = _KEY) -> Explanation:
        """Explain a request."""
        return self.explainer.explain(_request(path, key))

    def route(self, path: str, attempts: int) -> tuple[str, list[str]]:
        """Route a request as the gateway does; return service and nodes."""
        inbound = InboundRequest(
            _request(path, _KEY), EXTERNAL_CALLER, '', self.clock.now()
        )
        for one in self.interface.filters:
            one.apply(inbound).unwrap()
        router = self.registry.of_service(inbound.service_name).router
        tried: list[str] = []
        for _ in range(attempts):
            view = router.choose(tried, self.clock.now())
            if view is not None:
                tried.append(view.id)
        return inbound.service_name, tried


def _member(
    index: int,
    zone: str,
    *,
    service: str = 'shop',
    state: MemberState = MemberState.READY,
    slots: int = 6,
    target_version: str = 'v1',
) -> Member:
    node_id = f'10.0.0.{index}:1'
    return Member(
        node_id, 1, 0, state, zone, service, slots, False, target_version
    )


def _request(path: str, key: str = '') -> Request:
    stated = [(CREDENTIALS, f'Token {key}')] if key else []
    return Request('GET', path, [('host', HOST), *stated])


@pytest.fixture
def world() -> _World:
    """A node with three targets of a shop and one of a den."""
    found = _World()
    for index, zone in ((2, 'a'), (3, 'a'), (4, 'b')):
        found.add(index, zone)
    found.add(5, 'a', service='den')
    found.declare(tenant('club', _KEY, priority=2, rate_per_s=5, burst=3))
    return found


def _order(explanation: Explanation) -> list[str]:
    return [one.node for one in explanation.candidates if one.attempt]


def _of(explanation: Explanation, node_id: str) -> Candidate:
    found = [one for one in explanation.candidates if one.node == node_id]
    return found[0]


def _refusal(explanation: Explanation) -> tuple[str, int] | None:
    refusal = explanation.refusal
    return (refusal.kind, refusal.status) if refusal else None


def _canary(world: _World, share: float) -> None:
    """Release v2, of which node 6 has a target."""
    world.traffic = ServiceTraffic(
        CanaryOrder('shop', 'v2', 60), frozenset(('v1',))
    )
    news = CanaryShare(
        'shop', 'v2', 0, 0, 1, 1, '10.0.0.9:1', 'running', share, 1, ('v1',)
    )
    assert world.traffic.on_share(news, world.clock.now())
    world.add(6, 'a', target_version='v2')


def _snapshot(world: _World) -> Any:
    """Return all state that a request's route depends on."""
    services = world.registry._routing_by_service
    traffic = world.traffic
    return deepcopy(
        (
            world.round_robin._credit_by_split,
            world.random.getstate(),
            traffic
            and (traffic._due, traffic._requests, traffic._canary_requests),
            traffic and traffic._version_by_id,
            list(services),
            [one.is_current for one in services.values()],
            [one.router.views_by_id for one in services.values()],
            [one.router._policy._index for one in services.values()],
            [one.router.outlier_detector._calls for one in services.values()],
            [one.budget._available for one in services.values()],
        )
    )


def test_the_next_requests_go_where_the_explanation_said(
    world: _World,
) -> None:
    """An explanation that moves a rotation or a trial on is wrong itself."""
    _canary(world, 0.3)
    world.route('/split/x', 1)
    world.route('/shop/x', 1)
    world.route('/split/x', 4)
    chance = Random(3)
    services, first_nodes = set(), set()
    for step in range(400):
        world.clock.advance(chance.random() / 5)
        now = world.clock.now()
        assert world.traffic is not None
        world.traffic.heard_at = now
        path = chance.choice(('/shop/x', '/split/x'))
        before = _snapshot(world)
        explained = [world.explain(path) for _ in range(3)]
        assert _snapshot(world) == before, step
        assert explained[0] == explained[1] == explained[2]
        attempts = chance.randint(1, 3)
        service, nodes = world.route(path, attempts)
        assert explained[0].next_service == service
        assert _order(explained[0])[:attempts] == nodes
        services.add(service)
        first_nodes.add(nodes[0])
        view = world.registry.of_service(service).router.views_by_id[nodes[0]]
        detector = world.registry.of_service(service).router.outlier_detector
        detector.on_answer(view, 'r', chance.choice((0.01, 0.2)), now)
        view.on_performance_report(chance.choice((1, 1, 4)), 0, now)
        view.on_load_report(chance.randint(0, 8), 6, now)
        if chance.random() < 0.1:
            view.on_failure(now)
        if chance.random() < 0.1:
            world.add(7, 'a')
    assert services == {'shop', 'den'}
    assert len(first_nodes) >= 4


def test_trial_of_a_slow_target_is_told_and_left_to_the_request(
    world: _World,
) -> None:
    """An explanation that takes the trial delays the end of an exclusion."""
    world.route('/shop/x', 1)
    for view in world.registry.of_service('shop').router.views_by_id.values():
        view.answer_count = 5
        view.relative_latency = 10 if view.id == '10.0.0.4:1' else 1
        view.relative_latency_at = world.clock.now()
    assert _order(world.explain())[-1] == '10.0.0.4:1'
    world.clock.advance(20)
    before = _snapshot(world)
    for _ in range(2):
        assert _order(world.explain())[0] == '10.0.0.4:1'
    assert _snapshot(world) == before
    assert world.route('/shop/x', 1)[1] == ['10.0.0.4:1']
    assert _order(world.explain())[0] != '10.0.0.4:1'


def test_targets_that_are_not_in_the_router_yet_are_explained_as_they_will_be(
    world: _World,
) -> None:
    """The router is brought up to date by the request, not before it."""
    world.route('/shop/x', 1)
    added = world.add(8, 'a')
    before = _snapshot(world)
    explained = world.explain()
    assert added in _order(explained)
    assert _snapshot(world) == before
    assert world.route('/shop/x', 4)[1] == _order(explained)


def test_a_first_request_is_not_predicted(world: _World) -> None:
    """Rotations start at random; a stated service or order would be a guess."""
    explained = world.explain('/split/x')
    assert explained.next_service is None
    assert not explained.candidates
    assert explained.refusal is None
    shares = [(one.name, one.weight) for one in explained.services]
    assert shares == [('shop', 3), ('den', 1)]
    explained = world.explain('/shop/x')
    assert not explained.is_order_known
    assert len(_order(explained)) == 3
    assert not world.registry._routing_by_service
    world.route('/shop/x', 1)
    assert world.explain('/shop/x').is_order_known


def test_route_and_team_are_shown(world: _World) -> None:
    explained = world.explain()
    assert explained.document_version == 1
    route, team = explained.route, explained.team
    assert route is not None and team is not None
    assert (route.name, route.is_idempotent) == ('r-shop-shop', False)
    assert (route.timeout_ms, route.target_latency_ms) == (1000, 500)
    assert route.importance == 999
    assert team.name == 'club'
    assert team.allowance is not None
    assert (team.allowance.rate, team.allowance.burst) == (5, 3)
    assert team.allowance.decision is Decision.ASKS_GRANTOR
    assert explained.refusal is None


@pytest.mark.parametrize(
    ('tokens', 'decision'),
    [
        (TeamTokens(2, 0, 0, False, True), Decision.HAS_TOKEN),
        (TeamTokens(2, 0.3, 0, False, True), Decision.HAS_TOKEN),
        (TeamTokens(0, 0.3, 0, False, True), Decision.REFUSED),
        (TeamTokens(0, 0, 1000, True, True), Decision.REFUSED),
        (TeamTokens(0, 0, 4, False, True), Decision.ASKS_GRANTOR),
        (TeamTokens(0, 0, 0, False, False), Decision.NO_GRANTOR),
    ],
)
def test_allowance_of_the_team(
    world: _World, tokens: TeamTokens, decision: Decision
) -> None:
    """A token that is held is used even while more are denied."""
    world.tokens = tokens
    explained = world.explain()
    assert explained.team is not None and explained.team.allowance is not None
    assert explained.team.allowance.decision is decision
    is_refused = decision is Decision.REFUSED
    assert (_refusal(explained) == ('allowance_exceeded', 429)) is is_refused
    if is_refused and explained.refusal is not None:
        expected_ms = round(tokens.denied_seconds * 1000)
        assert explained.refusal.retry_after_ms == expected_ms
    # The target is shown in any case, as the refusal ends.
    assert _order(explained)


def test_refusals_of_the_filters(world: _World) -> None:
    assert _refusal(world.explain('/nowhere')) == ('unknown_route', 404)
    assert world.explain('/nowhere').route is None
    for key in ('', 'key-of-nobody-07'):
        explained = world.explain('/shop/x', key)
        assert _refusal(explained) == ('unauthorized', 401)
        assert explained.team is None
        assert explained.route is not None
    assert world.explain('/open/x', '').refusal is None
    assert _refusal(_World().explain()) == ('not_configured', 503)


def test_unknown_key_waits_or_is_not_judged_by_an_old_view(
    world: _World,
) -> None:
    """401 from a node that cannot know would make the owner change the key."""

    class Lookup:
        age_is_too_high = False

        def may_change(self, inbound: InboundRequest, outcome: Any) -> bool:
            return bool(inbound.unknown_key)

        def is_stale(self, inbound: InboundRequest) -> bool:
            return self.age_is_too_high

    world.lookup = Lookup()
    refusal = world.explain('/shop/x', 'key-of-nobody-07').refusal
    assert refusal is not None and refusal.waits
    assert refusal.kind == 'unauthorized'
    missing = world.explain('/shop/x', '').refusal
    assert missing is not None and not missing.waits
    world.lookup.age_is_too_high = True
    explained = world.explain('/shop/x', 'key-of-nobody-07')
    assert _refusal(explained) == ('stale', 503)


def test_refusals_of_the_node(world: _World) -> None:
    world.is_draining = True
    assert _refusal(world.explain()) == ('leaving', 503)
    world.is_draining = False
    for index in (2, 3, 4):
        leaving = MemberState.LEAVING
        world.add(index, 'a', state=leaving)
    explained = world.explain()
    assert _refusal(explained) == ('no_target', 503)
    assert {one.not_used for one in explained.candidates} == {NotUsed.NOT_READY}


def test_state_of_the_candidates(world: _World) -> None:
    world.route('/shop/x', 1)
    now = world.clock.now()
    views = world.registry.of_service('shop').router.views_by_id
    views['10.0.0.2:1'].on_performance_report(4, 0.5, now)
    views['10.0.0.2:1'].on_load_report(3, 6, now)
    views['10.0.0.3:1'].on_failure(now)
    explained = world.explain()
    assert _order(explained) == ['10.0.0.4:1', '10.0.0.2:1', '10.0.0.3:1']
    slowed = _of(explained, '10.0.0.2:1')
    assert (slowed.slowness, slowed.failure_share) == (4, 0.5)
    assert (slowed.expected_load, slowed.limit) == (3, 6)
    # 4 for the slowness, 0.4 * 3 / 6 for the load, 4 * 0.5 for the failures.
    assert slowed.cost == pytest.approx(6.2)
    assert _of(explained, '10.0.0.3:1').avoided_ms == 100
    assert _of(explained, '10.0.0.4:1').zone == 'b'


def test_versions_without_traffic(world: _World) -> None:
    _canary(world, 0)
    world.add(9, 'a', target_version='v0')
    explained = world.explain()
    canary, other = (_of(explained, f'10.0.0.{one}:1') for one in (6, 9))
    assert canary.not_used is NotUsed.OTHER_VERSION
    assert canary.version_gets_traffic
    assert other.not_used is NotUsed.VERSION
    assert not other.version_gets_traffic
    assert _of(explained, '10.0.0.2:1').version_gets_traffic


def test_answer_is_bounded_for_a_service_of_many_targets(
    world: _World,
) -> None:
    for index in range(10, 210):
        world.add(index, 'a')
    explained = world.explain()
    # At most 8 targets of the own zone and one other are called.
    assert len(_order(explained)) == 9
    assert len(explained.candidates) == 64
    assert explained.candidates_left_out == 203 - 64
    assert explained.candidates[-1].not_used is NotUsed.SUBSET


class _Reply:
    """Keeps the response."""

    def send(self, response: Response) -> None:
        self.response = response


def _fetch(world: _World, method: str, path: str, key: str = '') -> Response:
    reply: Any = _Reply()
    api = MetricsApi(Metrics(), ExplainApi(world.explainer))
    headers = _request('/', key).headers
    api.handle(Request(method, path, headers), reply)
    response: Response = reply.response
    return response


def test_answer_is_json_without_the_key(world: _World) -> None:
    query = f'/explain?host={HOST}&path=%2Fshop%2Fx%3Fa%3D1'
    for key in (_KEY, 'key-of-nobody-07'):
        response = _fetch(world, 'GET', query, key)
        assert response.status == 200
        assert key.encode() not in response.body
        assert json.decode(response.body)['path'] == '/shop/x?a=1'
    team = json.decode(_fetch(world, 'GET', query, _KEY).body)['team']
    assert team['name'] == 'club'


@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [
        ('POST', f'/explain?host={HOST}&path=/', 405),
        ('GET', '/explain', 400),
        ('GET', f'/explain?host={HOST}', 400),
        ('GET', f'/explain?host={HOST}&path=shop', 400),
        ('GET', '/explain?' + '&'.join('host=a' for _ in range(9)), 400),
        ('GET', '/explained', 404),
    ],
)
def test_malformed_queries_are_refused(
    world: _World, method: str, path: str, status: int
) -> None:
    assert _fetch(world, method, path).status == status


def test_preview_of_tokens_changes_nothing() -> None:
    """Neither the expired tokens of a team nor the time of a denial change."""
    allowance = Allowance(50, 10)
    fleet = AllowanceWorld(3, allowance)
    fleet.demand(20)
    fleet.run(2)
    peer = next(iter(fleet.peers_by_id.values()))
    queue = next(iter(peer.step._queues.values()))
    team = Team('club', 0, allowance)
    queue.ledger.add(3, fleet.clock.now())
    queue.ledger.add(2, fleet.clock.now() - 10)
    queue.ledger.denied_until = fleet.clock.now() + 1
    before = deepcopy(vars(queue.ledger))
    held = queue.ledger.copy().tokens(fleet.clock.now())
    name = next(iter(peer.step._queues))
    found = peer.step.preview(Team(name, 0, queue.ledger.allowance))
    assert found is not None
    assert found.tokens == held >= 3
    assert found.denied_seconds == pytest.approx(1)
    # A lowered allowance voids the tokens and the denial, but not before the
    # first request with it.
    lowered = peer.step.preview(Team(name, 0, Allowance(1, 1)))
    assert lowered is not None
    assert (lowered.tokens, lowered.denied_seconds) == (0, 0)
    assert vars(queue.ledger) == before
    assert peer.step.preview(Team('unseen', 0, allowance)) is None
    assert peer.step.preview(Team(team.name)) is None


@pytest.mark.parametrize(
    ('stated', 'is_terminal', 'expected'),
    [
        (_KEY, True, _KEY),
        ('', True, ''),
        (None, True, 'typed'),
        # A prompt would block a script, or take its input for a key.
        (None, False, ''),
    ],
)
def test_key_comes_from_the_environment_or_a_prompt(
    monkeypatch: pytest.MonkeyPatch,
    stated: str | None,
    is_terminal: bool,
    expected: str,
) -> None:
    monkeypatch.delenv('BLUEBELLSILL_KEY', raising=False)
    if stated is not None:
        monkeypatch.setenv('BLUEBELLSILL_KEY', stated)
    monkeypatch.setattr(ctl_command, 'getpass', lambda _: 'typed')
    monkeypatch.setattr('sys.stdin.isatty', lambda: is_terminal, raising=False)
    assert ctl_command._read_key() == expected


def test_malformed_key_is_not_shown() -> None:
    """The HTTP library quotes a header that it refuses."""
    for key in (f'{_KEY}\r\nx: y', f'{_KEY}\udc80'):
        with pytest.raises(ValueError, match='the key has') as caught:
            fetch_explanation('127.0.0.1:1', HOST, '/shop/x', key)
        assert _KEY not in str(caught.value)
