"""Bodies are sent only to nodes that have accepted their calls."""

from __future__ import annotations

import os
from socket import socket
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec import Struct, msgpack

from bluebellsill.admission import Decision, Ticket
from bluebellsill.body_transfer.outgoing import OutgoingBody, PieceQueue
from bluebellsill.body_transfer.receiver import IncomingBody
from bluebellsill.body_transfer.window import (
    BODY_WINDOW,
    LINK_WINDOW,
    PIECE_SIZE,
)
from bluebellsill.errors import ErrorKind
from bluebellsill.messages import (
    BodyPiece,
    BodyRequest,
    Hello,
    MessageError,
    encode,
)
from bluebellsill.slot_gate import SlotGate
from bluebellsill.streams import Stream
from tests.peer_world import NODE, PeerWorld

_BODY = os.urandom(60000)
_LARGE = os.urandom(1000000)
_MAX_CALL = 2000  # bytes of a call without its body


@pytest.fixture
def world(monkeypatch: pytest.MonkeyPatch) -> PeerWorld:
    """Two nodes that transfer bodies; the target runs one call at a time."""
    return PeerWorld(monkeypatch)


def _body_at_target(world: PeerWorld) -> bytes:
    received = world.target_requests()[-1]
    return received.partition(b'\r\n\r\n')[2]


@pytest.mark.parametrize('body', [_BODY, _LARGE])
def test_body_of_an_admitted_call_arrives_on_its_own_connection(
    world: PeerWorld, body: bytes
) -> None:
    """A body on the connection for calls would delay all other messages."""
    _, outcomes = world.call(body)
    assert _body_at_target(world) == body
    world.target_answers()
    assert outcomes.log == ['answer 200', '200 to the client']
    assert world.call_connection().queued_bytes < _MAX_CALL
    assert world.calls.counts['bodies_sent'] == 1
    assert world.calls.held_bytes == world.bodies.held_bytes == 0


def test_small_body_is_part_of_its_call(world: PeerWorld) -> None:
    """A round trip for each small body would cost more than it saves."""
    world.call(b'x' * 8192)
    assert _body_at_target(world) == b'x' * 8192
    assert world.calls.counts['bodies_sent'] == 0


def test_body_is_not_sent_to_a_node_that_refuses_its_call(
    world: PeerWorld,
) -> None:
    """Each refusal would cost the whole body on a slow link."""
    world.refusal_kind = ErrorKind.ZONE_OUT
    _, outcomes = world.call(_BODY)
    assert outcomes.log == ['not run: zone_out', '503 to the client']
    assert world.call_connection().queued_bytes < _MAX_CALL
    assert len(world.calls.body_links) == 0
    assert world.calls.counts['refused_before_body'] == 1
    assert world.calls.held_bytes == 0


def test_admitted_call_keeps_its_slot_until_its_body_has_arrived(
    world: PeerWorld,
) -> None:
    """A later call would take the slot, and the body come in vain."""
    world.call(_BODY, holds_bodies=True)
    _, later = world.call(b'', name='later')
    assert world.target_requests() == []
    assert world.runner.gate.in_flight == 1
    assert 'a' not in world.runner.runs.running_ids()
    world.release_bodies()
    assert _body_at_target(world) == _BODY
    assert 'a' in world.runner.runs.running_ids()
    assert later.log == []


def test_queued_call_keeps_its_place_until_its_body_has_arrived(
    world: PeerWorld,
) -> None:
    """It must neither start without its body nor lose its place."""
    world.call(b'', name='first')
    world.call(_BODY, name='upload', holds_bodies=True)
    assert world.runner.in_flight == 2
    world.target_answers()
    assert world.target_requests() == []
    assert world.runner.gate.in_flight == 1
    world.release_bodies()
    assert _body_at_target(world) == _BODY


def test_body_that_arrives_while_its_call_waits_starts_nothing(
    world: PeerWorld,
) -> None:
    """The target would run more calls than it has slots."""
    world.call(b'', name='first')
    world.call(_BODY, name='upload')
    assert len(world.target_requests()) == 1
    world.target_answers()
    assert _body_at_target(world) == _BODY


def test_time_of_the_transfer_is_not_service_time(world: PeerWorld) -> None:
    """Estimates of the service time would depend on the callers' links."""
    world.call(_BODY, holds_bodies=True)
    world.advance(1)
    world.release_bodies()
    started_at = [run.ticket.started_at for run in world.runner.runs.selected()]
    assert started_at == [world.clock.now()]


def test_call_that_has_its_body_but_not_its_turn_can_be_refused(
    world: PeerWorld,
) -> None:
    """It would start at a target that leaves, when its turn comes."""
    _, outcomes = world.call(_BODY, holds_bodies=True)
    world.runner.gate.resume = lambda *_: 0.5  # type: ignore[method-assign]
    world.release_bodies()
    assert world.target_requests() == []
    world.runner.refuse_queue(ErrorKind.LEAVING)
    world.advance(1)
    assert outcomes.log == ['not run: leaving', '503 to the client']
    assert world.target_requests() == []


def test_call_that_has_its_body_starts_when_its_turn_comes(
    world: PeerWorld,
) -> None:
    world.call(_BODY, holds_bodies=True)
    world.runner.gate.resume = lambda *_: 0.5  # type: ignore[method-assign]
    world.release_bodies()
    assert world.target_requests() == []
    world.advance(0.6)
    assert _body_at_target(world) == _BODY


def test_cancelled_call_frees_its_slot_while_its_body_is_on_the_way(
    world: PeerWorld,
) -> None:
    """A call that cannot be cancelled once it runs would keep the slot."""
    call, _ = world.call(_BODY, holds_bodies=True)
    call.cancel()
    world.settle()
    assert world.runner.in_flight == 0
    assert world.calls.held_bytes == 0
    world.release_bodies()
    assert world.target_requests() == []
    assert world.bodies.held_bytes == 0
    world.call(_BODY, name='next')
    assert _body_at_target(world) == _BODY


def test_cancelled_call_leaves_the_queue_while_its_body_is_on_the_way(
    world: PeerWorld,
) -> None:
    world.call(b'', name='first')
    call, _ = world.call(_BODY, name='upload', holds_bodies=True)
    call.cancel()
    world.release_bodies()
    assert world.runner.in_flight == 1
    world.target_answers()
    assert world.target_requests() == []


def test_call_whose_body_is_late_has_not_run(world: PeerWorld) -> None:
    """A slot would wait for an entry node that has failed silently."""
    _, outcomes = world.call(_LARGE, holds_bodies=True)
    world.call_connection().is_held = True
    world.advance(1.9)
    assert world.runner.in_flight == 1
    world.advance(0.2)
    assert world.runner.in_flight == 0
    assert world.metrics.counts['bodies_missing'] == 1
    assert outcomes.log == ['not run: no_target', '503 to the client']


def test_call_does_not_wait_for_its_body_beyond_its_deadline(
    world: PeerWorld,
) -> None:
    """The target would get a call whose caller has left."""
    world.call(_LARGE, timeout=0.5, holds_bodies=True)
    world.call_connection().is_held = True
    world.advance(0.52)
    assert world.runner.in_flight == 0


@pytest.mark.parametrize('is_idempotent', [False, True])
def test_call_that_times_out_before_its_body_was_sent_has_not_run(
    world: PeerWorld, is_idempotent: bool
) -> None:
    """502 or 504 would leave the client in doubt."""
    _, outcomes = world.call(
        _LARGE, timeout=0.2, is_idempotent=is_idempotent, holds_bodies=True
    )
    world.advance(0.3)
    assert outcomes.log == ['not run: body_not_sent', '503 to the client']
    assert world.runner.in_flight == 0
    assert world.calls.held_bytes == 0


def test_call_that_times_out_after_its_body_was_sent_may_have_run(
    world: PeerWorld,
) -> None:
    """Sent elsewhere, it would run twice."""
    _, outcomes = world.call(_BODY, timeout=0.2)
    world.advance(0.3)
    assert outcomes.log == ['may have run: timed_out', '502 to the client']


def test_peer_that_cannot_be_reached_has_not_run_the_call(
    world: PeerWorld,
) -> None:
    world.reactor.refusing.add(NODE)
    _, outcomes = world.call(_BODY)
    assert outcomes.log == ['not run: no_target', '503 to the client']


def test_call_whose_node_is_lost_before_it_asks_for_the_body_has_not_run(
    world: PeerWorld,
) -> None:
    world.call(b'', name='first')
    world.target_answers()
    world.call_connection().other.is_held = True
    _, outcomes = world.call(_BODY)
    world.cut(world.call_connection())
    assert outcomes.log == ['not run: no_target', '503 to the client']
    assert world.runner.in_flight == 0


def test_call_has_not_run_if_its_node_is_lost_during_the_transfer(
    world: PeerWorld,
) -> None:
    _, outcomes = world.call(_LARGE, holds_bodies=True)
    world.cut(world.call_connection())
    assert outcomes.log == ['not run: no_target', '503 to the client']
    assert world.runner.in_flight == 0
    world.release_bodies()
    assert world.target_requests() == []
    assert world.bodies.held_bytes == 0


def test_call_may_have_run_if_its_node_is_lost_after_the_transfer(
    world: PeerWorld,
) -> None:
    _, outcomes = world.call(_BODY)
    world.cut(world.call_connection())
    assert outcomes.log == ['may have run: target_failed', '502 to the client']


def test_loss_of_the_connection_for_bodies_ends_the_calls_on_it(
    world: PeerWorld,
) -> None:
    """Their slots would wait, and another connection get a body's middle."""
    _, first = world.call(_LARGE, name='first', holds_bodies=True)
    _, second = world.call(_LARGE, name='second', holds_bodies=True)
    assert world.runner.in_flight == 2
    connection = world.body_connection()
    for _ in range(8):
        connection.deliver_one()
        connection.other.deliver_one()
    assert all(world.body_sizes())
    world.cut(connection)
    expected = ['not run: no_target', '503 to the client']
    assert first.log == second.log == expected
    assert world.runner.in_flight == 0
    assert world.bodies.held_bytes == 0
    world.call(_LARGE, name='third')
    assert _body_at_target(world) == _LARGE
    assert NODE in world.suspected


def test_body_that_waits_for_its_turn_is_sent_on_the_next_connection(
    world: PeerWorld,
) -> None:
    """A call would fail though nothing of its body was lost."""
    world.call(_LARGE, name='first', holds_bodies=True)
    world.call(_LARGE, name='second', holds_bodies=True)
    assert world.body_sizes() == [0, 0]
    world.cut(world.body_connection())
    assert _body_at_target(world) == _LARGE


def test_other_calls_survive_the_loss_of_the_connection_for_bodies(
    world: PeerWorld,
) -> None:
    """A call whose body has arrived, and one without, are not affected."""
    _, running = world.call(_BODY, name='running')
    _, queued = world.call(_LARGE, name='queued', holds_bodies=True)
    world.cut(world.body_connection())
    assert queued.log == ['not run: no_target', '503 to the client']
    world.target_answers()
    assert running.log == ['answer 200', '200 to the client']


def test_node_refuses_a_call_whose_body_was_sent_but_got_lost(
    world: PeerWorld,
) -> None:
    """The entry node cannot know whether all of it has arrived."""
    _, outcomes = world.call(_BODY, holds_bodies=True)
    body_connection = world.body_connection()
    body_connection.deliver_one()
    body_connection.deliver_one()
    world.cut(body_connection)
    assert outcomes.log == ['not run: body_not_sent', '503 to the client']
    assert world.runner.in_flight == 0


def test_calls_that_await_their_body_are_refused_with_the_queue(
    world: PeerWorld,
) -> None:
    """A target that leaves would get them as new requests."""
    _, outcomes = world.call(_BODY, holds_bodies=True)
    world.runner.refuse_queue(ErrorKind.LEAVING)
    world.release_bodies()
    assert outcomes.log == ['not run: leaving', '503 to the client']
    assert world.target_requests() == []
    assert world.runner.in_flight == 0


def test_call_does_not_start_if_its_node_refuses_calls_by_then(
    world: PeerWorld,
) -> None:
    """The zone may be taken out while the body is on the way."""
    _, outcomes = world.call(_BODY, holds_bodies=True)
    world.refusal_kind = ErrorKind.STALE
    world.release_bodies()
    assert outcomes.log == ['not run: stale', '503 to the client']
    assert world.runner.in_flight == 0


def test_call_whose_body_was_not_sent_is_known_not_to_have_run(
    world: PeerWorld,
) -> None:
    """A process that ends would answer it with 502."""
    unsent, _ = world.call(_LARGE, holds_bodies=True)
    assert unsent.has_not_run
    world.release_bodies()
    assert not unsent.has_not_run


def test_node_of_an_earlier_build_gets_the_body_in_the_call(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It would run a call without its body."""
    world = PeerWorld(monkeypatch, answers_hello=False)
    _, outcomes = world.call(_BODY)
    assert _body_at_target(world) == _BODY
    world.target_answers()
    assert outcomes.log == ['answer 200', '200 to the client']
    assert len(world.calls.body_links) == 0


def test_body_too_large_for_a_node_of_an_earlier_build_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The frame would end the connection and all calls on it."""
    world = PeerWorld(monkeypatch, answers_hello=False)
    _, other = world.call(b'', name='other')
    _, outcomes = world.call(bytes(17000000))
    assert outcomes.log == ['not run: no_target', '503 to the client']
    world.target_answers()
    assert other.log == ['answer 200', '200 to the client']


def test_stream_counts_what_the_other_host_has_acknowledged() -> None:
    """A link whose peer takes nothing would seem to make progress."""
    reactor: Any = SimpleNamespace(
        add=_ignore, remove=_ignore, want_write=lambda *_, **__: None
    )
    with socket() as listener:
        listener.bind(('127.0.0.1', 0))
        listener.listen()
        near = socket()
        near.connect(listener.getsockname())
        far, _ = listener.accept()
        stream = Stream(reactor, near)
        stream.send(bytes(20_000_000))
        assert stream.delivered_bytes < stream.queued_bytes == 20_000_000
        with far:
            while stream.delivered_bytes < stream.queued_bytes:
                far.recv(1_000_000)
                stream.on_writable()
        stream.close()


class _EarlierHello(Struct, array_like=True, tag=1):
    member_id: str
    incarnation: int
    compresses: bool = False


def test_node_of_an_earlier_build_can_read_the_hello() -> None:
    hello = encode(Hello('a', 1, transfers_bodies=True))
    decoded = msgpack.decode(hello, type=_EarlierHello)
    assert decoded == _EarlierHello('a', 1)
    earlier = msgpack.encode(_EarlierHello('a', 1))
    assert not msgpack.decode(earlier, type=Hello).transfers_bodies


def test_slow_connection_for_bodies_that_makes_progress_is_not_silent(
    world: PeerWorld,
) -> None:
    """Heartbeats wait behind bodies on a slow link."""
    _, outcomes = world.call(_LARGE, timeout=100, holds_bodies=True)
    connection = world.body_connection()
    connection.other.is_held = False
    while connection.outbox:
        # A piece takes 0.4 s, a heartbeat no time.
        is_piece = len(connection.outbox[0]) > PIECE_SIZE // 2
        connection.deliver_one()
        world.advance(0.4 if is_piece else 0)
        world.settle()
    assert _body_at_target(world) == _LARGE
    world.target_answers()
    assert outcomes.log == ['answer 200', '200 to the client']


def test_connection_for_bodies_without_progress_is_silent(
    world: PeerWorld,
) -> None:
    """Without a check, the entry node would wait for a peer that hangs."""
    _, outcomes = world.call(_LARGE, holds_bodies=True)
    world.advance(1)
    assert outcomes.log == ['not run: no_target', '503 to the client']
    assert NODE in world.suspected


def test_connection_that_sends_a_large_message_slowly_is_not_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All calls on a link to an earlier build would fail with the body."""
    world = PeerWorld(monkeypatch, answers_hello=False)
    world.call(b'', name='first')
    world.target_answers()
    connection = world.call_connection()
    connection.is_held = True
    world.call(_LARGE, timeout=100)
    for _ in range(20):
        world.advance(0.1)
        connection.delivered_bytes += 100
    assert not connection.is_closed
    world.advance(1)
    assert connection.is_closed


def test_connection_that_receives_a_large_message_slowly_is_not_silent(
    world: PeerWorld,
) -> None:
    """The reply to a heartbeat waits behind a large answer."""
    world.call(b'', name='first')
    connection = world.call_connection()
    connection.other.is_held = True
    connection.owner.on_bytes(b'\x00\x01\x00\x00')  # the length of a frame
    for _ in range(20):
        world.advance(0.1)
        connection.owner.on_bytes(b'x')
    assert not connection.is_closed
    world.advance(0.7)
    assert connection.is_closed


@given(st.lists(st.integers(min_value=1, max_value=400000), max_size=6))
def test_bodies_on_one_connection_alternate_within_the_window(
    sizes: list[int],
) -> None:
    """A large body would delay small ones, or fill the path to the peer."""
    queue = PieceQueue()
    bodies = [
        OutgoingBody(
            BodyRequest(number, number, BODY_WINDOW), bytes(size), _ignore
        )
        for number, size in enumerate(sizes)
    ]
    for body in bodies:
        queue.add(body)
    on_the_way: list[BodyPiece] = []
    received = [0 for _ in sizes]
    while queue:
        for body in iter(queue.next_body, None):
            on_the_way.append(body.take_piece())
        total = sum(len(piece.piece) for piece in on_the_way)
        assert total <= LINK_WINDOW + PIECE_SIZE
        piece = on_the_way.pop(0)
        assert piece.offset == received[piece.id]
        received[piece.id] += len(piece.piece)
        body = bodies[piece.id]
        body.on_progress(received[piece.id], received[piece.id] + BODY_WINDOW)
        unfinished = [
            received[number]
            for number, size in enumerate(sizes)
            if received[number] < size
        ]
        if len(unfinished) > 1:
            spread = max(unfinished) - min(unfinished)
            assert spread <= LINK_WINDOW + PIECE_SIZE
        if body.is_received:
            queue.remove(body)
    assert received == sizes


@given(
    st.lists(
        st.tuples(st.integers(0, 30), st.integers(0, 30)),
        min_size=1,
        max_size=20,
    )
)
def test_bodies_that_arrive_together_do_not_exceed_the_rate_of_a_cold_target(
    calls: list[tuple[int, int]],
) -> None:
    """Their calls were admitted at the rate, but start only now."""
    gate = SlotGate()
    gate.resize(30)
    gate.limit_starts_until(1000, 2)
    events: list[tuple[float, Ticket | None]] = [
        (admitted / 10, None) for admitted, _ in calls
    ]
    body_delays = [delay / 10 for _, delay in calls]
    starts: list[float] = []
    while events:
        events.sort(key=lambda event: event[0])
        now, ticket = events.pop(0)
        if ticket is not None:
            starts.append(now + gate.resume(ticket, now))
            continue
        gate.on_slowness(1, now)
        ticket = Ticket(1, now + 100)
        if gate.offer(ticket, now)[0] is Decision.RUN:
            events.append((now + body_delays.pop(), ticket))
    starts.sort()
    later = starts[2:]
    assert all(third - first > 1 for first, third in zip(starts, later))


def _ignore(message: Any) -> None:
    """Ignore what a receiver sends."""


@pytest.mark.parametrize(
    'piece',
    [
        BodyPiece(1, 5, b'gap'),
        BodyPiece(1, 3, b'repeated'),
        BodyPiece(1, 4, b'too long'),
    ],
)
def test_piece_that_does_not_fit_is_an_error(piece: BodyPiece) -> None:
    """The target would get another body than the client sent."""
    body = IncomingBody(8)
    body.add(BodyPiece(1, 0, b'good'))
    with pytest.raises(MessageError):
        body.add(piece)
    assert body.received == 4


def test_body_may_not_exceed_what_its_receiver_takes() -> None:
    """A receiver that cannot pass pieces on would hold the whole body."""
    body = OutgoingBody(BodyRequest(1, 1, 20000), bytes(50000), _ignore)
    assert len(body.take_piece().piece) == PIECE_SIZE
    assert len(body.take_piece().piece) == 20000 - PIECE_SIZE
    assert not body.may_send
    body.on_progress(20000, 30000)
    assert len(body.take_piece().piece) == 10000
    assert not body.may_send
