"""Tests that bytes behind a response get into no other response (review/6).

A faulty server sends additional bytes after a complete response, cut off
anywhere. They used to become the beginning of the next response on that
connection, or its status.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from result import Err, Ok, Result

from bluebellsill import http_client
from bluebellsill.announcement import Announcement
from bluebellsill.clock import ManualClock
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure, ResponseRules
from bluebellsill.metrics import Metrics
from bluebellsill.platform.kv_store import ItemPage, KvFailure, KvStore
from bluebellsill.platform.target_dialect import PlatformDialect
from bluebellsill.resources import Service
from bluebellsill.streams import Address
from bluebellsill.target_watch import TargetWatch
from bluebellsill.timers import TimerService
from bluebellsill.watch_rules import WatchRules

_WITH_IDS = ResponseRules(id_header='x-id', allows_body_until_close=True)
_WITHOUT_IDS = ResponseRules()
_NOT_RUN = b'HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n'
_REMAINDERS = {
    'error page': (
        b'HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/html\r\n'
        b'Content-Length: 400\r\n\r\n<html><body>internal error, please'
    ),
    'not executed': _NOT_RUN + b'content-length: 0\r\nx-trace: abc\r\n\r\n',
    'not executed without a length': _NOT_RUN + b'x-trace: abc\r\n\r\n',
    'not executed in chunks': (
        _NOT_RUN + b'transfer-encoding: chunked\r\n\r\n'
        b'4\r\nfull\r\n0\r\nx-trace: abc\r\n\r\n'
    ),
    'of an earlier request': (
        b'HTTP/1.1 200 OK\r\nx-id: earlier\r\nx-not-run: 1\r\n'
        b'content-length: 30\r\n\r\n{"of":"an earlier request"...}'
    ),
    'success without an id': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother'
    ),
    'success in chunks': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
        b'5\r\nother\r\n0\r\nx-trailer: abc\r\n\r\n'
    ),
    'interim': (
        b'HTTP/1.1 103 Early Hints\r\nlink: </style.css>\r\n\r\n'
        b'HTTP/1.1 100 Continue\r\nx-trace: abc\r\n\r\n'
    ),
    'upgrade': (
        b'HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n'
        b'connection: upgrade\r\n\r\n\x00\x01'
    ),
    'line breaks': b'\r\n\r\n' + _NOT_RUN + b'content-length: 0\r\n\r\n',
    'no protocol': b'\x16\x03\x01\x00<html> {"a": 1}',
}
_OWN_BODY = b'{"id":"own"}'
_OWN_RESPONSES = {
    'length': (
        b'HTTP/1.1 200 OK\r\nx-id: own\r\ncontent-length: 12\r\n'
        b'x-stamp: s\r\n\r\n' + _OWN_BODY
    ),
    'id last': (
        b'HTTP/1.1 200 OK\r\ncontent-length: 12\r\nx-stamp: s\r\n'
        b'x-id: own\r\n\r\n' + _OWN_BODY
    ),
    'length last': (
        b'HTTP/1.1 200 OK\r\nx-id: own\r\nx-stamp: s\r\n'
        b'content-length: 12\r\n\r\n' + _OWN_BODY
    ),
    'chunks': (
        b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-id: own\r\n'
        b'x-stamp: s\r\n\r\n5\r\n{"id"\r\n7\r\n:"own"}\r\n0\r\n\r\n'
    ),
}
_FIRST = b'HTTP/1.1 200 OK\r\nx-id: earlier\r\ncontent-length: 2\r\n\r\nok'


class _Stream:
    """A connection whose server side is simulated by the test."""

    def __init__(self, owner: Any) -> None:
        self.owner = owner
        self.is_connected = True
        self.is_closed = False
        self.received_eof = False
        self.unsent_bytes = 0
        self.queued_bytes = 0
        self.undelivered = 0  # bytes that the server has not got yet
        self.waiting = b''  # input that was not read yet
        self.sent: list[bytes] = []

    def send(self, payload: bytes) -> None:
        """Accept all bytes."""
        self.sent.append(payload)
        self.queued_bytes += len(payload)

    @property
    def delivered_bytes(self) -> int:
        """Return how many bytes the server has got."""
        return self.queued_bytes - self.undelivered

    def has_input(self) -> bool:
        """Return whether input waits to be read."""
        return bool(self.waiting)

    def close(self) -> None:
        """Mark the connection as closed."""
        self.is_closed = True

    def lose(self, reason: str) -> None:
        """Close the connection and notify its owner."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.on_lost(reason)

    def receive(self, payload: bytes, step: int = 0) -> None:
        """Read bytes in pieces of ``step`` bytes, or at once."""
        size = step or max(1, len(payload))
        for start in range(0, len(payload), size):
            if not self.is_closed:
                self.owner.on_bytes(payload[start : start + size])

    def end(self) -> None:
        """End the connection from the side of the server."""
        self.received_eof = True
        self.lose('closed by the other side')


class _Client:
    """A pool of simulated connections."""

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, rules: ResponseRules
    ) -> None:
        self.streams: list[_Stream] = []
        monkeypatch.setattr(
            http_client, 'Stream', SimpleNamespace(connect=self._connect)
        )
        self.clock = ManualClock()
        self.reactor: Any = SimpleNamespace(timers=TimerService(self.clock))
        self.pool = HttpPool(self.reactor, Address('127.0.0.1', 1), rules)

    def request(
        self,
        request_id: str,
        outcomes: list[Result[Response, HttpFailure]],
        then: Any = None,
    ) -> None:
        """Send a request; ``then`` is called after its outcome."""

        def on_done(outcome: Result[Response, HttpFailure]) -> None:
            outcomes.append(outcome)
            if then is not None:
                then()

        request = Request('POST', '/', [('x-id', request_id)])
        self.pool.request(request, 5, on_done)

    def _connect(self, reactor: Any, address: Address, owner: Any) -> _Stream:
        self.streams.append(_Stream(owner))
        return self.streams[-1]


def _assert_own_or_failure(
    outcomes: list[Result[Response, HttpFailure]], context: object
) -> None:
    """Check that a request that has run got its own response or none.

    A failure must not say that the request has not run.
    """
    assert len(outcomes) <= 1, context
    for outcome in outcomes:
        if isinstance(outcome, Err):
            assert outcome.err_value.is_sent, context
            continue
        response = outcome.ok_value
        found = (response.status, response.body, response.header('x-not-run'))
        assert found == (200, _OWN_BODY, ''), context


@pytest.mark.parametrize('rules', [_WITH_IDS, _WITHOUT_IDS])
@pytest.mark.parametrize('name', _REMAINDERS)
def test_bytes_in_the_read_of_a_response_end_its_connection(
    monkeypatch: pytest.MonkeyPatch, name: str, rules: ResponseRules
) -> None:
    """The next request is sent while they are being read, as in review/6."""
    remainder = _REMAINDERS[name]
    for end in range(1, len(remainder) + 1):
        client = _Client(monkeypatch, rules)
        first: list[Result[Response, HttpFailure]] = []
        second: list[Result[Response, HttpFailure]] = []

        def send_second(client: _Client = client, found: Any = second) -> None:
            client.request('own', found)

        client.request('earlier', first, send_second)
        client.streams[0].receive(_FIRST + remainder[:end])
        assert first[0].unwrap().body == b'ok'
        is_line_break = not remainder[:end].strip(b'\r\n')
        if not is_line_break:
            assert client.streams[0].is_closed, end
        client.streams[-1].receive(_OWN_RESPONSES['length'])
        assert second[0].unwrap().body == _OWN_BODY


@pytest.mark.parametrize('rules', [_WITH_IDS, _WITHOUT_IDS])
@pytest.mark.parametrize('name', _REMAINDERS)
def test_bytes_on_an_idle_connection_end_it(
    monkeypatch: pytest.MonkeyPatch, name: str, rules: ResponseRules
) -> None:
    """Also if they have arrived but are still to be read."""
    remainder = _REMAINDERS[name]
    for is_read in (True, False):
        client = _Client(monkeypatch, rules)
        outcomes: list[Result[Response, HttpFailure]] = []
        client.request('earlier', outcomes)
        client.streams[0].receive(_FIRST)
        if is_read:
            client.streams[0].receive(remainder[:1])
        else:
            client.streams[0].waiting = remainder[:1]
        client.request('own', outcomes)
        assert client.streams[0].is_closed
        client.streams[1].receive(_OWN_RESPONSES['length'])
        assert outcomes[1].unwrap().body == _OWN_BODY


@pytest.mark.parametrize('step', [0, 1, 7])
@pytest.mark.parametrize('own', _OWN_RESPONSES)
@pytest.mark.parametrize('name', _REMAINDERS)
def test_bytes_that_arrive_after_the_next_request_get_into_no_response(
    monkeypatch: pytest.MonkeyPatch, name: str, own: str, step: int
) -> None:
    """The response follows anywhere in them, also in the middle of a line."""
    remainder = _REMAINDERS[name]
    for end in range(1, len(remainder) + 1):
        client = _Client(monkeypatch, _WITH_IDS)
        client.request('earlier', [])
        client.streams[0].receive(_FIRST)
        outcomes: list[Result[Response, HttpFailure]] = []
        client.request('own', outcomes)
        assert len(client.streams) == 1
        client.streams[0].receive(remainder[:end] + _OWN_RESPONSES[own], step)
        client.streams[0].end()
        _assert_own_or_failure(outcomes, (end, outcomes))


def test_bytes_in_front_of_a_request_are_no_response_to_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing of it has been sent, so it has not run and may be repeated."""
    client = _Client(monkeypatch, _WITH_IDS)
    client.request('earlier', [])
    stream = client.streams[0]
    stream.receive(_FIRST)
    outcomes: list[Result[Response, HttpFailure]] = []
    client.request('own', outcomes)
    stream.unsent_bytes = 1_000_000
    stream.receive(_OWN_RESPONSES['length'])
    assert not outcomes[0].unwrap_err().is_sent


def test_bytes_that_cross_a_request_without_an_id_are_no_response_to_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Health checks and calls of the store have none."""
    client = _Client(monkeypatch, _WITHOUT_IDS)
    client.request('earlier', [])
    stream = client.streams[0]
    stream.receive(_FIRST)
    outcomes: list[Result[Response, HttpFailure]] = []
    client.request('own', outcomes)
    stream.undelivered = len(stream.sent[-1])
    stream.receive(_REMAINDERS['success without an id'])
    assert outcomes[0].unwrap_err().is_sent
    assert stream.is_closed


def test_connection_with_an_answer_to_another_call_of_the_store_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise each later call on it gets the answer to the previous one."""
    client = _Client(monkeypatch, _WITHOUT_IDS)
    store = KvStore(client.reactor, Address('127.0.0.1', 1))
    outcomes: list[Result[ItemPage, KvFailure]] = []
    store.range('op/', '', outcomes.append)
    client.streams[0].receive(
        b'HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{"ttl_ms":1}'
    )
    assert outcomes[0].unwrap_err().is_unusable
    assert client.streams[0].is_closed
    store.range('op/', '', outcomes.append)
    assert len(client.streams) == 2


def test_response_to_a_call_leaves_nothing_to_a_probe(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Probes have no id, so they share no connection with calls."""
    client = _Client(monkeypatch, _WITH_IDS)
    probed: list[int] = []
    owner: Any = SimpleNamespace(
        service_of=lambda _: Service(),
        on_target_reset=lambda: None,
        on_target_changed=lambda: None,
        on_cold_until=lambda _: None,
        on_probed=lambda response, _: probed.append(response.status),
    )
    watch = TargetWatch(
        client.reactor,
        owner,
        Metrics(),
        PlatformDialect(),
        WatchRules(probes_while_busy=True),
    )
    for _ in range(30):
        watch.announce(Announcement('s', '127.0.0.1:1', 'one', False))
        client.clock.advance(0.1)
        client.reactor.timers.run_due()
        if client.streams:
            break
    probe = client.streams[0]
    probe.receive(b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n')
    assert probed == [200]
    pool = watch.connections.calls
    assert pool is not None
    outcomes: list[Result[Response, HttpFailure]] = []
    pool.request(Request('GET', '/'), 5, outcomes.append)
    assert len(client.streams) == 2
    client.streams[1].receive(_OWN_RESPONSES['length'])
    for _ in range(30):
        watch.announce(Announcement('s', '127.0.0.1:1', 'one', False))
        client.clock.advance(0.1)
        client.reactor.timers.run_due()
    assert len(probe.sent) == 2
    assert len(client.streams[1].sent) == 1


def test_trailers_do_not_identify_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The remainder of a response in chunks may end in its trailers."""
    client = _Client(monkeypatch, _WITH_IDS)
    client.request('earlier', [])
    client.streams[0].receive(_FIRST)
    outcomes: list[Result[Response, HttpFailure]] = []
    client.request('own', outcomes)
    client.streams[0].receive(
        _NOT_RUN + b'transfer-encoding: chunked\r\n\r\n0\r\nx-id: own\r\n\r\n'
    )
    _assert_own_or_failure(outcomes, outcomes)


def test_header_that_quotes_a_status_line_is_accepted_behind_the_id(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    client = _Client(monkeypatch, _WITH_IDS)
    outcomes: list[Result[Response, HttpFailure]] = []
    client.request('own', outcomes)
    client.streams[0].receive(
        b'HTTP/1.1 200 OK\r\nx-id: own\r\nx-origin: HTTP/1.1 200 OK\r\n'
        b'content-length: 0\r\n\r\n'
    )
    assert isinstance(outcomes[0], Ok)


@pytest.mark.parametrize('own', _OWN_RESPONSES)
def test_response_that_is_broken_off_in_its_head_lends_nothing_to_the_next(
    monkeypatch: pytest.MonkeyPatch, own: str
) -> None:
    """Both have the id of the request."""
    broken_off = _OWN_RESPONSES[own].partition(b'\r\n\r\n')[0]
    failure = (
        b'HTTP/1.1 500 Internal Server Error\r\nx-id: own\r\n'
        b'content-length: 4\r\n\r\noops'
    )
    for end in range(1, len(broken_off)):
        for is_first in (True, False):
            client = _Client(monkeypatch, _WITH_IDS)
            if not is_first:
                client.request('earlier', [])
                client.streams[0].receive(_FIRST)
            outcomes: list[Result[Response, HttpFailure]] = []
            client.request('own', outcomes)
            client.streams[0].receive(broken_off[:end] + failure)
            client.streams[0].end()
            assert outcomes[0].unwrap_err().is_sent, (end, outcomes)


def test_late_whole_response_to_an_earlier_request_is_skipped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The response still arrives; the connection is not used again."""
    client = _Client(monkeypatch, _WITH_IDS)
    client.request('earlier', [])
    client.streams[0].receive(_FIRST)
    outcomes: list[Result[Response, HttpFailure]] = []
    client.request('own', outcomes)
    client.streams[0].receive(_FIRST)
    client.streams[0].receive(_OWN_RESPONSES['length'])
    assert outcomes[0].unwrap().body == _OWN_BODY
    assert client.streams[0].is_closed
