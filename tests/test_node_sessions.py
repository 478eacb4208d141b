"""Whole sessions of one node, compared with golden files."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

import pytest

from bluebellsill.idempotency import ClaimState, Outcome
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
from tests.node_session import OWN, TARGET, NodeSession

_FIRST, _SECOND, _THIRD = '10.0.0.2:1', '10.0.0.3:1', '10.0.0.4:1'
_SERVICE = 'bookings'
# Version 7 UUIDs that were made ten seconds into the session.
_KEYS = [f'018bcfe5-8f10-7000-8000-{one:012}' for one in range(4)]


@pytest.fixture
def patch() -> Iterator[pytest.MonkeyPatch]:
    with pytest.MonkeyPatch.context() as patch:
        yield patch


@pytest.fixture
def entry(patch: pytest.MonkeyPatch) -> NodeSession:
    """A node without a target, and three nodes with targets."""
    session = NodeSession(patch)
    session.declare(
        Kind.SERVICE, _SERVICE, expected_targets=3, deadline_ms=1000
    )
    for peer in (_FIRST, _SECOND, _THIRD):
        session.meet(peer, _SERVICE)
    return session


def _whole(body: str = 'whole') -> Callable[[int], Message]:
    return lambda one: Answer(one, 200, [], body.encode(), 1, 6)


def _answer(status: int) -> Callable[[int], Message]:
    return lambda one: Answer(one, status, [], b'', 1, 6)


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


def test_target_session(patch: pytest.MonkeyPatch) -> None:
    session = NodeSession(patch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, slots=6)
    session.meet(_FIRST, _SERVICE)

    session.title('Nothing runs before the target has announced itself')
    session.hand('early', '/bookings/free')
    session.announce('one')

    session.title('A cold target runs one at a time; one waits; the rest go')
    session.hand('first', '/bookings/1')
    session.hand('second', '/bookings/2')
    session.hand('third', '/bookings/3')
    session.hand('payment', '/bookings/pay', priority=2)
    session.answers(200, 'one')
    session.answers(200, 'two')

    session.title('One that waits too long is refused as not run')
    session.hand('long', '/bookings/long')
    session.hand('waits', '/bookings/waits')
    session.let_pass(0.06)
    session.announce('one')

    session.title('A cancelled call is cut off at the target')
    run = session.hand('cancelled', '/bookings/cancelled')
    assert run is not None
    session.answers(200, 'long')
    session.runner.cancel(run)

    session.title('A target that sheds is not asked for more')
    session.hand('shed', '/bookings/shed')
    session.answers(503)

    session.title('A leaving target gets nothing new, and finishes')
    session.hand('last', '/bookings/last')
    session.announce('one', is_leaving=True)
    session.hand('new', '/bookings/new')
    session.answers(200, 'last')

    session.title('Nor does one whose node is old, leaving, or out')
    session.announce('one')
    session.is_fresh = False
    session.hand('new', '/bookings/new')
    session.is_fresh = True
    session.declare(Kind.TARGET, OWN, in_service=False)
    session.hand('new', '/bookings/new')
    session.declare(Kind.TARGET, OWN, in_service=True)
    session.declare(Kind.AVAILABILITY_ZONE, 'a', in_service=False)
    session.hand('new', '/bookings/new')
    session.declare(Kind.AVAILABILITY_ZONE, 'a', in_service=True)
    session.acceptance.is_leaving = True
    session.hand('new', '/bookings/new')
    session.compare('target_calls.txt')


def test_chain_session(patch: pytest.MonkeyPatch) -> None:
    session = NodeSession(patch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE)
    session.declare(Kind.SERVICE, 'stock', callers=[_SERVICE])
    session.meet(_FIRST, 'stock')
    session.meet(_SECOND, 'stock')
    session.announce('one')

    session.title('A call that the target makes is tried twice, not above it')
    session.hand('order', '/bookings/order')
    onward = partial(session.call, 'target', 'GET', '/stock/check')
    onward(bluebellsill_correlation='order', caller=_SERVICE)
    session.reply(_answer(500))
    session.reply(_answer(500))
    session.answers(502)

    session.title('A target that copes without it has not failed')
    session.hand('order', '/bookings/order')
    onward(bluebellsill_correlation='order', caller=_SERVICE)
    session.reply(_answer(500))
    session.reply(_answer(500))
    session.answers(200, 'whole')

    session.title('Its own error may be tried elsewhere')
    session.hand('order', '/bookings/order')
    session.answers(500)

    session.title('Others may not call the inner service')
    session.call('coach', 'GET', '/stock/check')
    session.compare('target_chain.txt')


def test_target_crash_session(patch: pytest.MonkeyPatch) -> None:
    session = NodeSession(patch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, slots=6)
    session.meet(_FIRST, _SERVICE)
    session.announce('one')

    session.title('A connection lost while the target lives is no crash')
    session.hand('cut', '/bookings/cut', fingerprint=7)
    session.ends(TARGET)
    session.let_pass(0.1)

    session.title('A listener that goes shows a crash; peers hear of it first')
    session.hand('poison', '/bookings/poison', fingerprint=8)
    session.ends(TARGET, index=0)
    session.ends(TARGET)

    session.title('The target is cold when it comes back')
    session.announce('two')
    session.hand('poison', '/bookings/poison', fingerprint=8)
    session.refusing.add(TARGET)
    session.ends(TARGET)

    session.title('A third target is spared')
    session.refusing.clear()
    session.announce('three')
    session.hand('poison', '/bookings/poison', fingerprint=8)
    session.hand('poise', '/bookings/poise', fingerprint=9)
    session.answers(200, 'whole')

    session.title('An answer that nobody asked for reaches nobody')
    session.answers(200, 'whole')

    session.title('Silence is probed, in the budget, and then it is gone')
    session.let_pass(2.2)
    session.answers(200)
    session.let_pass(1)
    session.compare('target_crashes.txt')


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


def test_holder_session(patch: pytest.MonkeyPatch) -> None:
    session = NodeSession(patch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, expected_targets=2)
    session.meet(_FIRST, _SERVICE)
    session.let_pass(20)

    session.title('A claim is granted once; the answer is kept for the next')
    session.claim(_KEYS[0], 'one')
    session.claim(_KEYS[0], 'two')
    session.settle(_KEYS[0], 'two', Outcome.ANSWERED)
    session.claim(_KEYS[0], 'two')
    session.settle(_KEYS[0], 'one', Outcome.ANSWERED)
    session.claim(_KEYS[0], 'two')
    session.claim(_KEYS[0], 'two', fingerprint=8)

    session.title('What did not run may run again; what is unknown may not')
    session.claim(_KEYS[1], 'one')
    session.settle(_KEYS[1], 'one', Outcome.NOT_RUN)
    session.claim(_KEYS[1], 'two')
    session.settle(_KEYS[1], 'two', Outcome.UNKNOWN)
    session.claim(_KEYS[1], 'three')

    session.title('An owner that is never heard of again')
    session.claim(_KEYS[2], 'one')
    session.let_pass(8)
    session.claim(_KEYS[2], 'two')

    session.title('Without the other holder there is no majority')
    session.lose(_FIRST)
    session.claim(_KEYS[3], 'one')
    session.compare('holder_keys.txt')


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
