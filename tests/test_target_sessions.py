"""Whole sessions of a target's node, compared with golden files."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from bluebellsill.idempotency import Outcome
from bluebellsill.messages import Answer, Message
from bluebellsill.resources import Kind
from tests.node_session import OWN, TARGET, NodeSession

_FIRST, _SECOND = '10.0.0.2:1', '10.0.0.3:1'
_SERVICE = 'bookings'
# Version 7 UUIDs that were made ten seconds into the session.
_KEYS = [f'018bcfe5-8f10-7000-8000-{one:012}' for one in range(4)]


def _answer(status: int) -> Callable[[int], Message]:
    return lambda one: Answer(one, status, [], b'', 1, 6)


def test_target_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
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


def test_chain_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
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

    session.title('Load that a service below sheds does not lower the limit')
    session.runner.gate.ramp.limit = 4
    session.hand('order', '/bookings/order')
    onward(bluebellsill_correlation='order', caller=_SERVICE)
    session.reply(_answer(503))
    session.reply(_answer(503))
    session.answers(503)
    assert session.runner.gate.limit == 4

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


def test_target_crash_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
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


def test_holder_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
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
