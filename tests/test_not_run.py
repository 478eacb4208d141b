"""Requests that reached no target are refused as not run, never with 502/504.

Callers must not send such a request again if its answer promises nothing,
unless it is idempotent, so each of these answers loses a request.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill.admission import Decision, Ticket
from bluebellsill.clock import ManualClock
from bluebellsill.dispatch import Attempt
from bluebellsill.errors import RESPONSES_BY_KIND, ErrorKind, Problem
from bluebellsill.messages import Call, Cancel, Failure, Refusal
from bluebellsill.peer_calls import PeerCalls
from bluebellsill.resources import Kind
from bluebellsill.slot_gate import SlotGate
from bluebellsill.streams import Stream
from bluebellsill.timers import TimerService
from tests.node_session import TARGET, NodeSession
from tests.played import FakeStream
from tests.test_dispatch import _dispatch

_PEERS = ('10.0.0.2:1', '10.0.0.3:1')
_SERVICE = 'bookings'


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> NodeSession:
    """A node without a target that knows two nodes with targets."""
    session = NodeSession(monkeypatch)
    session.declare(Kind.SERVICE, _SERVICE, deadline_ms=150)
    for peer in _PEERS:
        session.add_target_node(peer, _SERVICE)
    return session


def _target_node(monkeypatch: pytest.MonkeyPatch) -> NodeSession:
    session = NodeSession(monkeypatch, service=_SERVICE)
    session.declare(Kind.SERVICE, _SERVICE, slots=1)
    session.announce('one')
    return session


def test_every_kind_that_is_not_run_has_a_status_that_says_so() -> None:
    """``expired`` was 504 although the request has not run."""
    promising_nothing = {502, 504}
    for kind, response in RESPONSES_BY_KIND.items():
        if response.status in promising_nothing:
            assert not response.promises_not_run, kind


def test_call_in_the_send_buffer_of_a_lost_link_has_not_run(
    entry: NodeSession,
) -> None:
    entry.call('coach', 'POST', '/bookings/new')
    first = entry.streams[-1]
    first.unsent_bytes = 1
    entry.close_connection(first.address)
    # Not idempotent, and sent to the other node all the same.
    assert len(entry.peer_requests) == 2
    entry.close_connection(entry.streams[-1].address)
    assert 'run=unknown' in entry.lines[-1]


def test_call_on_a_link_that_is_not_established_at_its_deadline_has_not_run(
    entry: NodeSession, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(FakeStream, '_connect', lambda stream: None)
    entry.call('coach', 'POST', '/bookings/new')
    entry.advance(0.2)
    assert '503 error=no_target run=not-run' in entry.lines[-1]
    # Otherwise the call would be sent and run once the link is established.
    assert entry.streams[-1].is_closed


def test_call_that_waits_at_its_deadline_is_asked_back(
    entry: NodeSession,
) -> None:
    entry.call('coach', 'POST', '/bookings/new')
    entry.advance(0.16)
    cancel = entry.sent_messages[-1]
    assert isinstance(cancel, Cancel)
    assert cancel.waiting_only
    entry.reply(lambda request_id: Refusal(request_id, 'expired', 6, 6))
    assert '503 error=expired run=not-run' in entry.lines[-1]


def test_call_of_which_nothing_is_known_at_its_deadline_may_have_run(
    entry: NodeSession,
) -> None:
    entry.call('coach', 'POST', '/bookings/new')
    entry.advance(0.25)
    answers = [line for line in entry.lines if 'coach gets' in line]
    assert len(answers) == 1
    assert '502 error=outcome_unknown run=unknown' in answers[0]


def test_refusal_of_a_newer_build_is_a_refusal(entry: NodeSession) -> None:
    """A kind that this build does not know was answered as ``internal``."""
    entry.call('coach', 'POST', '/bookings/new')
    for _ in _PEERS:
        entry.reply(lambda request_id: Refusal(request_id, 'too_hot', 6, 6))
    assert '503 error=overloaded run=not-run' in entry.lines[-1]


@pytest.mark.parametrize('starts', [True, False])
def test_only_the_node_of_the_target_tells_whether_a_call_has_started(
    monkeypatch: pytest.MonkeyPatch, starts: bool
) -> None:
    node = _target_node(monkeypatch)
    handlers: dict[type, Any] = {}
    server: Any = SimpleNamespace(on=handlers.__setitem__)
    bodies: Any = SimpleNamespace(on_piece=None, drop=lambda _: None)
    PeerCalls(node.runner, bodies).serve(server)
    sent: list[Any] = []
    connection: Any = SimpleNamespace(
        on_cancel_by_id={},
        stream=SimpleNamespace(is_closed=False),
        send=sent.append,
    )
    if not starts:
        node.call_from_peer('busy', '/bookings/1')
    call = Call(
        7, _SERVICE, 'GET', '/bookings/2', [], b'', 900, 1, True, 0, 'x'
    )
    handlers[Call](connection, call)
    handlers[Cancel](connection, Cancel(7, waiting_only=True))
    if starts:
        node.advance(0.01)  # until the connection is established
        node.target_responds(200, 'whole')
        assert sent[0].status == 200
    else:
        assert (sent[0].id, sent[0].kind) == (7, 'expired')
        assert node.runner.in_flight == 1


def test_call_for_a_target_that_accepts_no_connection_has_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The time-out of a connection attempt was reported as a failed call."""
    node = _target_node(monkeypatch)
    monkeypatch.setattr(FakeStream, '_connect', lambda stream: None)
    replies: list[Any] = []
    call = Call(
        7, _SERVICE, 'POST', '/bookings/2', [], b'', 300, 1, False, 0, 'x'
    )
    node.runner.run(call, replies.append)
    assert node.streams[-1].address == TARGET
    node.advance(0.4)
    assert isinstance(replies[0], Refusal)


def test_lost_connection_to_the_target_may_have_carried_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    node = _target_node(monkeypatch)
    replies: list[Any] = []
    call = Call(
        7, _SERVICE, 'POST', '/bookings/2', [], b'', 300, 1, False, 0, 'x'
    )
    node.runner.run(call, replies.append)
    node.advance(0.01)
    node.close_connection(TARGET)
    node.advance(0.2)
    assert isinstance(replies[0], Failure)


def test_bytes_that_could_not_be_written_were_not_sent() -> None:
    """They were dropped, so that the request on them seemed to be sent."""

    def fail(payload: bytes) -> int:
        raise ConnectionResetError

    sock: Any = SimpleNamespace(
        setblocking=lambda is_blocking: None,
        setsockopt=lambda *option: None,
        send=fail,
    )
    timers = TimerService(ManualClock())
    stream = Stream(SimpleNamespace(timers=timers), sock)  # type: ignore[arg-type]
    stream.send(b'request')
    assert stream.unsent_bytes == len(b'request')


def test_request_that_crashed_a_target_is_not_refused_as_not_run() -> None:
    """503 from us means that the request has not run and never will."""
    dispatch = _dispatch(ManualClock(), is_idempotent=True)
    dispatch.start()
    retry = dispatch.on_failure(
        ErrorKind.TARGET_FAILED, 'lost', has_crashed=True
    )
    assert isinstance(retry, Attempt)
    final = dispatch.on_refusal(ErrorKind.QUARANTINED, 1, 6)
    assert isinstance(final, Problem)
    assert final.kind is ErrorKind.TARGET_FAILED


def test_call_leaves_the_queue_while_its_refusal_is_still_in_time() -> None:
    """It was refused at its deadline, when its entry node had given up."""
    gate = SlotGate()
    gate.resize(1)
    gate.on_slowness(1, 0)
    assert gate.offer(Ticket(1, 5), 0)[0] is Decision.RUN
    waiting = Ticket(1, 1)
    assert gate.offer(waiting, 0)[0] is Decision.WAIT
    assert 0.9 < waiting.must_start_by < 0.96
    assert gate.expire(waiting.must_start_by) == [waiting]
