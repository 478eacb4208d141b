"""Tests that bytes with an invalid status are not taken for a response.

A server in trouble may send a status such as 000 or 999. If it is passed on,
the client gets a response that is none; if it is skipped like an interim
response, the request waits until it times out.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from bluebellsill import http_client
from bluebellsill.announcement import Announcement
from bluebellsill.clock import ManualClock
from bluebellsill.errors import RESPONSES_BY_KIND, ErrorKind, Problem
from bluebellsill.filters import InboundRequest
from bluebellsill.http import (
    Request,
    Response,
    is_final_status,
    problem_response,
)
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure, ResponseRules
from bluebellsill.idempotency import ClaimState
from bluebellsill.keyed_call import KeyedCall
from bluebellsill.messages import Answer, ClaimReply
from bluebellsill.metrics import Metrics
from bluebellsill.outbound_call import OutboundCall
from bluebellsill.platform.kv_store import ItemWatch, KvFailure, KvStore
from bluebellsill.resources import Service
from bluebellsill.route import Route
from bluebellsill.streams import Address
from bluebellsill.target_dialect import NativeDialect
from bluebellsill.target_watch import TargetWatch
from bluebellsill.timers import TimerService

# Without a rule, as for the store and discovery probes, and as for targets.
_RULES = {
    'none': ResponseRules(),
    'target': ResponseRules(id_header='x-id', allows_body_until_close=True),
}
_INVALID = (
    *('', '0', '1', '99', '-1', '0200', '1000', '2000', '65736', 'abc'),
    *('000', '001', '099', '600', '700', '999', '101'),
)
_LENGTH = 'x-id: own\r\ncontent-length: 2\r\n\r\nok'
_FRAMINGS = {
    'length': _LENGTH,
    'chunks': 'x-id: own\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n',
    'no length': 'x-id: own\r\n\r\n',
    'upgrade': f'connection: upgrade\r\nupgrade: x\r\n{_LENGTH}',
}
_SOUND = f'HTTP/1.1 200 OK\r\n{_LENGTH}'


class _Stream:
    """A connection whose server side is simulated by the test."""

    is_connected = True
    unsent_bytes = 0

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.is_closed = False
        self.received_eof = False
        self.queued_bytes = 0

    def send(self, payload: bytes) -> None:
        """Accept all bytes."""
        self.queued_bytes += len(payload)

    @property
    def delivered_bytes(self) -> int:
        """The bytes sent so far: all have arrived."""
        return self.queued_bytes

    def has_input(self) -> bool:
        """Return that nothing waits: input is handled when it is played."""
        return False

    def close(self) -> None:
        """Mark the connection as closed."""
        self.is_closed = True

    def lose(self, reason: str) -> None:
        """Close the connection and notify its owner."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.on_lost(reason)


class _Client:
    """A pool of simulated connections, and the outcomes of its requests."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, rules: ResponseRules
    ) -> None:
        self.streams: list[_Stream] = []
        self.outcomes: list[Result[Response, HttpFailure]] = []
        monkeypatch.setattr(
            http_client, 'Stream', SimpleNamespace(connect=self._connect)
        )
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.reactor: Any = SimpleNamespace(timers=self.timers)
        self.pool = HttpPool(self.reactor, Address('127.0.0.1', 1), rules)

    def request(self, method: str = 'GET') -> None:
        """Send a request."""
        self.pool.request(
            Request(method, '/x', [('x-id', 'own')]), 5, self.outcomes.append
        )

    def receive(self, text: str) -> None:
        """Let the latest connection receive bytes."""
        self.streams[-1].owner.on_bytes(text.encode('latin-1'))

    def _connect(self, reactor: Any, address: Address, owner: Any) -> _Stream:
        self.streams.append(_Stream(owner))
        return self.streams[-1]


def _assert_malformed(client: _Client) -> None:
    assert len(client.outcomes) == 1
    outcome = client.outcomes[0]
    assert isinstance(outcome, Err), outcome
    assert outcome.err_value.is_sent
    assert not outcome.err_value.is_timeout
    assert client.streams[0].is_closed
    assert client.pool.open_connections == 0
    client.request()
    client.receive(_SOUND)
    assert len(client.streams) == 2
    assert client.outcomes[1].unwrap().status == 200


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
@pytest.mark.parametrize('rules', _RULES)
@pytest.mark.parametrize('framing', _FRAMINGS)
@pytest.mark.parametrize('status', _INVALID)
def test_invalid_status_fails_the_request_at_once(
    monkeypatch: pytest.MonkeyPatch,
    status: str,
    framing: str,
    rules: str,
    method: str,
) -> None:
    client = _Client(monkeypatch, _RULES[rules])
    client.request(method)
    client.receive(f'HTTP/1.1 {status} X\r\n{_FRAMINGS[framing]}')
    _assert_malformed(client)


@pytest.mark.parametrize('status', ['000', '099', '600', '101', '104', '199'])
@pytest.mark.parametrize('is_split', [False, True])
def test_bytes_behind_an_invalid_status_are_not_the_response(
    monkeypatch: pytest.MonkeyPatch, status: str, is_split: bool
) -> None:
    """Also one behind an interim response that states a body.

    The parser would take the first bytes of the final response for that body.
    """
    client = _Client(monkeypatch, _RULES['target'])
    client.request()
    head = f'HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\n'
    client.receive(head if is_split else head + _SOUND)
    if is_split:
        assert client.streams[0].is_closed
    _assert_malformed(client)


def test_end_of_the_connection_does_not_complete_an_invalid_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    client = _Client(monkeypatch, _RULES['target'])
    client.request()
    client.streams[0].received_eof = True
    client.receive('HTTP/1.1 999 X\r\nx-id: own\r\n\r\n')
    client.streams[0].lose('closed')
    _assert_malformed(client)


@pytest.mark.parametrize('rules', _RULES)
def test_valid_statuses_are_passed_on(
    monkeypatch: pytest.MonkeyPatch, rules: str
) -> None:
    """Whether or not they have a name; 204 and 304 have no body."""
    for status in range(200, 600):
        client = _Client(monkeypatch, _RULES[rules])
        client.request()
        body = '' if status in {204, 304} else 'ok'
        head = f'HTTP/1.1 {status} X\r\nx-id: own\r\n'
        client.receive(f'{head}content-length: {len(body)}\r\n\r\n{body}')
        response = client.outcomes[0].unwrap()
        assert (response.status, response.body) == (status, body.encode())
        start = response.encode().split(b' ', 2)
        assert start[:2] == [b'HTTP/1.1', b'%d' % status]


@pytest.mark.parametrize('status', [100, *range(102, 200)])
def test_interim_responses_are_skipped(
    monkeypatch: pytest.MonkeyPatch, status: int
) -> None:
    """Clients must accept interim responses that they did not ask for."""
    client = _Client(monkeypatch, _RULES['target'])
    client.request()
    client.receive(f'HTTP/1.1 {status} X\r\nlink: y\r\n\r\n{_SOUND}')
    assert isinstance(client.outcomes[0], Ok)
    assert client.outcomes[0].ok_value.status == 200


def test_bytes_behind_a_response_do_not_fail_the_next_request(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is sent while they are read, and must not share their connection."""
    client = _Client(monkeypatch, _RULES['none'])
    record = client.outcomes.append

    def on_first(outcome: Result[Response, HttpFailure]) -> None:
        record(outcome)
        client.request()

    client.pool.request(Request('GET', '/x'), 5, on_first)
    client.receive(_SOUND + _SOUND)
    assert client.streams[0].is_closed
    assert len(client.outcomes) == 1
    client.receive(_SOUND)
    assert [one.unwrap().status for one in client.outcomes] == [200, 200]
    assert len(client.streams) == 2


@pytest.mark.parametrize('status', ['000', '600', '999'])
def test_invalid_status_of_the_store_may_have_run(
    monkeypatch: pytest.MonkeyPatch, status: str
) -> None:
    """A write that is known to have failed would be sent again."""
    client = _Client(monkeypatch, _RULES['none'])
    store = KvStore(client.reactor, Address('127.0.0.1', 1))
    outcomes: list[Result[ItemWatch, KvFailure]] = []
    store.watch('op/', 1, 0, outcomes.append)
    client.receive(f'HTTP/1.1 {status} X\r\n{_LENGTH}')
    assert len(outcomes) == 1
    assert outcomes[0].unwrap_err().may_have_run
    assert client.streams[0].is_closed


@pytest.mark.parametrize('status', ['000', '600', '999'])
def test_invalid_status_fails_a_probe(
    monkeypatch: pytest.MonkeyPatch, status: str
) -> None:
    """A target that answers all probes so would be taken for a sound one."""
    client = _Client(monkeypatch, _RULES['none'])
    owner: Any = SimpleNamespace(
        service_of=lambda _: Service(),
        on_target_reset=lambda: None,
        on_target_changed=lambda: None,
        on_cold_until=lambda _: None,
        on_probed=lambda *_: None,
    )
    watch = TargetWatch(client.reactor, owner, Metrics(), NativeDialect())
    for _ in range(40):
        watch.announce(Announcement('s', '127.0.0.1:1', 'one', False))
        client.clock.advance(0.1)
        client.timers.run_due()
        if client.streams and not client.streams[-1].is_closed:
            client.receive(f'HTTP/1.1 {status} X\r\n{_LENGTH}')
        if watch.announcement is None:
            break
    assert watch.announcement is None
    assert len(client.streams) == 2


def _inbound() -> InboundRequest:
    return InboundRequest(
        Request('PUT', '/x', []),
        caller='',
        correlation='a',
        received_at=0,
        service_name='shop',
        route=Route('r'),
        fingerprint=1,
    )


@pytest.mark.parametrize('status', [0, 99, 101, 600, 999])
def test_invalid_status_from_a_node_is_a_failure(status: int) -> None:
    """A node of an earlier version passes on what its target sent."""
    timers = TimerService(ManualClock())
    failed: list[ErrorKind] = []
    problem = Problem(ErrorKind.TARGET_FAILED, 'invalid')

    def on_failure(kind: ErrorKind, _: str) -> Problem:
        failed.append(kind)
        return problem

    dispatch: Any = SimpleNamespace(
        on_failure=on_failure, tried=[], may_have_run=True
    )
    links: Any = SimpleNamespace(
        now=timers.clock.now, reactor=SimpleNamespace(timers=timers)
    )
    runner: Any = None
    outcomes: list[Response | Problem] = []
    call = OutboundCall(
        _inbound(), dispatch, links, runner, 'own', [], outcomes.append
    )
    call._on_reply(Answer(1, status, [], b'', 0, 6))
    assert failed == [ErrorKind.TARGET_FAILED]
    assert outcomes == [problem]


@pytest.mark.parametrize('status', [0, 99, 101, 600, 999])
def test_invalid_recorded_status_is_not_replayed(status: int) -> None:
    """A node of an earlier version records what its target sent."""
    reply = ClaimReply(1, int(ClaimState.COMPLETED), status)
    holders: Any = SimpleNamespace(
        holders=lambda *_: [('holder', 1)],
        claim=lambda _, claim, on_reply: on_reply(reply),
        settle=lambda *_: None,
    )
    outcomes: list[Response | Problem] = []
    KeyedCall(_inbound(), holders, lambda _: None, outcomes.append, 0).start()
    assert isinstance(outcomes[0], Problem)
    assert outcomes[0].kind is ErrorKind.OUTCOME_UNKNOWN


def test_own_errors_have_valid_statuses() -> None:
    for kind in RESPONSES_BY_KIND:
        response = problem_response(Problem(kind, 'x'))
        assert is_final_status(response.status)
