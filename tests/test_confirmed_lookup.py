"""Requests wait for the document that may accept them, and not for long."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Result

from bluebellsill.clock import ManualClock
from bluebellsill.errors import ErrorKind, Problem, RunStatus
from bluebellsill.filters import InboundRequest, run_filters
from bluebellsill.gateway import Gateway
from bluebellsill.http import Request, Response
from bluebellsill.metrics import Metrics
from bluebellsill.operator_state import OperatorState
from bluebellsill.platform.headers import CALLER_HEADERS, DEADLINE, REQUEST_ID
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.quarantine import Quarantine
from bluebellsill.resources import EXTERNAL_CALLER
from bluebellsill.route_interface import RouteInterface
from bluebellsill.teams import ConfirmedLookup
from bluebellsill.timers import TimerService
from bluebellsill.view_age import ViewAge
from bluebellsill.weighted_round_robin import WeightedRoundRobin
from tests.path_rules import path_rule
from tests.team_document import HOST, declare, team_document, tenant
from tests.view_world import Node, World

_KEY = 'k-3f9a77'
_NEW_KEY = 'k-new-51c0'
_READER = '10.0.0.1:1'
_LIMIT = 64  # requests that wait at a time


class _Entry:
    """The filters of an entry node, and its view of the store."""

    def __init__(self, **fields: Any) -> None:
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.state = OperatorState(decode_plan)
        self.view = ViewAge(self.clock)
        self.metrics = Metrics()
        self.interface = RouteInterface(
            CALLER_HEADERS,
            'pay',
            self.state,
            WeightedRoundRobin(Random(1)),
            Quarantine(),
            self.clock,
            Random(1),
        )
        self.lookup = ConfirmedLookup(
            self.interface.filters,
            DEADLINE,
            self.state,
            self.view,
            self.timers,
            self.metrics,
        )
        self.settled: list[tuple[InboundRequest, ErrorKind | None]] = []
        declare(self.state, 1, team_document(1, tenant('a', _KEY), **fields))
        self.advance(0.1)
        self.confirm()

    def send(
        self, key: str = _NEW_KEY, path: str = '/shop/x', **headers: str
    ) -> InboundRequest:
        """Apply the filters to a request, and look it up again."""
        named = [
            (name.replace('_', '-'), text) for name, text in headers.items()
        ]
        if key:
            named.append(('authorization', f'Token {key}'))
        request = Request('GET', path, [('host', HOST), *named])
        inbound = InboundRequest(
            request, EXTERNAL_CALLER, 'id', self.clock.now()
        )

        def on_settled(outcome: Result[None, Problem]) -> None:
            kind = outcome.err_value.kind if isinstance(outcome, Err) else None
            self.settled.append((inbound, kind))

        outcome = run_filters(self.interface.filters, inbound)
        self.lookup.settle(inbound, outcome, on_settled)
        return inbound

    def confirm(self, ago: float = 0) -> None:
        """Let the store have had nothing newer some seconds ago."""
        self.view.confirm(self.clock.now() - ago, _READER)
        self.timers.run_due()

    def declare(self, version: int, *tenants: Any, **fields: Any) -> None:
        """Put the next document in force."""
        declare(self.state, version, team_document(version, *tenants, **fields))
        self.timers.run_due()

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / 0.01)):
            self.clock.advance(0.01)
            self.timers.run_due()

    @property
    def kinds(self) -> list[ErrorKind | None]:
        """The decisions so far, None for accepted requests."""
        return [kind for _, kind in self.settled]


def test_key_is_accepted_as_soon_as_its_document_arrives() -> None:
    """Clients use a new key before all nodes have read the document."""
    entry = _Entry()
    inbound = entry.send()
    entry.advance(0.2)
    assert not entry.settled
    entry.declare(2, tenant('a', _KEY), tenant('b', _NEW_KEY))
    assert entry.kinds == [None]
    assert inbound.team is not None
    assert inbound.team.name == 'b'
    assert inbound.key_tag
    assert inbound.key_version == 2
    entry.confirm()
    entry.advance(2)
    assert len(entry.settled) == 1


def test_unknown_key_is_refused_once_the_view_is_confirmed() -> None:
    entry = _Entry()
    entry.send()
    entry.advance(0.1)
    # The store may have got the key after that.
    entry.confirm(ago=0.15)
    entry.confirm(ago=0.11)
    assert not entry.settled
    # A document without the key is not the newest one for certain.
    entry.declare(2, tenant('a', _KEY), tenant('b', 'k-other'))
    assert not entry.settled
    entry.confirm(ago=0.05)
    assert entry.kinds == [ErrorKind.UNAUTHORIZED]


def test_request_waits_no_longer_than_a_second() -> None:
    entry = _Entry()
    entry.send()
    entry.advance(0.95)
    assert not entry.settled
    entry.advance(0.1)
    assert entry.kinds == [ErrorKind.UNAUTHORIZED]


def test_request_is_answered_before_its_caller_gives_up() -> None:
    entry = _Entry()
    entry.send(**{DEADLINE.replace('-', '_'): '300'})
    entry.advance(0.25)
    assert entry.kinds == [ErrorKind.UNAUTHORIZED]


@pytest.mark.parametrize('key', ['', 'a b'])
def test_only_keys_are_looked_up_again(key: str) -> None:
    """No document accepts a request without a key, unless it has no teams."""
    entry = _Entry()
    entry.send('')
    entry.send(_KEY)
    assert entry.kinds == [ErrorKind.UNAUTHORIZED, None]
    entry.send(key, authorization=f'Token {_KEY}' if key else 'Bearer x')
    assert entry.kinds[-1] is ErrorKind.UNAUTHORIZED


def test_old_view_refuses_unknown_keys_as_not_run() -> None:
    """401 would tell the owner of a new key that it is wrong."""
    entry = _Entry()
    entry.advance(2.6)
    inbound = entry.send()
    entry.send(_KEY)
    entry.send('')
    entry.send(path='/open/x')
    assert entry.kinds == [
        ErrorKind.STALE,
        None,
        ErrorKind.UNAUTHORIZED,
        None,
    ]
    problem = Problem(ErrorKind.STALE, '')
    response = entry.interface.error_response(inbound, problem, None)
    assert response.status == 503
    assert response.header('bluebellsill-run') == RunStatus.NOT_RUN.value


def test_view_that_gets_old_during_the_wait_refuses_as_not_run() -> None:
    entry = _Entry()
    entry.advance(2)
    entry.send()
    assert not entry.settled
    entry.advance(1.1)
    assert entry.kinds == [ErrorKind.STALE]


def test_requests_beyond_the_limit_are_answered_at_once() -> None:
    """Clients without a key could otherwise fill the node."""
    entry = _Entry()
    for _ in range(_LIMIT + 3):
        entry.send()
    assert entry.kinds == 3 * [ErrorKind.UNAUTHORIZED]
    entry.confirm()
    entry.advance(0.1)
    entry.confirm()
    assert len(entry.settled) == _LIMIT + 3
    assert entry.metrics.counts['lookups_waited'] == _LIMIT
    assert entry.metrics.counts['lookups_turned_away'] == 3


def test_abandoned_request_is_forgotten() -> None:
    entry = _Entry()
    waiting = [entry.send() for _ in range(_LIMIT)]
    entry.lookup.on_abandoned(waiting[0])
    entry.lookup.on_abandoned(waiting[0])
    entry.send()
    assert not entry.settled
    entry.advance(0.1)
    entry.confirm()
    assert waiting[0] not in [inbound for inbound, _ in entry.settled]
    assert len(entry.settled) == _LIMIT


def test_route_is_looked_up_again_while_there_are_teams() -> None:
    entry = _Entry()
    new = entry.send(_KEY, '/new/x')
    entry.send(_KEY, '/none/x')
    assert not entry.settled
    hosts = [
        {'hostname': HOST, 'path_rules': [path_rule('/new/')]},
    ]
    entry.declare(2, tenant('a', _KEY), virtual_hosts=hosts)
    assert entry.kinds == [None]
    assert new.team is not None
    assert 'authorization' not in dict(entry.interface.forwarded_headers(new))
    entry.advance(0.1)
    entry.confirm()
    assert entry.kinds == [None, ErrorKind.UNKNOWN_ROUTE]


def test_unknown_route_of_an_old_view_is_still_404() -> None:
    entry = _Entry()
    entry.advance(2.6)
    entry.send(_KEY, '/none/x')
    entry.advance(1.1)
    assert entry.kinds == [ErrorKind.UNKNOWN_ROUTE]


def test_without_teams_nothing_waits() -> None:
    """Deployments without teams are served as before."""
    entry = _Entry(tenants=None)
    entry.send(path='/none/x')
    assert entry.kinds == [ErrorKind.UNKNOWN_ROUTE]


def test_request_may_end_while_another_is_decided() -> None:
    """Sending one request on may close the connection of another."""
    entry = _Entry()
    other = entry.send()
    first = entry.send()
    entry.lookup.on_abandoned(other)
    waiting = entry.lookup._waiting[0]
    later = entry.send()
    waiting.on_settled = lambda _: entry.lookup.on_abandoned(later)
    entry.advance(0.1)
    entry.confirm()
    assert not entry.settled
    assert not entry.lookup._waiting
    assert first is waiting.inbound


def test_key_that_waits_appears_in_no_text(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    entry = _Entry()
    lines: list[Any] = []
    # Recorded here, because only so many lines a second are written.
    recorder = SimpleNamespace(
        info=lambda *texts, **fields: lines.append((texts, fields))
    )
    monkeypatch.setattr(entry.lookup, '_log', recorder)
    inbound = entry.send()
    assert _NEW_KEY not in repr(inbound)
    assert _NEW_KEY not in repr(inbound.request)
    entry.advance(1.1)
    assert len(lines) == 1
    assert _NEW_KEY not in repr(lines)
    assert not inbound.unknown_key


class _Reply:
    def __init__(self) -> None:
        self.on_abandoned: Any = None
        self.response: Response | None = None

    def send(self, response: Response) -> None:
        self.response = response


def _gateway(entry: _Entry) -> Gateway:
    links: Any = SimpleNamespace(reactor=SimpleNamespace(timers=entry.timers))
    unused: Any = None
    gateway = Gateway(
        _READER, entry.interface, unused, links, unused, entry.metrics
    )
    gateway.lookup = entry.lookup
    return gateway


def _request(key: str = _NEW_KEY) -> Request:
    headers = [
        ('host', HOST),
        (REQUEST_ID, 'id'),
        ('authorization', f'Token {key}'),
    ]
    return Request('GET', '/shop/x', headers)


def test_caller_may_disconnect_while_its_request_waits() -> None:
    """The node would count the request as in flight for ever."""
    entry = _Entry()
    gateway = _gateway(entry)
    left, stayed = _Reply(), _Reply()
    for reply in (left, stayed):
        gateway.handle(_request(), reply, EXTERNAL_CALLER)  # type: ignore[arg-type]
    assert gateway.in_flight == 2
    left.on_abandoned()
    assert gateway.in_flight == 1
    entry.advance(0.1)
    entry.confirm()
    assert gateway.in_flight == 0
    assert left.response is None
    assert stayed.response is not None
    assert stayed.response.status == 401
    assert stayed.on_abandoned is None
    assert entry.metrics.counts['abandoned'] == 1


def test_stopping_node_does_not_call_an_unknown_key_wrong() -> None:
    """It no longer reads the store, so its document may lack new keys."""
    entry = _Entry()
    gateway = _gateway(entry)
    kinds = []
    for key in (_NEW_KEY, ''):
        reply = _Reply()
        gateway.refuse(_request(key), reply, ErrorKind.LEAVING)  # type: ignore[arg-type]
        assert reply.response is not None
        kinds.append(reply.response.header('bluebellsill-error'))
    assert kinds == ['leaving', 'unauthorized']


def test_refusals_are_counted_by_team() -> None:
    """Requests without a known key have no team and need no name."""
    entry = _Entry()
    gateway = _gateway(entry)
    gateway.ends_at = 0
    for key in (_KEY, _NEW_KEY):
        gateway.handle(_request(key), _Reply(), EXTERNAL_CALLER)  # type: ignore[arg-type]
    entry.advance(1.1)
    assert entry.metrics.counts['answered_leaving'] == 1
    assert entry.metrics.counts['answered_unauthorized'] == 1
    assert entry.metrics.refusals_by_team == {'a': 1}


def _play_lookups(seed: int, *, has_lookups: bool) -> tuple[int, list[float]]:
    """Return the store calls of some nodes, and the waits of lookups."""
    world = World((4, 3, 3), seed)
    world.settle()
    calls = world.store.calls
    waits: list[float] = []
    lookups = [_attach(node) for node in world.nodes] if has_lookups else []
    for _ in range(40):
        for lookup in lookups:
            inbound = InboundRequest(
                Request('GET', '/'), EXTERNAL_CALLER, '', world.clock.now()
            )
            inbound.unknown_key = _NEW_KEY
            _send(lookup, inbound, world, waits)
        world.play(0.07)
    world.play(1.2)
    return world.store.calls - calls, waits


class _RefuseAll:
    """Refuses every request for an unknown key."""

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        inbound.unknown_key = _NEW_KEY
        return Err(Problem(ErrorKind.UNAUTHORIZED, ''))


def _attach(node: Node) -> ConfirmedLookup:
    state: Any = SimpleNamespace(
        plan=SimpleNamespace(teams=True), subscribe=node.state.subscribe
    )
    return ConfirmedLookup(
        (_RefuseAll(),), DEADLINE, state, node.view, node.timers, Metrics()
    )


def _send(
    lookup: ConfirmedLookup,
    inbound: InboundRequest,
    world: World,
    waits: list[float],
) -> None:
    lookup.settle(
        inbound,
        _RefuseAll().apply(inbound),
        lambda _: waits.append(world.clock.now() - inbound.received_at),
    )


def test_lookups_cost_no_store_call_and_wait_for_the_next_confirmation() -> (
    None
):
    for seed in range(4):
        without, _ = _play_lookups(seed, has_lookups=False)
        with_lookups, waits = _play_lookups(seed, has_lookups=True)
        assert with_lookups == without
        assert len(waits) == 40 * 10
        assert max(waits) < 0.9, max(waits)
        assert sum(waits) / len(waits) < 0.45
