"""Tests of responses that a faulty server repeats or cuts off."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from socket import create_server, socket
from threading import Thread
from time import sleep

import pytest
from circuits import Component
from result import Err, Ok, Result

from bluebellsill.clock import SystemClock
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure, ResponseRules
from bluebellsill.reactor import Reactor
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

_TIMEOUT = 2.0  # seconds of a request
_PAUSE = 0.05  # seconds in which a client reads what was sent
_RULES = ResponseRules(id_header='x-id', allows_body_until_close=True)
Serve = Callable[[socket, int], None]


def _refusal(request_id: str) -> bytes:
    id_line = f'x-id: {request_id}\r\n' if request_id else ''
    head = f'HTTP/1.1 503 Full\r\n{id_line}x-not-run: 1\r\n'
    return f'{head}content-length: 0\r\n\r\n'.encode()


def _success(request_id: str) -> bytes:
    head = f'HTTP/1.1 200 OK\r\nx-id: {request_id}\r\n'
    return f'{head}content-length: 2\r\n\r\nok'.encode()


class _Client(Component):
    """Sends requests one after the other, then stops the event loop."""

    channel = 'client'

    def __init__(self, port: int, request_ids: list[str], pause: float) -> None:
        super().__init__()
        self._pause = pause
        reactor = Reactor(TimerService(SystemClock())).register(self)
        self.pool = HttpPool(reactor, Address('127.0.0.1', port), _RULES)
        self.outcomes: list[Result[Response, HttpFailure]] = []
        self._request_ids = request_ids
        self._send()

    def _send(self) -> None:
        request_id = self._request_ids[len(self.outcomes)]
        request = Request('GET', '/', [('x-id', request_id)])
        self.pool.request(request, _TIMEOUT, self._on_done)

    def _on_done(self, outcome: Result[Response, HttpFailure]) -> None:
        self.outcomes.append(outcome)
        if len(self.outcomes) < len(self._request_ids):
            sleep(self._pause)
            self._send()
        else:
            self.stop()


def _outcomes(
    serve: Serve, request_ids: list[str], pause: float = 0
) -> list[Result[Response, HttpFailure]]:
    """Return the outcomes of requests to a server.

    Args:
        serve: Handles a connection; they are numbered from 0.
        request_ids: The ids of the requests.
        pause: Seconds for which the client reads nothing before a request.
    """
    with create_server(('127.0.0.1', 0)) as listener:

        def accept() -> None:
            for number in range(len(request_ids)):
                try:
                    connection, _ = listener.accept()
                except OSError:
                    return
                Thread(
                    target=serve, args=(connection, number), daemon=True
                ).start()

        Thread(target=accept, daemon=True).start()
        client = _Client(listener.getsockname()[1], request_ids, pause)
        client.run()
        client.pool.close()
        return client.outcomes


def _repeats_refusal(refused_id: str) -> Serve:
    """Refuse a first request, and repeat that before the second response."""

    def serve(connection: socket, number: int) -> None:
        with connection:
            connection.recv(65536)
            if number:
                connection.sendall(_success('a'))
                return
            connection.sendall(_refusal(refused_id))
            if connection.recv(65536):
                connection.sendall(_refusal(refused_id))
                sleep(_PAUSE)
                connection.sendall(_success('b'))

    return serve


def test_repeated_refusal_is_no_answer_to_the_next_request() -> None:
    first, second = _outcomes(_repeats_refusal('a'), ['a', 'b'])
    assert first.unwrap().status == 503
    assert second.unwrap().body == b'ok'


def test_repeated_refusal_is_no_answer_to_the_same_request_sent_again() -> None:
    first, second = _outcomes(_repeats_refusal('a'), ['a', 'a'])
    assert first.unwrap().status == 503
    assert second.unwrap().body == b'ok'


def test_repeated_refusal_without_an_id_is_no_proof_that_nothing_ran() -> None:
    first, second = _outcomes(_repeats_refusal(''), ['a', 'b'])
    assert first.unwrap().status == 503
    assert isinstance(second, Err)
    assert second.err_value.is_sent


@pytest.mark.parametrize(
    'late', [b'HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-trace: a', b'<', b'']
)
def test_connection_with_unread_bytes_is_not_used_again(late: bytes) -> None:
    """Nor one that the server has closed: the request would be lost."""

    def serve(connection: socket, number: int) -> None:
        with connection:
            connection.recv(65536)
            connection.sendall(_success('ab'[number]))
            if not number:
                sleep(_PAUSE)
                connection.sendall(late)
                if not late:
                    return
                with suppress(ConnectionError):
                    assert not connection.recv(65536)

    first, second = _outcomes(serve, ['a', 'b'], pause=3 * _PAUSE)
    assert first.unwrap().body == b'ok'
    assert second.unwrap().body == b'ok'


_ID = b'HTTP/1.1 200 OK\r\nx-id: a\r\n'
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n'
_CUT_ANSWERS = {
    'length': _ID + b'content-length: 4\r\nx-more: text\r\n\r\nbody',
    'chunks': _ID + _CHUNKED,
    'until close': _ID + b'x-more: text\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\n' + _ID + b'x-more: t\r\n\r\n',
}


@pytest.mark.parametrize('kind', _CUT_ANSWERS)
def test_response_cut_off_at_any_byte_is_no_success(kind: str) -> None:
    whole = _CUT_ANSWERS[kind]

    def serve(connection: socket, number: int) -> None:
        with connection:
            connection.recv(65536)
            connection.sendall(whole[:number])

    outcomes = _outcomes(serve, ['a' for _ in whole])
    assert [one for one in outcomes if isinstance(one, Ok)] == []


def test_response_until_the_end_of_its_connection_is_a_success() -> None:
    def serve(connection: socket, number: int) -> None:
        with connection:
            connection.recv(65536)
            connection.sendall(_CUT_ANSWERS['until close'] + b'body')

    (outcome,) = _outcomes(serve, ['a'])
    assert outcome.unwrap().body == b'body'


def test_length_of_a_body_that_is_not_sent_does_not_end_the_connection() -> (
    None
):
    def serve(connection: socket, number: int) -> None:
        with connection:
            connection.recv(65536)
            connection.sendall(
                b'HTTP/1.1 304 Not Modified\r\nx-id: a\r\n'
                b'content-length: 99999999\r\n\r\n'
            )
            connection.recv(65536)
            connection.sendall(_success('b'))

    first, second = _outcomes(serve, ['a', 'b'])
    assert first.unwrap().status == 304
    assert isinstance(second, Ok)
