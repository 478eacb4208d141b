"""Records of the sessions of a target's node, compared with golden files."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

import pytest

from bluebellsill.idempotency import Outcome
from bluebellsill.messages import Answer, CrashReport, Message
from bluebellsill.resources import Kind
from tests.node_session import OWN, TARGET, NodeSession

_FIRST, _SECOND = '10.0.0.2:1', '10.0.0.3:1'
_SERVICE = 'bookings'
# Version 7 UUIDs whose timestamp is ten seconds into the session.
_KEYS = [f'018bcfe5-8f10-7000-8000-{index:012}' for index in range(4)]


def _answer(status: int) -> Callable[[int], Message]:
    return lambda request_id: Answer(request_id, status, [], b'', 1, 6)


def test_target_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, slots=6)
    session.add_target_node(_FIRST, _SERVICE)

    session.section('No call runs before the target has announced itself')
    session.call_from_peer('early', '/bookings/free')
    session.announce('one')

    session.section(
        'A cold target runs one call; one waits; others are refused'
    )
    session.call_from_peer('first', '/bookings/1')
    session.call_from_peer('second', '/bookings/2')
    session.call_from_peer('third', '/bookings/3')
    session.call_from_peer('payment', '/bookings/pay', priority=2)
    session.target_responds(200, 'one')
    session.target_responds(200, 'two')

    session.section('A call that waits too long is refused as not run')
    session.call_from_peer('long', '/bookings/long')
    session.call_from_peer('waits', '/bookings/waits')
    session.advance(0.06)
    session.announce('one')

    session.section('The target connection of a cancelled call is closed')
    run = session.call_from_peer('cancelled', '/bookings/cancelled')
    assert run is not None
    session.target_responds(200, 'long')
    session.runner.cancel(run)

    session.section('A response of 503 does not raise the limit')
    session.call_from_peer('shed', '/bookings/shed')
    session.target_responds(503)

    session.section(
        'A leaving target gets no new calls and finishes the running one'
    )
    session.call_from_peer('last', '/bookings/last')
    session.announce('one', is_leaving=True)
    session.call_from_peer('new', '/bookings/new')
    session.target_responds(200, 'last')

    session.section('Refusals: stale node, target out, zone out, leaving node')
    session.announce('one')
    session.is_fresh = False
    session.call_from_peer('new', '/bookings/new')
    session.is_fresh = True
    session.declare(Kind.TARGET, OWN, in_service=False)
    session.call_from_peer('new', '/bookings/new')
    session.declare(Kind.TARGET, OWN, in_service=True)
    session.declare(Kind.AVAILABILITY_ZONE, 'a', in_service=False)
    session.call_from_peer('new', '/bookings/new')
    session.declare(Kind.AVAILABILITY_ZONE, 'a', in_service=True)
    session.acceptance.is_leaving = True
    session.call_from_peer('new', '/bookings/new')
    session.compare_with_golden('target_calls.txt')


def test_chain_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE)
    session.declare(Kind.SERVICE, 'stock', callers=[_SERVICE])
    session.add_target_node(_FIRST, 'stock')
    session.add_target_node(_SECOND, 'stock')
    session.announce('one')

    session.section(
        'A call made by the target is retried, but not the call above it'
    )
    session.call_from_peer('order', '/bookings/order')
    call_stock = partial(session.call, 'target', 'GET', '/stock/check')
    call_stock(bluebellsill_correlation='order', caller=_SERVICE)
    session.reply(_answer(500))
    session.reply(_answer(500))
    session.target_responds(502)

    session.section('A 503 of a service below does not lower the limit')
    session.runner.gate.ramp.limit = 4
    session.call_from_peer('order', '/bookings/order')
    call_stock(bluebellsill_correlation='order', caller=_SERVICE)
    session.reply(_answer(503))
    session.reply(_answer(503))
    session.target_responds(503)
    assert session.runner.gate.limit == 4

    session.section('A target that tolerates such a failure has not failed')
    session.call_from_peer('order', '/bookings/order')
    call_stock(bluebellsill_correlation='order', caller=_SERVICE)
    session.reply(_answer(500))
    session.reply(_answer(500))
    session.target_responds(200, 'whole')

    session.section("The target's own error may be retried elsewhere")
    session.call_from_peer('order', '/bookings/order')
    session.target_responds(500)

    session.section('Outside callers may not call the inner service')
    session.call('coach', 'GET', '/stock/check')
    session.compare_with_golden('target_chain.txt')


def test_target_crash_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, slots=6)
    session.add_target_node(_FIRST, _SERVICE)
    session.announce('one')

    session.section(
        'A connection lost while the target still listens is no crash'
    )
    session.call_from_peer('cut', '/bookings/cut', fingerprint=7)
    session.close_connection(TARGET)
    session.advance(0.1)

    session.section(
        'A closed listener is a crash; it is reported before the call fails'
    )
    session.call_from_peer('poison', '/bookings/poison', fingerprint=8)
    session.close_connection(TARGET, index=0)
    session.close_connection(TARGET)

    session.section(
        'The restarted target is cold; a refused connection is a crash too'
    )
    session.announce('two')
    session.call_from_peer('poison', '/bookings/poison', fingerprint=8)
    session.refusing_addresses.add(TARGET)
    session.close_connection(TARGET)

    session.section(
        'The request is quarantined before it reaches a third target'
    )
    session.refusing_addresses.clear()
    session.announce('three')
    session.call_from_peer('poison', '/bookings/poison', fingerprint=8)
    session.call_from_peer('poise', '/bookings/poise', fingerprint=9)
    session.target_responds(200, 'whole')

    session.section('A response without a request is ignored')
    session.target_responds(200, 'whole')

    session.section(
        'A silent target is probed within the budget, then declared gone'
    )
    session.advance(2.2)
    session.target_responds(200)
    session.advance(1)
    session.compare_with_golden('target_crashes.txt')


def test_call_that_is_quarantined_while_it_waits_does_not_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Targets of others may crash while it waits for a slot here."""
    session = NodeSession(monkeypatch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, slots=1)
    session.add_target_node(_FIRST, _SERVICE)
    session.announce('one')
    session.runner.gate.ramp.limit = 1
    session.call_from_peer('busy', '/bookings/busy', fingerprint=6)
    session.call_from_peer('poison', '/bookings/poison', fingerprint=7)
    for crash_id in ('10.0.0.8:1/one', '10.0.0.9:1/one'):
        session.crashes.on_report(None, CrashReport(crash_id, [7], []))
    session.target_responds(200, 'whole')
    assert not [
        line
        for line in session.lines
        if 'GET /bookings/poison' in line and 'node sends' in line
    ]
    refusals = [line for line in session.lines if 'Refusal' in line]
    assert ["kind='quarantined'" in line for line in refusals] == [True]
    assert session.runner.in_flight == 0


def test_holder_session(monkeypatch: pytest.MonkeyPatch) -> None:
    session = NodeSession(monkeypatch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, expected_targets=2)
    session.add_target_node(_FIRST, _SERVICE)
    session.advance(20)

    session.section(
        'A claim is granted once; the response is stored for retries'
    )
    session.claim(_KEYS[0], 'one')
    session.claim(_KEYS[0], 'two')
    session.settle(_KEYS[0], 'two', Outcome.ANSWERED)
    session.claim(_KEYS[0], 'two')
    session.settle(_KEYS[0], 'one', Outcome.ANSWERED)
    session.claim(_KEYS[0], 'two')
    session.claim(_KEYS[0], 'two', fingerprint=8)

    session.section('A key may be claimed again if not run, but not if unknown')
    session.claim(_KEYS[1], 'one')
    session.settle(_KEYS[1], 'one', Outcome.NOT_RUN)
    session.claim(_KEYS[1], 'two')
    session.settle(_KEYS[1], 'two', Outcome.UNKNOWN)
    session.claim(_KEYS[1], 'three')

    session.section('A claim that its owner never settles becomes unknown')
    session.claim(_KEYS[2], 'one')
    session.advance(8)
    session.claim(_KEYS[2], 'two')

    session.section('Without the other holder there is no majority')
    session.mark_gone(_FIRST)
    session.claim(_KEYS[3], 'one')
    session.compare_with_golden('holder_keys.txt')
