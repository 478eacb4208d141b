"""Invalid input gets a specific error, and the node keeps serving."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from http.client import HTTPConnection, HTTPResponse

import pytest
from msgspec import json, msgpack

from bluebellsill.http import MAX_BODY, MAX_HEAD
from bluebellsill.messages import (
    Call,
    Heartbeat,
    Hello,
    Message,
    Settle,
    decode,
    encode,
)
from demo.harness import TOKEN, Pair, deployment, wait_until
from tests.callers import call, new_key

_TIMEOUT = 5.0  # seconds


@pytest.fixture(scope='module')
def pair() -> Iterator[Pair]:
    with deployment() as running:
        pair = running.add('a', 'bookings')
        running.wait_ready()
        running.declare(
            {
                'bookings': {},
                'stock-check': {'callers': ['bookings', 'stock-check']},
            }
        )
        yield pair


@pytest.fixture(autouse=True)
def _node_keeps_serving(pair: Pair) -> Iterator[None]:
    yield
    assert call(pair.callers, '/bookings/x').is_complete


def _exchange(address: str, payload: bytes) -> bytes:
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), _TIMEOUT) as sock:
        sock.settimeout(_TIMEOUT)
        received = b''
        try:
            sock.sendall(payload)
            while chunk := sock.recv(65536):
                received += chunk
        except ConnectionError:
            return received
    return received


def _http(address: str, head: str, body: bytes = b'') -> tuple[int, str]:
    text = f'{head}\r\nhost: x\r\nconnection: close\r\n'
    text += f'content-length: {len(body)}\r\n\r\n'
    answer = _exchange(address, text.encode() + body)
    status = int(answer.split(b' ', 2)[1])
    document = json.decode(answer.partition(b'\r\n\r\n')[2])
    return status, document.get('error', '')


@pytest.mark.parametrize(
    ('payload', 'status', 'kind'),
    [
        (b'nonsense\r\n\r\n', 400, b'bad_request'),
        (b'GET / HTTP/1.1\r\na:' + b'x' * MAX_HEAD, 431, b'head_too_large'),
        (
            b'POST / HTTP/1.1\r\ncontent-length: 5\r\n'
            b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
            400,
            b'bad_request',
        ),
        (
            b'POST /bookings/x HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'
            % (MAX_BODY + 1)
            + bytes(MAX_BODY + 1),
            413,
            b'body_too_large',
        ),
    ],
)
def test_invalid_http(
    pair: Pair, payload: bytes, status: int, kind: bytes
) -> None:
    answer = _exchange(pair.callers, payload)
    assert answer.startswith(b'HTTP/1.1 %d ' % status)
    assert kind in answer


@pytest.mark.parametrize(
    ('head', 'expected'),
    [
        ('GET /nowhere/x HTTP/1.1', (404, 'unknown_service')),
        ('GET / HTTP/1.1', (404, 'unknown_service')),
        ('GET /stock-check/x HTTP/1.1', (403, 'forbidden_caller')),
        (
            'GET /bookings/x HTTP/1.1\r\nbluebellsill-deadline-ms: soon',
            (400, 'bad_request'),
        ),
        (
            'GET /bookings/x HTTP/1.1\r\nbluebellsill-deadline-ms: 0',
            (503, 'expired'),
        ),
        (
            f'POST /bookings/x HTTP/1.1\r\nidempotency-key: {"k" * 201}',
            (400, 'bad_request'),
        ),
    ],
)
def test_invalid_call(pair: Pair, head: str, expected: tuple[int, str]) -> None:
    assert _http(pair.callers, head) == expected


@pytest.mark.parametrize(
    ('head', 'body', 'expected'),
    [
        ('GET /v1/services', b'', (200, '')),
        ('GET /v2/services', b'', (404, 'unknown_resource')),
        ('GET /v1/services/none', b'', (404, 'unknown_resource')),
        ('GET /v1/services?watch=x', b'', (400, 'bad_request')),
        ('GET /v1/services?watch=0', b'stream', (200, 'stream')),
        ('POST /v1/services', b'', (405, 'method_not_allowed')),
        ('PUT /v1/services/x', b'[', (400, 'bad_request')),
        ('PUT /v1/services/x', b'{"slots":0}', (422, 'invalid_resource')),
        ('PUT /v1/services/x', b'{"a":0}', (422, 'invalid_resource')),
        ('DELETE /v1/services/none', b'', (404, 'unknown_resource')),
        ('GET /v1/status?revision=x', b'', (400, 'bad_request')),
        ('GET /v1/writes/none', b'', (404, 'unknown_resource')),
    ],
)
def test_operator_requests(
    pair: Pair,
    head: str,
    body: bytes,
    expected: tuple[int, str],
) -> None:
    operators = pair.node.listening['operators']
    head = f'{head} HTTP/1.1\r\nauthorization: Bearer {TOKEN}'
    if body == b'stream':
        assert pair.client().watch('services', 0).__next__()['revision'] == 1
        return
    assert _http(operators, head, body) == expected


@pytest.mark.parametrize('token', ['', 'Bearer wrong', f'Bearer {TOKEN}x'])
def test_wrong_token(pair: Pair, token: str) -> None:
    operators = pair.node.listening['operators']
    head = f'GET /v1/services HTTP/1.1\r\nauthorization: {token}'
    assert _http(operators, head) == (401, 'unauthorized')


def test_large_chunked_response_is_complete(pair: Pair) -> None:
    size = 1048576
    path = f'/bookings/photo?size={size}&chunked=1'
    assert call(pair.callers, path, size=size).is_complete


def test_replayed_response_carries_only_its_own_correlation_id(
    pair: Pair,
) -> None:
    # In the first seconds of a node, keys may be answered as uncertain.
    wait_until(lambda: _pay(pair, new_key()).status == 200, 15)
    key = new_key()
    first, replayed = _pay(pair, key), _pay(pair, key)
    assert (first.status, replayed.status) == (200, 200)
    assert replayed.getheader('idempotency-replayed') == 'true'
    names = [name.lower() for name, _ in replayed.getheaders()]
    assert names.count('bluebellsill-correlation') == 1


def _pay(pair: Pair, key: str) -> HTTPResponse:
    host, _, port = pair.callers.partition(':')
    connection = HTTPConnection(host, int(port), timeout=_TIMEOUT)
    headers = {'idempotency-key': key}
    connection.request('POST', '/bookings/pay', b'', headers)
    response = connection.getresponse()
    response.read()
    connection.close()
    return response


def test_inner_service_accepts_only_allowed_callers(pair: Pair) -> None:
    head = 'GET /stock-check/x HTTP/1.1'
    from_target = _http(pair.node.listening['target'], head)
    # The caller is allowed, but no target of the service is running.
    assert from_target == (503, 'no_target')
    assert _http(pair.callers, head) == (403, 'forbidden_caller')


def _framed(message: Message) -> bytes:
    payload = encode(message)
    return len(payload).to_bytes(4, 'big') + payload


def _call_message() -> bytes:
    return encode(Call(1, 's', 'GET', '/', [], b'', 9, 1, True, 1, 'c'))


@pytest.mark.parametrize(
    'payload',
    [
        b'\xff\xff\xff\xff',
        b'\x00\x00\x00\x04junk',
        b'\x00\x00\x00\x00',
        b'\x00\x00\x00\x10' + _call_message()[:16],
        msgpack.encode([4, 1, 's']),
        b'\x00\x00\x00\x03\xdd\xff\xff',
        b'GET / HTTP/1.1\r\n\r\n',
        _framed(Settle('k', 'o', 99)),
        _framed(Hello('nowhere', 1)),
        _framed(Heartbeat(1)),
    ],
)
def test_malformed_peer_messages(pair: Pair, payload: bytes) -> None:
    host, _, port = pair.id.partition(':')
    with socket.create_connection((host, int(port)), _TIMEOUT) as sock:
        sock.sendall(payload)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(payload, (host, int(port)))


def test_call_for_another_service_is_rejected(pair: Pair) -> None:
    payload = _call_message()
    host, _, port = pair.id.partition(':')
    with socket.create_connection((host, int(port)), _TIMEOUT) as sock:
        sock.settimeout(_TIMEOUT)
        sock.sendall(len(payload).to_bytes(4, 'big') + payload)
        reply = decode(sock.recv(65536)[4:])
    assert (reply.id, reply.kind) == (1, 'no_target')


@pytest.mark.parametrize(
    'body',
    [b'', b'{}', b'{"service":"x","address":"here","start_id":"1"}', b'[]'],
)
def test_invalid_target_announcement(pair: Pair, body: bytes) -> None:
    head = 'PUT /v1/target HTTP/1.1'
    target = pair.node.listening['target']
    assert _http(target, head, body) == (400, 'bad_request')
