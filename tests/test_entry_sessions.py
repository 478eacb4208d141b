"""Records of the sessions of an entry node, compared with golden files."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from bluebellsill.idempotency import ClaimState
from bluebellsill.messages import (
    Answer,
    Call,
    ClaimReply,
    Failure,
    HeartbeatReply,
    Message,
    Refusal,
)
from bluebellsill.resources import Kind
from tests.node_session import NodeSession
from tests.played import FakeReply

_FIRST, _SECOND, _THIRD = '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'
_SERVICE = 'bookings'
# Version 7 UUIDs whose timestamp is ten seconds into the session.
_KEYS = [f'018bcfe5-8f10-7000-8000-{index:012}' for index in range(4)]


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> NodeSession:
    """A node without a target that knows three nodes with targets."""
    session = NodeSession(monkeypatch)
    session.declare(
        Kind.SERVICE, _SERVICE, expected_targets=3, deadline_ms=1000
    )
    for peer in (_FIRST, _SECOND, _THIRD):
        session.add_target_node(peer, _SERVICE)
    return session


def _answer(body: str = 'whole') -> Callable[[int], Message]:
    return lambda request_id: Answer(request_id, 200, [], body.encode(), 1, 6)


def _refusal(kind: str) -> Callable[[int], Message]:
    return lambda request_id: Refusal(request_id, kind, 6, 6)


def _crash(request_id: int) -> Failure:
    return Failure(request_id, 'target_failed', has_crashed=True)


def _claim(state: ClaimState) -> Callable[[int], Message]:
    body = b'paid' if state is ClaimState.COMPLETED else b''
    return lambda request_id: ClaimReply(request_id, int(state), 200, [], body)


def test_entry_answers(entry: NodeSession) -> None:
    entry.section(
        'A response is passed on; a second one for the same call is ignored'
    )
    entry.call('coach', 'GET', '/bookings/free')
    entry.reply(_answer())
    entry.reply(_answer('again'))

    entry.section('Responses out of order reach the right callers')
    for name in ('one', 'two', 'three', 'four'):
        entry.call(name, 'GET', f'/bookings/{name}')
    for index, name in ((4, 'four'), (2, 'two'), (1, 'one'), (3, 'three')):
        entry.reply(_answer(f'answer {name}'), index)
    entry.compare_with_golden('entry_answers.txt')


def test_entry_retries(entry: NodeSession) -> None:
    entry.section(
        'A refused call did not run, so it is retried at another node'
    )
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.reply(_refusal('overloaded'))
    entry.reply(_answer())

    entry.section('A payment that may have run is not retried')
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.close_connection(entry.peer_requests[-1][0])

    entry.section('Nor is a payment whose target crashed')
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.reply(_crash)

    entry.section('A payment that every node refuses has not run')
    entry.refusing_addresses.add(_FIRST)
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.reply(_refusal('leaving'))
    entry.reply(_refusal('zone_out'))
    entry.refusing_addresses.clear()

    entry.section('A read request is retried after a lost connection')
    entry.advance(5)
    entry.call('coach', 'GET', '/bookings/free')
    entry.close_connection(entry.peer_requests[-1][0])
    entry.reply(_answer())

    entry.section('There is no retry after two crashes')
    entry.call('coach', 'GET', '/bookings/poison')
    entry.reply(_crash)
    entry.reply(_crash)
    entry.compare_with_golden('entry_retries.txt')


def test_entry_deadlines(entry: NodeSession) -> None:
    entry.section('A call is cancelled when its caller disconnects')
    reply = entry.call('coach', 'GET', '/bookings/free')
    entry.disconnect_caller('coach', reply)
    entry.reply(_answer('too late'))

    entry.section('A heartbeat detects a silent peer; the call is retried')
    path = '/bookings/free'
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='5000')
    entry.advance(0.8)
    entry.reply(_answer())

    entry.section('A peer that is slow but answers heartbeats is waited for')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='1000')
    peer = entry.peer_requests[-1][0]
    entry.advance(0.3)
    entry.deliver(peer, HeartbeatReply(0))
    entry.advance(0.2)
    entry.reply(_answer())

    entry.section('The wait ends at the deadline')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='150')
    entry.advance(0.3)
    entry.reply(_answer('too late'))

    entry.section('The deadline has passed, or is not a number')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='0')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='soon')

    entry.section('The service is unknown, or its zone is out of service')
    entry.call('coach', 'GET', '/nowhere')
    entry.declare(Kind.AVAILABILITY_ZONE, 'a', in_service=False)
    entry.call('coach', 'GET', path)
    entry.compare_with_golden('entry_deadlines.txt')


_PATH = '/bookings/free'


def _call_until_it_hangs(entry: NodeSession) -> tuple[str, FakeReply]:
    """Call a target that stays connected but does not answer in time."""
    reply = entry.call('coach', 'GET', _PATH)
    first = entry.peer_requests[-1][0]
    entry.advance(0.3)
    entry.deliver(first, HeartbeatReply(0))
    entry.advance(0.22)
    return first, reply


def _learn_latencies(entry: NodeSession) -> None:
    entry.section('The usual latencies are known')
    entry.advance(1)
    for name in ('one', 'two', 'three'):
        entry.call(name, 'GET', _PATH)
    for index in range(3):
        entry.reply(_answer(), index)


def test_entry_hedges(entry: NodeSession) -> None:
    _learn_latencies(entry)
    entry.section('A slow target answers after all others have refused')
    _call_until_it_hangs(entry)
    entry.reply(_refusal('overloaded'))
    entry.reply(_refusal('leaving'))
    entry.reply(_answer('slow'), index=-3)

    entry.section('Another target answers first; the slow one is cancelled')
    _call_until_it_hangs(entry)
    entry.reply(_answer('hedged'))

    entry.section('The slow target is lost while another one runs the call')
    entry.advance(5)
    first, _ = _call_until_it_hangs(entry)
    entry.close_connection(first)
    entry.reply(_answer('hedged'))
    entry.compare_with_golden('entry_hedges.txt')


def test_entry_hedges_that_fail(entry: NodeSession) -> None:
    _learn_latencies(entry)
    entry.section('The caller disconnects: both are cancelled')
    _, reply = _call_until_it_hangs(entry)
    entry.disconnect_caller('coach', reply)

    entry.section('Both are lost, the rest refuses: the call may have run')
    first, _ = _call_until_it_hangs(entry)
    entry.close_connection(first)
    entry.close_connection(entry.peer_requests[-1][0])
    entry.reply(_refusal('overloaded'))
    entry.compare_with_golden('entry_hedges_that_fail.txt')


def test_keyed_session(entry: NodeSession) -> None:
    entry.advance(20)
    pay = partial(entry.call, 'secretary', 'POST', '/bookings/pay')

    entry.section(
        'Both holders grant the claim; the payment runs; both are settled'
    )
    pay(idempotency_key=_KEYS[0])
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_answer('paid'))

    entry.section('The same key again: the holder returns the stored response')
    pay(idempotency_key=_KEYS[0])
    entry.reply(_claim(ClaimState.COMPLETED))

    entry.section(
        'The key is in progress, was reused, or its record may be lost'
    )
    for state in (ClaimState.IN_PROGRESS, ClaimState.REUSED, ClaimState.LOST):
        pay(idempotency_key=_KEYS[1])
        entry.reply(_claim(state))

    entry.section(
        'The second holder denies the claim, so the first one is released'
    )
    pay(idempotency_key=_KEYS[1])
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_claim(ClaimState.NOT_HOLDER))

    entry.section('The connection to a holder is lost, so nothing runs')
    pay(idempotency_key=_KEYS[1])
    entry.close_connection(entry.peer_requests[-1][0])

    entry.section('The connection is lost during the payment: outcome unknown')
    pay(idempotency_key=_KEYS[2])
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_claim(ClaimState.UNCERTAIN))
    entry.close_connection(entry.peer_requests[-1][0])
    entry.compare_with_golden('entry_keys.txt')


def test_headers_that_nodes_set_are_not_forwarded(entry: NodeSession) -> None:
    entry.call(
        'target',
        'GET',
        '/bookings/free',
        bluebellsill_correlation='order',
        bluebellsill_deadline_ms='700',
        x_nonce='own',
    )
    (call,) = [
        message for message in entry.sent_messages if isinstance(message, Call)
    ]
    # The target's node sets its own headers, with the remaining time.
    assert call.headers == [('x-nonce', 'own')]
    assert call.correlation.startswith('order/')
