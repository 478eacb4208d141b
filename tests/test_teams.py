"""Keys identify teams, and reach neither targets nor logs."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from result import Err

from bluebellsill.admission import Ticket
from bluebellsill.clock import ManualClock
from bluebellsill.errors import ErrorKind, Problem, RunStatus
from bluebellsill.filters import InboundRequest, run_filters
from bluebellsill.http import Request
from bluebellsill.metrics import Metrics
from bluebellsill.operator_state import OperatorState
from bluebellsill.overload.cost_order import CostOrder
from bluebellsill.overload.priority_order import PriorityOrder
from bluebellsill.platform.headers import CALLER_HEADERS, REQUEST_ID, TEAM
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.quarantine import Quarantine
from bluebellsill.resources import EXTERNAL_CALLER
from bluebellsill.route_interface import RouteInterface
from bluebellsill.slot_tracker import SlotTracker
from bluebellsill.teams import Allowance, Team, TeamDirectory
from bluebellsill.teams.directory import digest_key
from bluebellsill.weighted_round_robin import WeightedRoundRobin
from tests.team_document import HOST, declare, team_document, tenant

_KEY = 'k-3f9a77'
_NEW_KEY = 'k-new-51c0'


class _Entry:
    """The caller interface of one node, which runs ``running`` requests."""

    def __init__(self, *tenants: dict[str, Any], **fields: Any) -> None:
        self.state = OperatorState(decode_plan)
        self.running: list[str] = []
        self.may_run_unknown = False
        self.interface = RouteInterface(
            CALLER_HEADERS,
            'pay',
            self.state,
            WeightedRoundRobin(Random(1)),
            Quarantine(),
            ManualClock(),
            Random(1),
            lambda: self.may_run_unknown,
        )
        declare(self.state, 1, team_document(1, *tenants, **fields))

    def filter(
        self,
        path: str = '/shop/x',
        *headers: tuple[str, str],
        name: str = 'id-1',
    ) -> tuple[InboundRequest, Problem | None]:
        """Apply the filters to a request as an entry node does."""
        request = Request(
            'GET', path, [('host', HOST), (REQUEST_ID, name), *headers]
        )
        is_nested = self.interface.is_nested(request, iter(self.running))
        caller = 'pay' if is_nested else EXTERNAL_CALLER
        inbound = InboundRequest(request, caller, name, 0)
        outcome = run_filters(self.interface.filters, inbound)
        problem = outcome.err_value if isinstance(outcome, Err) else None
        return inbound, problem

    def kind(
        self,
        path: str = '/shop/x',
        *headers: tuple[str, str],
        name: str = 'id-1',
    ) -> ErrorKind | None:
        """Return the kind of the refusal, None for an accepted request."""
        _, problem = self.filter(path, *headers, name=name)
        return problem.kind if problem else None

    def forwarded(self, inbound: InboundRequest) -> dict[str, str]:
        """Return the headers that the target's node gets."""
        return dict(self.interface.forwarded_headers(inbound))


def _token(key: str) -> tuple[str, str]:
    return 'authorization', f'Token {key}'


def test_key_identifies_its_team() -> None:
    entry = _Entry(tenant('club', 'k-0', _KEY), tenant('shop', 'k-2'))
    inbound, problem = entry.filter('/shop/x', _token(_KEY))
    assert problem is None
    assert inbound.team is not None
    assert inbound.team.name == 'club'
    assert inbound.tenant == 'club'
    assert entry.forwarded(inbound)[TEAM] == 'club'


@pytest.mark.parametrize(
    'headers',
    [
        (),
        (('authorization', ''),),
        (('authorization', 'Token'),),
        (('authorization', 'Token '),),
        (('authorization', _KEY),),
        (('authorization', f'Bearer {_KEY}'),),
        (_token('k-none'),),
        (_token(f'{_KEY} {_KEY}'),),
        (_token(_KEY[:-1]),),
        (_token('\xff'),),
        # A client must not choose which of two keys each reader takes.
        (_token(_KEY), _token(_KEY)),
    ],
)
def test_request_without_one_known_key_is_refused(
    headers: tuple[tuple[str, str], ...],
) -> None:
    entry = _Entry(tenant('club', _KEY))
    assert entry.kind('/shop/x', *headers) is ErrorKind.UNAUTHORIZED


def test_refusal_is_a_401_that_names_the_scheme_and_no_key() -> None:
    entry = _Entry(tenant('club', _KEY))
    inbound, problem = entry.filter('/shop/x', _token('k-secret'))
    assert problem is not None
    response = entry.interface.error_response(inbound, problem, None)
    assert response.status == 401
    challenges = [
        text for name, text in response.headers if name == 'www-authenticate'
    ]
    assert challenges == ['Token']
    assert response.header('bluebellsill-run') == RunStatus.NOT_RUN.value
    assert 'k-secret' not in repr(problem)
    assert 'k-secret' not in repr(inbound)
    assert b'k-secret' not in response.encode()


def test_scheme_is_read_in_any_case() -> None:
    """RFC 9110, section 11.1: names of schemes are case-insensitive."""
    entry = _Entry(tenant('club', _KEY))
    for scheme in ('token', 'TOKEN', 'Token '):
        headers = ('authorization', f'{scheme} {_KEY}')
        assert entry.kind('/shop/x', headers) is None


@pytest.mark.parametrize('path', ['/shop/x', '/open/x'])
def test_key_is_not_forwarded(path: str) -> None:
    entry = _Entry(tenant('club', _KEY))
    inbound, _ = entry.filter(path, _token(_KEY), ('accept', 'text/plain'))
    forwarded = entry.forwarded(inbound)
    assert forwarded['accept'] == 'text/plain'
    assert 'authorization' not in forwarded
    assert _KEY not in repr(inbound)


def test_public_route_needs_no_key() -> None:
    entry = _Entry(tenant('club', _KEY))
    for headers in ((), (_token('k-none'),)):
        inbound, problem = entry.filter('/open/x', *headers)
        assert problem is None
        assert inbound.team is None
        assert inbound.tenant == EXTERNAL_CALLER
        assert TEAM not in entry.forwarded(inbound)
    inbound, _ = entry.filter('/open/x', _token(_KEY))
    assert entry.forwarded(inbound)[TEAM] == 'club'


@pytest.mark.parametrize('name', [TEAM, TEAM.replace('-', '_')])
@pytest.mark.parametrize('tenants', [None, [tenant('club', _KEY)]])
def test_team_header_of_a_client_is_removed(name: str, tenants: Any) -> None:
    """A client could otherwise act as another team at the target."""
    entry = _Entry(tenants=tenants)
    for path in ('/open/x', '/shop/x'):
        inbound, _ = entry.filter(path, _token(_KEY), (name, 'forged'))
        assert 'forged' not in entry.forwarded(inbound).values()


def test_without_teams_requests_are_handled_as_before() -> None:
    """Targets of a deployment without teams may check keys themselves."""
    entry = _Entry(tenants=None)
    inbound, problem = entry.filter('/shop/x', _token(_KEY))
    assert problem is None
    assert inbound.team is None
    assert entry.forwarded(inbound)['authorization'] == f'Token {_KEY}'
    entry.running = ['id-1']
    for name in ('id-1', 'id-1.2'):
        inbound, _ = entry.filter('/shop/x', name=name)
        assert inbound.caller == 'pay'


def test_empty_list_of_teams_lets_nobody_in() -> None:
    """An operator who removes the last team does not open all routes."""
    assert _Entry().kind('/shop/x') is ErrorKind.UNAUTHORIZED


def test_nested_call_needs_no_key() -> None:
    entry = _Entry(tenant('club', _KEY))
    # The second is itself nested, and the third id is a client's own.
    entry.running = ['id-1', 'id-2.1', 'v1.2']
    for name in ('id-1.0', 'id-1.0.1', 'id-2.1.f', 'v1.2.3'):
        inbound, problem = entry.filter('/shop/x', name=name)
        assert problem is None
        assert inbound.caller == 'pay'
        assert inbound.team is None
        assert TEAM not in entry.forwarded(inbound)


def test_nested_call_is_not_confused_with_a_request_of_a_client() -> None:
    entry = _Entry(tenant('club', _KEY))
    entry.running = ['id-1']
    # The same id, or one that begins with the same characters.
    for name in ('id-1', 'id-11.0', 'id-2.1', '.id-1'):
        kind = entry.kind('/shop/x', name=name)
        assert kind is ErrorKind.UNAUTHORIZED
    # A target has no keys.
    inbound, problem = entry.filter('/shop/x', _token(_KEY), name='id-1.0')
    assert problem is None
    assert inbound.caller == EXTERNAL_CALLER
    assert inbound.team is not None
    kind = entry.kind('/shop/x', _token('k-none'), name='id-1.0')
    assert kind is ErrorKind.UNAUTHORIZED


def test_possible_nested_call_after_a_restart_is_answered_with_503() -> None:
    """401 would end the work of a request that runs since before a restart."""
    entry = _Entry(tenant('club', _KEY))
    entry.may_run_unknown = True
    inbound, problem = entry.filter('/shop/x', name='id-1.0')
    assert problem is not None
    assert problem.kind is ErrorKind.UNKNOWN_PARENT
    response = entry.interface.error_response(inbound, problem, None)
    assert response.status == 503
    assert response.header('bluebellsill-run') == RunStatus.NOT_RUN.value
    assert entry.kind('/shop/x', name='id-1') is ErrorKind.UNAUTHORIZED
    kind = entry.kind('/shop/x', _token('k-none'), name='id-1.0')
    assert kind is ErrorKind.UNAUTHORIZED


def test_tracker_knows_whether_the_target_may_run_other_requests() -> None:
    tracker = SlotTracker()
    assert tracker.may_have_untracked
    tracker.on_load(2)
    assert tracker.may_have_untracked
    tracker.on_load(0)
    assert not tracker.may_have_untracked


def test_keys_follow_the_document_in_force() -> None:
    entry = _Entry(tenant('club', _KEY))
    document = team_document(2, tenant('club', _NEW_KEY))
    declare(entry.state, 2, document)
    kind = entry.kind('/shop/x', _token(_KEY))
    assert kind is ErrorKind.UNAUTHORIZED
    assert entry.kind('/shop/x', _token(_NEW_KEY)) is None


@pytest.mark.parametrize(
    ('tenants', 'named'),
    [
        ([tenant('club', 'k-1', _KEY), tenant('den', _KEY)], ('club', 'den')),
        ([tenant('club', 'k-1'), tenant('club', _KEY)], ('club',)),
        ([tenant('club', _KEY, '')], ()),
        ([tenant('club\r\nx: y', _KEY)], ()),
        ([tenant('club\n', _KEY)], ()),
        ([tenant(' club', _KEY)], ()),
        ([tenant('', _KEY)], ()),
        ([tenant('c' * 300, _KEY)], ()),
        ([tenant('club', _KEY, rate_per_s=-1)], ()),
        ([tenant('club', _KEY, burst=1e300)], ()),
        ([tenant('club', _KEY, priority=2**70)], ()),
        ([{'name': 'club', 'api_keys': _KEY}], ()),
        ([{'name': 'club', 'api_keys': {_KEY: 1}}], ()),
        ([tenant('club', '\ud800')], ()),
        ({}, ()),
    ],
)
def test_faulty_teams_are_rejected_without_naming_a_key(
    tenants: Any,
    named: tuple[str, ...],
    capsys: pytest.CaptureFixture[str],
) -> None:
    entry = _Entry(tenant('club', _NEW_KEY))
    document = team_document(2, tenants=tenants)
    error = decode_plan(document).unwrap_err()
    assert all(repr(name) in error for name in named)
    assert _KEY not in error
    declare(entry.state, 2, document)
    assert entry.kind('/shop/x', _token(_NEW_KEY)) is None
    assert entry.kind('/shop/x', _token(_KEY)) is ErrorKind.UNAUTHORIZED
    assert _KEY not in ''.join(capsys.readouterr())


def test_team_is_decoded() -> None:
    document = team_document(
        1,
        tenant('club', 'k-0', 'k-0', priority=2, rate_per_s=12.5, burst=7),
        tenant('caf\xe9', 'k-\xe9', rate_per_s=0, burst=7, extra='ignored'),
        {'name': 'none'},
    )
    teams = decode_plan(document).unwrap().teams
    assert teams is not None
    first = teams.find(digest_key(b'k-0'))
    second = teams.find(digest_key('k-\xe9'.encode()))
    assert first is not None
    assert second is not None
    assert first.allowance == Allowance(12.5, 7)
    assert second.allowance is None
    assert second.importance > first.importance


def test_key_and_name_beyond_ascii_are_bytes_of_utf_8() -> None:
    entry = _Entry(tenant('caf\xe9', 'k-\xe9'))
    sent = 'k-\xe9'.encode().decode('latin-1')
    inbound, problem = entry.filter('/shop/x', _token(sent))
    assert problem is None
    stated = entry.forwarded(inbound)[TEAM]
    assert stated.encode('latin-1').decode() == 'caf\xe9'


def test_priority_of_the_team_precedes_that_of_the_route() -> None:
    lowest, highest = -(10**9), 10**9
    tickets = [
        Ticket(
            route_importance,
            expires_at=1,
            team='club',
            team_importance=importance,
        )
        for importance in (lowest, 0, highest)
        for route_importance in (lowest, 0, highest)
    ]
    for order in (PriorityOrder(), CostOrder()):
        starts = [order.start_rank(one, 0.1, 0) for one in tickets]
        classes = [order.class_rank(one, 0) for one in tickets]
        assert classes == sorted(set(classes))
        # Importances of any size keep their order, without an overflow.
        assert starts[0] > starts[4] > starts[8]
    assert starts[0] > starts[3] > starts[6]


def test_directory_keeps_no_key() -> None:
    entries = [(Team(f't{one}'), [f'{_KEY}{one}']) for one in range(77)]
    directory = TeamDirectory.build(entries).unwrap()
    assert _KEY not in repr(vars(directory))
    assert directory.find(digest_key(f'{_KEY}76'.encode())) == Team('t76')
    assert directory.find(digest_key(_KEY.encode())) is None


def test_each_of_77_teams_has_a_histogram() -> None:
    """Teams beyond the 64th shared one."""
    metrics = Metrics()
    for number in range(77):
        metrics.record('shop', 'r', f'team-{number}', 0.1)
    by_tenant = metrics.document()['by_tenant']
    assert len(by_tenant) == 77
    assert by_tenant['team-76']['p50_ms'] == pytest.approx(100, rel=0.1)
