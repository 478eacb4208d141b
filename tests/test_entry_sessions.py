"""Whole sessions of an entry node, compared with golden files."""

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

_FIRST, _SECOND, _THIRD = '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'
_SERVICE = 'bookings'
# Version 7 UUIDs that were made ten seconds into the session.
_KEYS = [f'018bcfe5-8f10-7000-8000-{one:012}' for one in range(4)]


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> NodeSession:
    """A node without a target, and three nodes with targets."""
    session = NodeSession(monkeypatch)
    session.declare(
        Kind.SERVICE, _SERVICE, expected_targets=3, deadline_ms=1000
    )
    for peer in (_FIRST, _SECOND, _THIRD):
        session.meet(peer, _SERVICE)
    return session


def _whole(body: str = 'whole') -> Callable[[int], Message]:
    return lambda one: Answer(one, 200, [], body.encode(), 1, 6)


def _refusal(kind: str) -> Callable[[int], Message]:
    return lambda one: Refusal(one, kind, 6, 6)


def _crash(request_id: int) -> Failure:
    return Failure(request_id, 'target_failed', has_crashed=True)


def _claim(state: ClaimState) -> Callable[[int], Message]:
    body = b'paid' if state is ClaimState.COMPLETED else b''
    return lambda one: ClaimReply(one, int(state), 200, [], body)


def test_entry_answers(entry: NodeSession) -> None:
    entry.title('An answer is passed on; a second one reaches nobody')
    entry.call('coach', 'GET', '/bookings/free')
    entry.reply(_whole())
    entry.reply(_whole('again'))

    entry.title('Answers out of order reach their own callers')
    for name in ('one', 'two', 'three', 'four'):
        entry.call(name, 'GET', f'/bookings/{name}')
    for index, name in ((4, 'four'), (2, 'two'), (1, 'one'), (3, 'three')):
        entry.reply(_whole(f'answer {name}'), index)
    entry.compare('entry_answers.txt')


def test_entry_retries(entry: NodeSession) -> None:
    entry.title('A refusal did not run: it is tried elsewhere')
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.reply(_refusal('overloaded'))
    entry.reply(_whole())

    entry.title('A payment that may have run is not tried again')
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.ends(entry.asked[-1][0])

    entry.title('Nor one whose target crashed')
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.reply(_crash)

    entry.title('One that no node takes has not run')
    entry.refusing.add(_FIRST)
    entry.call('secretary', 'POST', '/bookings/pay')
    entry.reply(_refusal('leaving'))
    entry.reply(_refusal('zone_out'))
    entry.refusing.clear()

    entry.title('A request to read goes on after a lost connection')
    entry.let_pass(5)
    entry.call('coach', 'GET', '/bookings/free')
    entry.ends(entry.asked[-1][0])
    entry.reply(_whole())

    entry.title('Two crashes end the tries')
    entry.call('coach', 'GET', '/bookings/poison')
    entry.reply(_crash)
    entry.reply(_crash)
    entry.compare('entry_retries.txt')


def test_entry_deadlines(entry: NodeSession) -> None:
    entry.title('A caller that goes away cancels its call')
    reply = entry.call('coach', 'GET', '/bookings/free')
    entry.leave('coach', reply)
    entry.reply(_whole('too late'))

    entry.title('A silent peer is found by a heartbeat and replaced')
    path = '/bookings/free'
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='5000')
    entry.let_pass(0.8)
    entry.reply(_whole())

    entry.title('A peer that is slow but alive is waited for')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='1000')
    peer = entry.asked[-1][0]
    entry.let_pass(0.3)
    entry.says(peer, HeartbeatReply(0))
    entry.let_pass(0.2)
    entry.reply(_whole())

    entry.title('Until the deadline')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='150')
    entry.let_pass(0.3)
    entry.reply(_whole('too late'))

    entry.title('A deadline that has passed, or is no number')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='0')
    entry.call('coach', 'GET', path, bluebellsill_deadline_ms='soon')

    entry.title('Without a service, or with its zone out')
    entry.call('coach', 'GET', '/nowhere')
    entry.declare(Kind.AVAILABILITY_ZONE, 'a', in_service=False)
    entry.call('coach', 'GET', path)
    entry.compare('entry_deadlines.txt')


def test_keyed_session(entry: NodeSession) -> None:
    entry.let_pass(20)
    pay = partial(entry.call, 'secretary', 'POST', '/bookings/pay')

    entry.title('Both holders grant, then the payment runs, then both know')
    pay(idempotency_key=_KEYS[0])
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_whole('paid'))

    entry.title('The same key again: the holder knows the answer')
    pay(idempotency_key=_KEYS[0])
    entry.reply(_claim(ClaimState.COMPLETED))

    entry.title('A key that is in use, used otherwise, or may have run')
    for state in (ClaimState.IN_PROGRESS, ClaimState.REUSED, ClaimState.LOST):
        pay(idempotency_key=_KEYS[1])
        entry.reply(_claim(state))

    entry.title('The second holder says no: the first one is told')
    pay(idempotency_key=_KEYS[1])
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_claim(ClaimState.NOT_HOLDER))

    entry.title('A holder that is lost: nothing runs')
    pay(idempotency_key=_KEYS[1])
    entry.ends(entry.asked[-1][0])

    entry.title('The payment is lost on its way: nobody knows')
    pay(idempotency_key=_KEYS[2])
    entry.reply(_claim(ClaimState.GRANTED))
    entry.reply(_claim(ClaimState.UNCERTAIN))
    entry.ends(entry.asked[-1][0])
    entry.compare('entry_keys.txt')


def test_headers_between_nodes_are_not_handed_on(entry: NodeSession) -> None:
    entry.call(
        'target',
        'GET',
        '/bookings/free',
        bluebellsill_correlation='order',
        bluebellsill_deadline_ms='700',
        x_nonce='own',
    )
    (call,) = [one for one in entry.sent if isinstance(one, Call)]
    # The target gets the call's own, with the present deadline.
    assert call.headers == [('x-nonce', 'own')]
    assert call.correlation.startswith('order/')
