"""Answers to calls whose entry node has disconnected settle their key."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill.body_transfer import BodyReceiver
from bluebellsill.clock import ManualClock
from bluebellsill.idempotency import Outcome
from bluebellsill.messages import Answer, Call, Failure, Refusal, Settle
from bluebellsill.metrics import Metrics
from bluebellsill.peer_calls import PeerCalls
from bluebellsill.timers import TimerService

_HOLDERS = ['10.0.0.2:1', '10.0.0.3:1']
_ANSWER = Answer(1, 200, [('x-a', 'b')], b'paid', 0, 6)


class TargetNode:
    """A target's node that has received one call from an entry node."""

    def __init__(self, key: str = 'tenant\0s\0key') -> None:
        self.sent: list[Any] = []
        self.settled: list[tuple[str, Settle]] = []
        self.respond: Any = None
        self.stream = SimpleNamespace(is_closed=False)
        connection: Any = SimpleNamespace(
            on_cancel_by_id={},
            stream=self.stream,
            send=self.sent.append,
        )
        handlers: dict[type, Any] = {}
        server: Any = SimpleNamespace(on=handlers.__setitem__)
        runner: Any = SimpleNamespace(run=self._run)
        keys: Any = SimpleNamespace(
            settle=lambda holder, settle: self.settled.append((holder, settle)),
        )
        bodies = BodyReceiver(TimerService(ManualClock()), Metrics())
        PeerCalls(runner, bodies, keys).serve(server)
        holders = _HOLDERS if key else []
        call = Call(
            1, 's', 'POST', '/s', [], b'', 9, 1, False, 7, 'me', key, holders
        )
        handlers[Call](connection, call)

    def _run(self, call: Call, respond: Any) -> None:
        self.respond = respond


def test_answer_for_a_disconnected_entry_node_goes_to_the_holders() -> None:
    node = TargetNode()
    node.stream.is_closed = True
    node.respond(_ANSWER)
    settle = Settle(
        'tenant\0s\0key',
        'me',
        int(Outcome.ANSWERED),
        200,
        [('x-a', 'b')],
        b'paid',
    )
    assert node.settled == [(holder, settle) for holder in _HOLDERS]


def test_connected_entry_node_settles_the_key_itself() -> None:
    node = TargetNode()
    node.respond(_ANSWER)
    assert node.sent == [_ANSWER]
    assert node.settled == []


@pytest.mark.parametrize(
    'reply',
    [Refusal(1, 'overloaded', 6, 6), Failure(1, 'timed_out', False)],
)
def test_refusals_and_failures_are_not_settled_for_an_entry_node(
    reply: Any,
) -> None:
    node = TargetNode()
    node.stream.is_closed = True
    node.respond(reply)
    assert node.settled == []


def test_call_without_a_key_settles_nothing() -> None:
    node = TargetNode(key='')
    node.stream.is_closed = True
    node.respond(_ANSWER)
    assert node.settled == []
