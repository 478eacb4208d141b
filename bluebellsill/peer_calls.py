"""Serves the calls and claims that other nodes send to this one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.errors import ErrorKind
from bluebellsill.idempotency import Outcome
from bluebellsill.messages import (
    Answer,
    BodyPiece,
    Call,
    Cancel,
    Claim,
    Message,
    Settle,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.body_transfer import BodyReceiver
    from bluebellsill.key_registry import KeyRegistry
    from bluebellsill.peers import PeerConnection, PeerServer
    from bluebellsill.runs import Run
    from bluebellsill.target_runner import TargetRunner

__all__ = ('PeerCalls',)


class PeerCalls:
    """Runs calls at the target of this node and answers key claims."""

    def __init__(
        self,
        runner: TargetRunner,
        bodies: BodyReceiver,
        keys: KeyRegistry | None = None,
    ) -> None:
        """Create the handlers.

        Args:
            runner: Runs the calls.
            bodies: Receives the bodies that calls do not contain.
            keys: Answers the claims; None if no keys are held here.
        """
        self._runner = runner
        self._bodies = bodies
        self._keys = keys

    def serve(self, server: PeerServer) -> None:
        """Register the handlers for calls and claims."""
        server.on(Call, self._on_call)
        server.on(Cancel, self._on_cancel)
        server.on(BodyPiece, self._bodies.on_piece)
        if self._keys is not None:
            keys = self._keys
            server.on(Claim, self._on_claim(keys))
            server.on(Settle, lambda _, settle: keys.on_settle(settle))

    def _on_call(self, connection: PeerConnection, call: Call) -> None:
        on_cancel_by_id = connection.on_cancel_by_id
        is_done = False
        transfer = 0

        def respond(reply: Message) -> None:
            nonlocal is_done
            is_done = True
            self._bodies.drop(transfer)
            on_cancel_by_id.pop(call.id, None)
            connection.send(reply)
            if connection.stream.is_closed and isinstance(reply, Answer):
                self._settle(call, reply)

        run = self._runner.run(call, respond)
        if run is None or is_done:
            return
        if run.awaits_body:
            transfer = self._request_body(connection, run)

        def cancel(waiting_only: bool) -> None:
            self._bodies.drop(transfer)
            if waiting_only:
                self._runner.refuse_waiting(run)
            else:
                self._runner.cancel(run)

        on_cancel_by_id[call.id] = cancel

    def _request_body(self, connection: PeerConnection, run: Run) -> int:
        """Request the body of an accepted call.

        Until it has arrived, the call keeps its slot or its place in the
        queue, and has not run.
        """
        return self._bodies.request(
            connection,
            run.call,
            run.ticket.expires_at,
            lambda body: self._runner.on_body(run, body),
            lambda: self._runner.refuse_without_body(
                run, ErrorKind.BODY_NOT_SENT
            ),
        )

    def _settle(self, call: Call, answer: Answer) -> None:
        """Send an answer to the holders of its key.

        The entry node does so normally, but its connection has ended.
        """
        if self._keys is None:
            return
        settle = Settle(
            call.key,
            call.correlation,
            int(Outcome.ANSWERED),
            answer.status,
            answer.headers,
            answer.body,
        )
        for holder in call.holders:
            self._keys.settle(holder, settle)

    def _on_cancel(self, connection: PeerConnection, cancel: Cancel) -> None:
        on_cancel = connection.on_cancel_by_id.get(cancel.id)
        if on_cancel is None:
            return
        if not cancel.waiting_only:
            del connection.on_cancel_by_id[cancel.id]
        on_cancel(cancel.waiting_only)

    def _on_claim(
        self,
        keys: KeyRegistry,
    ) -> Callable[[PeerConnection, Claim], None]:
        return lambda connection, claim: connection.send(keys.on_claim(claim))
