"""Neither time nor memory grows with what operators, targets or callers state.

Neither with the size of a number, nor with how many versions came.
"""

from __future__ import annotations

import json
import tracemalloc
from collections.abc import Callable
from random import Random
from time import process_time
from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill.admission import Decision, Ticket
from bluebellsill.balancing_policy import RoundRobin
from bluebellsill.clock import ManualClock
from bluebellsill.errors import ErrorKind
from bluebellsill.gossip_messages import Member
from bluebellsill.http import Request, Response
from bluebellsill.membership import Members
from bluebellsill.metrics import Metrics
from bluebellsill.operator_feed import FeedSnapshot, FeedUpdate, ZoneWritten
from bluebellsill.operator_state import OperatorState
from bluebellsill.platform.headers import CALLER_HEADERS, LOAD
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.platform.target_dialect import PlatformDialect
from bluebellsill.quarantine import Quarantine
from bluebellsill.replica_version import NO_VERSION, StorePosition
from bluebellsill.resources import Kind
from bluebellsill.retries import RetryBudget
from bluebellsill.route import Route
from bluebellsill.route_interface import RouteInterface
from bluebellsill.route_table import RouteTable
from bluebellsill.router_registry import RouterRegistry
from bluebellsill.slot_gate import SlotGate
from bluebellsill.target_view import TargetView
from bluebellsill.timers import TimerService
from bluebellsill.weighted_round_robin import WeightedRoundRobin
from tests.node_session import NodeSession
from tests.path_rules import path_rule

_VERSIONS = 2000
_HUGE = 10_000_000
_MAX_SECONDS = 0.1  # of processor time


def _growth(act: Callable[[int], object], times: int = _VERSIONS) -> int:
    """Return the bytes that are kept after an act is done many times."""
    tracemalloc.start()
    for number in range(times // 4):
        act(number)
    before, _ = tracemalloc.get_traced_memory()
    for number in range(times // 4, times):
        act(number)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


class _Caller:
    """A node's routes, declared anew and used by one request each time."""

    def __init__(self) -> None:
        self._state = OperatorState(decode_plan)
        self._interface = RouteInterface(
            CALLER_HEADERS,
            'shop',
            self._state,
            WeightedRoundRobin(Random(1)),
            Quarantine(),
            ManualClock(),
            Random(1),
        )

    def declare(self, number: int, rules: list[dict[str, Any]]) -> None:
        """Put the next version in force."""
        document = {
            'version': f'r{number + 1}',
            'virtual_hosts': [{'hostname': 'a.example', 'path_rules': rules}],
        }
        snapshot = FeedSnapshot(
            StorePosition(1, number + 1),
            json.dumps(document).encode(),
            frozenset(),
        )
        self._state.apply_snapshot(snapshot, 'store')

    def request(self, path: str) -> str:
        """Return the service that a request is sent to."""
        request = Request('GET', path, [('host', 'a.example')])
        inbound: Any = SimpleNamespace(request=request, caller='')
        self._interface.filters[0].apply(inbound).unwrap()
        return str(inbound.service_name)


def test_memory_does_not_grow_with_the_versions_of_a_split_route() -> None:
    """The rotations of all weights that ever were in force were kept."""
    caller = _Caller()

    def change(number: int) -> None:
        parts = [
            {'service': 'shop', 'weight': number + 1},
            {'service': 'pay', 'weight': 3},
        ]
        rule = path_rule('/x/', weighted_services=parts, service=None)
        caller.declare(number, [rule])
        caller.request('/x/1')

    assert _growth(change) < 100_000


def test_rotation_goes_on_when_another_route_changes() -> None:
    parts = [
        {'service': 'shop', 'weight': 1},
        {'service': 'pay', 'weight': 1},
    ]
    split = path_rule('/x/', weighted_services=parts, service=None)
    caller = _Caller()
    chosen = []
    for number in range(40):
        caller.declare(number, [split, path_rule(f'/y{number}/')])
        chosen.append(caller.request('/x/1'))
    assert chosen[::2] == [chosen[0]] * 20
    assert chosen[1::2] == [chosen[1]] * 20
    assert chosen[0] != chosen[1]


def test_calls_take_no_longer_at_a_target_that_states_many_slots() -> None:
    """Each offer looked at every slot, and a resize made a list of them."""
    began = process_time()
    gate = SlotGate()
    gate.resize(_HUGE)
    gate.on_slowness(1, 0)
    for _ in range(20):
        assert gate.offer(Ticket(1, 100), 0)[0] is Decision.RUN
    gate.on_load(20)
    gate.expected_wait(Ticket(1, 100), 0)
    assert process_time() - began < _MAX_SECONDS


def test_calls_take_no_longer_at_a_target_that_states_many_requests() -> None:
    """The wait was computed from a list of all that the target said it runs."""
    gate = SlotGate()
    gate.resize(6)
    gate.on_slowness(1, 0)
    gate.on_load(_HUGE)
    began = process_time()
    ticket = Ticket(1, 100)
    gate.offer(ticket, 0)
    assert gate.expected_wait(ticket, 0) > 0
    assert process_time() - began < _MAX_SECONDS


def test_load_header_with_a_corrupt_number_is_not_read() -> None:
    dialect = PlatformDialect()
    for text in ('1,0,1000000000,100', '1000000000000,0,6,100'):
        response = Response(200, [(LOAD, text)])
        assert dialect.load(response) is None
        assert dialect.health(response).slots == 0
    assert dialect.load(Response(200, [(LOAD, '3,1,6,100')])) == 4


def test_memory_does_not_grow_with_the_length_of_cancelled_timeouts() -> None:
    """Each answered call left its timer behind until it would have been due."""
    timers = TimerService(ManualClock())
    periodic: list[float] = []
    timers.every(1, lambda: periodic.append(timers.clock.now()))

    def call(number: int) -> None:
        timers.after(1e9, lambda: None).cancel()

    assert _growth(call, 20_000) < 100_000


def test_timers_that_are_not_cancelled_run_when_due() -> None:
    clock = ManualClock()
    timers = TimerService(clock)
    ran: list[int] = []
    kept = []
    for number in range(3000):
        timer = timers.after(
            1 + number % 7, lambda number=number: ran.append(number)
        )
        if number % 5:
            timer.cancel()
            timer.cancel()
        else:
            kept.append(number)
    for _ in range(8):
        clock.advance(1)
        timers.run_due()
    assert sorted(ran) == kept


def test_path_of_many_slashes_is_matched_at_once() -> None:
    """Each part of the path up to a slash was looked up."""
    route = Route('r', ())
    table = RouteTable([('a.example', '/x/', lambda: route)])
    path = '/' * 64_000
    began = process_time()
    for _ in range(10):
        assert table.match('a.example', path) is None
    assert table.match('a.example', f'/x/{path}') is route
    assert process_time() - began < _MAX_SECONDS


def test_memory_does_not_grow_with_the_names_of_routes_and_services() -> None:
    """Each service and route that was ever used kept its histogram."""
    metrics = Metrics()

    def answer(number: int) -> None:
        metrics.record(f'shop-{number}', f'r-{number}', 'club', 0.01)

    assert _growth(answer) < 1_000_000
    assert 'shop-1999' in metrics.document()['by_service']


def test_memory_does_not_grow_with_the_services_that_were_called() -> None:
    members = Members(Member('10.0.0.1:1', 1, 0, 1, 'a', 's'))
    exclusions: Any = SimpleNamespace(subscribe=lambda listener: None)
    registry = RouterRegistry(members, exclusions, RoundRobin, RetryBudget)
    times = 20_000

    def call(number: int) -> None:
        registry.of_service(f'shop-{number}')

    # As many as are kept are there when the measurement begins.
    assert _growth(call, times) < 1_000_000
    assert registry.of_service('shop-1') is registry.of_service('shop-1')


def test_target_that_fails_thousands_of_times_is_still_avoided() -> None:
    """After 1,024 failures the time to avoid it exceeded a float."""
    view = TargetView('10.0.0.1:1', 'a')
    for _ in range(3000):
        view.on_error_status(1)
    assert 1 < view.avoided_until <= 3


def test_memory_does_not_grow_with_the_zones_that_were_out() -> None:
    """Each zone that was ever returned was remembered, and sent to peers."""
    state = OperatorState(decode_plan)

    def evacuate(number: int) -> None:
        zone = f'zone-{number}'
        first = StorePosition(1, 2 * number + 1)
        second = StorePosition(1, 2 * number + 2)
        for position, is_out in ((first, True), (second, False)):
            written = ZoneWritten(position.revision, zone, is_out=is_out)
            state.apply_update(FeedUpdate((written,), position), 'store')
        assert not state.is_zone_out(zone)

    assert _growth(evacuate, 4000) < 100_000
    snapshot, _ = state.export(NO_VERSION)
    assert len(snapshot) < 20_000


@pytest.mark.parametrize('ends', ('cancelled', 'refused'))
def test_call_that_has_left_the_queue_leaves_no_timers_behind(
    monkeypatch: pytest.MonkeyPatch, ends: str
) -> None:
    """Two were left for each call, due at its deadline, which callers state."""
    session = NodeSession(monkeypatch, service='bookings')
    session.declare(Kind.SERVICE, 'bookings', slots=6)
    session.announce('one')
    session.call_from_peer('runs', '/bookings/1')
    heap = session.reactor.timers._heap
    before = sum(one[2].callback is not None for one in heap)
    for number in range(100):
        run = session.call_from_peer(f'waits-{number}', '/bookings/2')
        assert run is not None
        if ends == 'cancelled':
            session.runner.cancel(run)
        else:
            session.runner.refuse_queue(ErrorKind.LEAVING)
    heap = session.reactor.timers._heap
    assert sum(one[2].callback is not None for one in heap) <= before
