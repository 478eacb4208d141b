"""Entries and reports that another writer has left are passed over."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from bluebellsill.clock import ManualClock
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.messages import MessageError, decode
from bluebellsill.node_directory import DirectoryEntry
from bluebellsill.operator_state import OperatorState
from bluebellsill.platform.endpoints import TargetReportApi
from bluebellsill.platform.headers import STORE_EPOCH
from bluebellsill.platform.kv_store import (
    Item,
    ItemPage,
    KvFailure,
    KvStore,
)
from bluebellsill.platform.node_keys import NODE_PREFIX, NodeKeys
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.streams import Address
from bluebellsill.target_reports import Departure, TargetReport
from bluebellsill.timers import TimerService
from demo.mesh_harness import MeshDeployment, fetch, running, wait_until
from tests.path_rules import path_rule

_NESTED = b'[' * 100_000 + b']' * 100_000
_LONG_NUMBER = b'9' * 5000
_MAX_INT = 2**63 - 1  # that messages between nodes can carry

_ODD_VALUES = (
    b'',
    b'\xff\x00',
    b'null',
    b'[]',
    b'{}',
    b'{"zone":7}',
    b'{"zone":' + _LONG_NUMBER + b'}',
    b'{"zone":' + _NESTED + b'}',
    b'{"zone":"a","other":' + _NESTED + b'}',
    _NESTED,
)
_ODD_NAMES = (
    '',
    'name',
    'name:80',
    '10.0.0.9',
    '10.0.0.9:',
    '10.0.0.9:0',
    '10.0.0.9:65536',
    '10.0.0.9:-1',
    '10.0.0.9:1e3',
    '10.0.0.9:' + '9' * 150,
    '10.0.0.999:80',
    '10.0.0.9:80:80',
    '[::1]:80',
    ' 10.0.0.9:80',
    '10.0.0.9:８０',
)


class _ListingStore:
    """A store with the given items."""

    def __init__(self, items: list[Item]) -> None:
        self._items = items

    def range(self, prefix: str, after: str, on_done: Any, **_: Any) -> None:
        on_done(Ok(ItemPage(self._items, 9)))


def _listed(items: list[Item]) -> list[DirectoryEntry]:
    listings: list[Result[list[DirectoryEntry], Any]] = []
    store: Any = _ListingStore(items)
    NodeKeys(store).list_nodes(listings.append, allow_stale=True)
    return listings[0].unwrap()


def test_odd_entry_hides_no_other_node() -> None:
    good = [
        Item(f'{NODE_PREFIX}10.0.0.{index}:7000', b'{"zone":"a"}', 1)
        for index in (1, 2)
    ]
    odd = [
        Item(f'{NODE_PREFIX}10.0.0.9:7000', value, 1) for value in _ODD_VALUES
    ]
    odd += [
        Item(f'{NODE_PREFIX}{name}', b'{"zone":"a"}', 1) for name in _ODD_NAMES
    ]
    found = _listed([good[0], *odd, good[1]])
    assert found == [
        DirectoryEntry('10.0.0.1:7000', 'a'),
        DirectoryEntry('10.0.0.2:7000', 'a'),
    ]


@pytest.mark.parametrize(
    'body',
    [
        b'{"items":[],"current_rev":1,"more":' + _NESTED + b'}',
        b'{"items":[],"current_rev":' + _LONG_NUMBER + b'}',
        b'{"items":[],"current_rev":' + b'9' * 30 + b'}',
        b'{"items":[],"current_rev":-4}',
    ],
)
def test_odd_answer_of_the_store_is_a_failure(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    def request(
        pool: HttpPool,
        request: Request,
        timeout: float,
        on_done: Any,
        **_: Any,
    ) -> None:
        on_done(Ok(Response(200, [], body)))

    monkeypatch.setattr(HttpPool, 'request', request)
    reactor: Any = SimpleNamespace(timers=TimerService(ManualClock()))
    store = KvStore(reactor, Address('10.0.0.1', 1))
    answers: list[Result[ItemPage, KvFailure]] = []
    store.range('op/', '', answers.append)
    assert isinstance(answers[0], Err)


@pytest.mark.parametrize('epoch', ['', 'x', '-1', '1.5', '9' * 5000, '２'])
def test_odd_epoch_of_the_store_is_ignored(
    monkeypatch: pytest.MonkeyPatch, epoch: str
) -> None:
    epochs = ['3', epoch, '3']

    def request(
        pool: HttpPool,
        request: Request,
        timeout: float,
        on_done: Any,
        **_: Any,
    ) -> None:
        headers = [(STORE_EPOCH, epochs.pop(0))]
        on_done(Ok(Response(200, headers, b'{"items":[],"current_rev":1}')))

    monkeypatch.setattr(HttpPool, 'request', request)
    reactor: Any = SimpleNamespace(timers=TimerService(ManualClock()))
    store = KvStore(reactor, Address('10.0.0.1', 1))
    answers: list[Result[ItemPage, KvFailure]] = []
    while epochs:
        store.range('op/', '', answers.append)
    assert all(isinstance(answer, Ok) for answer in answers)
    assert store.epoch == 3


def _report(**changes: Any) -> bytes:
    report = {
        'address': '10.0.0.1:80',
        'info': {'service': 's', 'version': 'v', 'zone': 'a', 'slots': 6},
        'status': {'state': 'ready', 'sequence': 1, 'cold_left_ms': 0},
        'born': int(time.time() * 1000),
    }
    for path, value in changes.items():
        *parents, name = path.split('__')
        place: Any = report
        for parent in parents:
            place = place[parent]
        place[name] = value
    return json.dumps(report).encode()


_FAR_FUTURE_MS = int(time.time() * 1000) + 10 * 365 * 86_400_000
_ODD_REPORTS = (
    b'',
    b'\xff',
    _NESTED,
    _report()[:-1] + b',"other":' + _NESTED + b'}',
    _report()[:-1] + b',"born":' + _LONG_NUMBER + b'}',
    _report(born=10**30),
    _report(born=_FAR_FUTURE_MS),
    _report(born=-1),
    _report(born=1.5),
    _report(status__sequence=10**30),
    _report(status__sequence='1'),
    _report(status__cold_left_ms=1e300),
    _report(status__state='resting'),
    _report(info__slots=0),
    _report(info__slots=10**9),
    _report(info__service='other'),
    _report(address='10.0.0.1:99999'),
    _report(info=[]),
)


class _Reply:
    def __init__(self) -> None:
        self.responses: list[Response] = []

    def send(self, response: Response) -> None:
        self.responses.append(response)


@pytest.mark.parametrize('body', _ODD_REPORTS, ids=lambda body: body[:40])
@pytest.mark.parametrize('method', ['PUT', 'DELETE'])
def test_odd_report_is_refused_and_changes_nothing(
    method: str, body: bytes
) -> None:
    reports: list[TargetReport] = []
    departures: list[Departure] = []
    api = TargetReportApi('s', '10.0.0.1:80', reports.append, departures.append)
    reply: Any = _Reply()
    api.handle(Request(method, '/instances/i-1', [], body), reply)
    assert len(reply.responses) == 1
    if method == 'PUT':
        assert reply.responses[0].status == 400
    assert not reports
    # What a notice of a departure does not need may be odd; its start time is
    # either one that a target can have or not stated.
    assert all(one.born_ms < _FAR_FUTURE_MS for one in departures)


def _document(version: str, **changes: Any) -> bytes:
    rule = {
        'name': 'r',
        'prefix': '/x/',
        'route_type': 'idempotent',
        'timeout_ms': 100,
        'service': 's',
    }
    document = {
        'version': version,
        'virtual_hosts': [{'hostname': 'h', 'path_rules': [rule | changes]}],
    }
    return json.dumps(document).encode()


@pytest.mark.parametrize(
    'document',
    [
        _NESTED,
        _document('r1')[:-1] + b',"other":' + _NESTED + b'}',
        _document('r' + '9' * 5000),
        _document('r' + '9' * 30),
        _document('r1', priority=10**30),
        _document('r1', max_attempts=10**30),
        _document('r1', timeout_ms=1e300),
    ],
    ids=lambda document: document[:40],
)
def test_odd_document_is_an_error_of_the_decoder(document: bytes) -> None:
    assert isinstance(decode_plan(document), Err)


def test_largest_version_is_carried_between_nodes() -> None:
    largest = decode_plan(_document('r' + '9' * 18)).unwrap()
    assert largest.version <= _MAX_INT


def test_odd_bytes_of_a_peer_are_an_error_of_the_decoder() -> None:
    nested = b'\x91' * 100_000 + b'\x01'
    with pytest.raises(MessageError):
        decode(nested)
    state = OperatorState(decode_plan)
    with pytest.raises(ValueError, match='peer sent an invalid snapshot'):
        state.merge(b'\x94\x01\xc4\x00\x90' + nested, [], 'peer')


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """Two nodes that serve, and odd entries in all that they read."""
    with running(tmp_path) as found:
        for index, value in enumerate(_ODD_VALUES):
            found.operate('PUT', f'{NODE_PREFIX}10.9.0.{index}:7000', value)
        for name in _ODD_NAMES:
            if name.isascii() and name.strip() == name:
                found.operate('PUT', f'{NODE_PREFIX}{name}', b'{"zone":"a"}')
        found.add('a', 'shop')
        found.add('b', 'shop')
        found.declare([path_rule('/shop/')])
        wait_until(lambda: _serve(found, 'shop'), 'all nodes serve')
        yield found


def _serve(found: MeshDeployment, prefix: str) -> bool:
    return all(found.call(vm, f'/{prefix}/x').status == 200 for vm in found.vms)


def test_nodes_meet_and_follow_the_store_despite_odd_entries(
    deployment: MeshDeployment,
) -> None:
    started = deployment.add('c', 'pay')
    wait_until(lambda: _serve(deployment, 'shop'), 'the started node serves', 5)
    for vm in deployment.vms[:2]:
        for body in _ODD_REPORTS:
            path = '/instances/i-odd'
            fetch(vm.ports['reports'], 'PUT', path, body)
    deployment.operate('PUT', 'op/config', _document('r' + '9' * 5000))
    deployment.operate('PUT', 'op/config', _NESTED)
    deployment.operate('PUT', f'op/evacuate/{"9" * 100}', _NESTED)
    time.sleep(1)
    deployment.declare([path_rule('/shop/'), path_rule('/new/')])
    wait_until(lambda: _serve(deployment, 'new'), 'the change is in force', 2)
    for vm in deployment.vms:
        assert vm.node is not None
        assert not vm.node.has_ended
        log = (deployment.folder / f'{vm.name}.log').read_text('utf-8')
        assert 'task failed' not in log
    assert started.node is not None
