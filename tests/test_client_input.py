"""Bounds on what clients make a node hold.

A client could fill the memory of a node with header lines, trailers, requests
sent ahead or responses that it does not read.
"""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from bluebellsill.client_input import InputBounds, InputBudget
from bluebellsill.client_input.budget import SMALL, USUAL
from bluebellsill.client_input.limits import MAX_READ_AHEAD, MAX_UNSENT
from bluebellsill.client_input.timeouts import ConnectionTimeouts
from bluebellsill.clock import ManualClock
from bluebellsill.http import Response
from bluebellsill.http_server import RequestLimits
from tests.test_http_limits import _ServerWorld, _Stream

_GET = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'
_HEAD = b'GET /x HTTP/1.1\r\n'
_CHUNKED = b'POST /x HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n'
_MIB = 1048576


@pytest.fixture
def world() -> Iterator[_ServerWorld]:
    world = _ServerWorld()
    world.server.limits = RequestLimits(16384, _MIB, 3.0, 15.0)
    yield world
    world.server.stop_accepting()


class _Spender:
    """A connection that frees its memory when it is evicted."""

    def __init__(self, budget: InputBudget) -> None:
        self.account = budget.open(self)
        self.is_evictable = True
        self.is_evicted = False

    def close_now(self, reason: str) -> None:
        """Close the account."""
        self.is_evicted = True
        self.account.close()


def _status(world: _ServerWorld) -> int:
    return int(world.stream.sent.split(b' ', 2)[1])


# Requests.


def test_largest_legal_head_of_shortest_lines_is_served(
    world: _ServerWorld,
) -> None:
    lines = b'a:\r\n' * ((16384 - len(_HEAD) - 2) // 4)
    world.connection.on_bytes(_HEAD + lines + b'\r\n')
    assert len(world.requests) == 1
    assert len(world.requests[0].headers) == len(lines) // 4


@pytest.mark.parametrize('size', (100, 70_000))
def test_head_over_the_limit_is_refused_however_it_arrives(
    world: _ServerWorld, size: int
) -> None:
    # A head that was complete at the end of a read was not measured.
    sent = _HEAD + b'a:\r\n' * 5000 + b'\r\n'
    for start in range(0, len(sent), size):
        world.connection.on_bytes(sent[start : start + size])
    assert _status(world) == 431
    assert not world.requests


def test_second_head_in_the_same_read_is_measured(world: _ServerWorld) -> None:
    world.connection.on_bytes(_GET + _HEAD + b'a:\r\n' * 5000 + b'\r\n')
    world.replies[0].send(Response(200))
    assert b'HTTP/1.1 431 ' in world.stream.sent
    assert len(world.requests) == 1


@pytest.mark.parametrize('line', (b'a:\r\n', b'\r\n'))
def test_trailers_and_empty_lines_are_limited(
    world: _ServerWorld, line: bytes
) -> None:
    start = _CHUNKED + b'0\r\n' if line.strip() else b''
    world.connection.on_bytes(start + line * 9000)
    assert _status(world) == 431
    assert not world.requests


def test_trailers_do_not_become_headers(world: _ServerWorld) -> None:
    world.connection.on_bytes(_CHUNKED + b'0\r\nx-forged: 1\r\n\r\n')
    assert world.requests[0].header('x-forged') == ''
    assert world.requests[0].body == b'x'


def test_many_chunks_are_no_framing_without_end(world: _ServerWorld) -> None:
    # The shortest chunks have five bytes of framing for each byte of a body.
    world.connection.on_bytes(_CHUNKED + b'1\r\nx\r\n' * 50_000 + b'0\r\n\r\n')
    assert len(world.requests[0].body) == 50_001


def test_empty_lines_between_requests_do_not_start_a_head(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_GET + b'\r\n')
    world.replies[0].send(Response(200))
    world.advance(4)
    assert not world.stream.is_closed
    world.connection.on_bytes(_GET)
    assert len(world.requests) == 2


def test_body_without_progress_is_refused(world: _ServerWorld) -> None:
    world.connection.on_bytes(b'POST / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx')
    world.advance(14)
    assert not world.stream.sent
    world.advance(2)
    assert _status(world) == 408


# Requests sent ahead, and responses.


def test_requests_sent_ahead_stop_the_reading(world: _ServerWorld) -> None:
    world.connection.on_bytes(_GET * 3000)
    assert world.stream.is_paused
    assert len(world.connection._pipeline) < MAX_READ_AHEAD + 60
    for number in range(3000):
        world.replies[number].send(Response(200))
        world.timers.run_due()
    assert not world.stream.is_paused
    assert world.stream.sent.count(b'HTTP/1.1 200 ') == 3000


def test_head_timeout_does_not_run_while_nothing_is_read(
    world: _ServerWorld,
) -> None:
    # The rest of a head was refused as late, though the node had not read it.
    world.connection.on_bytes(_GET * 60 + _GET[:10])
    assert world.stream.is_paused
    world.advance(10)
    for number in range(60):
        world.replies[number].send(Response(200))
        world.timers.run_due()
    world.advance(2)
    world.connection.on_bytes(_GET[10:])
    assert len(world.requests) == 61


def test_unread_responses_stop_the_handling(world: _ServerWorld) -> None:
    world.connection.on_bytes(_GET * 3)
    world.stream.unsent_bytes = MAX_UNSENT + 1
    world.replies[0].send(Response(200))
    assert len(world.requests) == 1
    assert world.stream.is_paused
    world.stream.unsent_bytes = 0
    world.connection._on_drained()
    assert len(world.requests) == 2
    assert not world.stream.is_paused


def test_client_that_takes_no_response_is_disconnected(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_GET)
    world.replies[0].send(Response(200))
    world.stream.unsent_bytes = 1000
    world.advance(10)
    world.stream.unsent_bytes = 999
    world.advance(14)
    assert not world.stream.is_closed
    world.advance(2)
    assert world.stream.is_closed


def test_progress_is_seen_between_new_responses() -> None:
    # A slow reader of many responses was seen as one that reads nothing.
    clock = ManualClock()
    limits = RequestLimits(idle_timeout=15)
    timeouts = ConnectionTimeouts(clock, limits)
    timeouts.on_sent(0, 100)
    for _ in range(5):
        clock.advance(10)
        timeouts.on_sent(90, 100)
        assert not timeouts.is_stalled(100, limits)
    clock.advance(16)
    assert timeouts.is_stalled(100, limits)


# The memory of all connections.


def test_payload_of_one_connection_may_exceed_the_budget() -> None:
    # A single body within the limits is served on a small VM.
    budget = InputBudget(_MIB)
    first, second = _Spender(budget), _Spender(budget)
    first.account.hold(1000, 64 * _MIB)
    assert not budget.is_tight
    second.account.hold(1000, _MIB)
    assert budget.is_tight
    assert first.account.may_read
    assert not second.account.may_read
    first.account.close()
    second.account.hold(1000, _MIB)
    assert second.account.may_read


def test_connection_that_holds_most_is_evicted() -> None:
    budget = InputBudget(_MIB)
    spenders = [_Spender(budget) for _ in range(4)]
    spenders[0].account.hold(900_000)
    spenders[1].account.hold(SMALL)
    spenders[2].account.hold(120_000)
    spenders[3].account.hold(100_000)
    budget.relieve()
    evicted = [one.is_evicted for one in spenders]
    assert evicted == [True, False, False, False]
    assert budget.used == SMALL + 220_000


def test_ordinary_and_protected_connections_are_not_evicted() -> None:
    budget = InputBudget(_MIB)
    spenders = [_Spender(budget) for _ in range(100)]
    for one in spenders:
        one.account.hold(USUAL)
    protected = _Spender(budget)
    protected.is_evictable = False
    protected.account.hold(_MIB)
    budget.relieve()
    assert not any(one.is_evicted for one in (*spenders, protected))


def test_many_connections_that_hold_little_are_bounded() -> None:
    # Each of them is below the size from which reading stops.
    budget = InputBudget(_MIB)
    for _ in range(100):
        _Spender(budget).account.hold(SMALL)
        budget.relieve()
        assert budget.used <= _MIB


def test_bounds_are_absent_without_the_limits_of_the_vm() -> None:
    assert InputBounds.of_vm(None, None) == InputBounds()
    assert InputBounds.of_vm(200, 4100) == InputBounds(25 * _MIB, 2050)


def _many_lines() -> bytes:
    return _HEAD + b'ab:\r\n' * 3000 + b'\r\n'


def test_requests_of_many_lines_are_refused_if_memory_is_tight(
    world: _ServerWorld,
) -> None:
    world.server.budget._capacity = _MIB
    world.connection.on_bytes(_many_lines())
    assert len(world.requests) == 1
    other = _Stream()
    world.server._on_accepted(other)
    (connection,) = world.server._connections - {world.connection}
    connection.on_bytes(_many_lines())
    assert other.sent.startswith(b'HTTP/1.1 503 ')
    assert b'bluebellsill-run: not-run' in other.sent
    assert other.is_closed
    assert len(world.requests) == 1
    # Ordinary requests are still served, even if nothing can be freed.
    world.server.budget._capacity = 1000
    third = _Stream()
    world.server._on_accepted(third)
    (connection,) = world.server._connections - {world.connection}
    connection.on_bytes(_GET)
    assert len(world.requests) == 2


def test_memory_is_released_with_the_response_and_the_connection(
    world: _ServerWorld,
) -> None:
    world.connection.on_bytes(_many_lines())
    assert world.server.budget.used > 3000 * 100
    world.replies[0].send(Response(200))
    assert world.server.budget.used < 4096
    world.connection.on_lost('reset')
    assert world.server.budget.used == 0


def test_bound_of_connections_closes_the_oldest_that_sent_nothing(
    world: _ServerWorld,
) -> None:
    world.server._max_connections = 3
    world.connection.on_bytes(_GET)
    world.replies[0].send(Response(200))
    streams = [_Stream() for _ in range(4)]
    for stream in streams:
        world.advance(0.1)
        world.server._on_accepted(stream)
    assert [one.is_closed for one in streams] == [True, True, False, False]
    assert not world.stream.is_closed


def test_connection_that_sends_a_body_makes_room_last(
    world: _ServerWorld,
) -> None:
    world.server._max_connections = 2
    world.connection.on_bytes(b'PUT / HTTP/1.1\r\ncontent-length: 9\r\n\r\nx')
    streams = [_Stream(), _Stream()]
    for stream in streams:
        world.advance(0.1)
        world.server._on_accepted(stream)
    assert [one.is_closed for one in streams] == [True, False]
    assert not world.stream.is_closed


def test_connections_that_wait_for_responses_are_kept(
    world: _ServerWorld,
) -> None:
    world.server._max_connections = 1
    world.connection.on_bytes(_GET)
    stream = _Stream()
    world.server._on_accepted(stream)
    assert stream.is_closed
    assert not world.stream.is_closed
