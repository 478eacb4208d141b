"""Calls whose caller has left are withdrawn from the target's queue."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from bluebellsill.clock import ManualClock
from bluebellsill.dispatch import Attempt
from bluebellsill.http import Request
from bluebellsill.messages import Call, Refusal
from bluebellsill.outbound_call import OutboundCall
from bluebellsill.route import Route
from bluebellsill.timers import TimerService

_OWN = '10.0.0.1:1'


class _Runner:
    """Refuses calls that may not wait, and queues the others."""

    def __init__(self) -> None:
        self.cancelled: list[str] = []

    def run(self, call: Call, respond: Callable[[Any], None]) -> Any:
        if call.may_wait:
            return 'queued'
        respond(Refusal(call.id, 'overloaded', 6, 6))
        return None

    def cancel(self, run: str) -> None:
        self.cancelled.append(run)


def test_call_that_waits_after_a_refusal_of_the_same_target_is_cancelled() -> (
    None
):
    """The run of the refused attempt replaced that of the one that waits."""
    timers = TimerService(ManualClock())
    dispatch: Any = SimpleNamespace(
        start=lambda: Attempt(_OWN, 1, may_wait=False),
        on_refusal=lambda *_, **__: Attempt(_OWN, 1),
        on_abandoned=lambda: None,
    )
    links: Any = SimpleNamespace(
        next_id=iter(range(1, 9)).__next__,
        now=timers.clock.now,
        reactor=SimpleNamespace(timers=timers),
    )
    inbound: Any = SimpleNamespace(
        request=Request('PUT', '/x', []),
        service_name='shop',
        route=Route('r'),
        is_idempotent=False,
        fingerprint=1,
        correlation='a',
        scoped_key='',
        granted_by=[],
        caller='',
        first_attempt_at=0,
        received_at=0,
        team=None,
    )
    runner: Any = _Runner()
    call = OutboundCall(
        inbound, dispatch, links, runner, _OWN, [], lambda outcome: None
    )
    call.start()
    call.cancel()
    assert runner.cancelled == ['queued']
