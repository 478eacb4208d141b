"""One connection of a client."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.client_input.intake import OVERLOADED, Intake, IntakeRules
from bluebellsill.client_input.limits import MAX_UNSENT, READ_SIZE
from bluebellsill.client_input.reply import Reply
from bluebellsill.client_input.timeouts import ConnectionTimeouts
from bluebellsill.http import Request, problem_response

if TYPE_CHECKING:
    from bluebellsill.errors import Problem
    from bluebellsill.streams import Stream
    from bluebellsill.timers import TimerService

__all__ = ('ClientConnection', 'ConnectionOwner')

# Steps after which other connections have their turn: a client may send
# requests that are answered at once as fast as they are read.
_MAX_STEPS = 64
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


class ConnectionOwner(IntakeRules, Protocol):
    """The server of a connection.

    Attributes:
        is_closing: Whether connections are closed after their responses.
        timers: Runs callbacks.
    """

    is_closing: bool
    timers: TimerService

    def handle(self, request: Request, reply: Reply) -> None:
        """Pass a request to its handler."""

    def discard(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""

    def on_closing(self, connection: ClientConnection) -> None:
        """A connection ends when its last response has been sent."""

    def on_balance(self, connection: ClientConnection, *, waits: bool) -> None:
        """The memory of a connection has changed.

        Args:
            connection: The connection.
            waits: Whether it does not read until others free memory.
        """


class ClientConnection:
    """Reads requests, passes them on, and sends the responses in order.

    Attributes:
        stream: The connection.
    """

    def __init__(self, server: ConnectionOwner, stream: Stream) -> None:
        """Serve an accepted connection."""
        self.stream = stream
        self._has_served = False
        self._server = server
        self._timeouts = ConnectionTimeouts(server.timers.clock, server.limits)
        self._intake = Intake(server, self, self._timeouts, stream)
        self._pipeline = self._intake.pipeline
        self._is_advancing = False
        self._is_closing = False
        self._is_paused = False
        stream.read_size = READ_SIZE
        stream.on_drained = self._on_drained

    # Callbacks of the stream.

    def on_connected(self) -> None:
        """Do nothing: accepted connections are established."""

    def on_bytes(self, chunk: bytes) -> None:
        """Parse a part of the request stream."""
        if self._is_closing:
            return
        if self._intake.is_last_read:
            # What follows is never handled.
            self._set_paused(is_paused=True)
            return
        self._timeouts.on_bytes()
        self._intake.reader.add(chunk)
        self.advance()

    def on_lost(self, reason: str) -> None:
        """Abandon all requests."""
        self._end()

    # Called by the server and the replies.

    def check(self) -> None:
        """Apply the timeouts.

        Those of requests do not apply while a request is being handled or its
        response is being sent.
        """
        unsent = self.stream.unsent_bytes
        if self.stream.is_closed:
            self._end()
        elif self._timeouts.is_stalled(unsent, self._server.limits):
            self.close_now('stalled')
        elif self.is_idle and not unsent and not self._is_closing:
            self._check_input()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or handled."""
        if self.is_idle and not self._intake.reader.has_begun:
            self._close()

    @property
    def is_idle(self) -> bool:
        """Whether no complete request waits for its response."""
        return not self._pipeline

    @property
    def rank(self) -> tuple[bool, bool, float]:
        """The order in which idle connections make room, lowest first.

        Those that send a body come last, and before them those that have been
        of use. Ordinary clients send a request as soon as they have connected.
        """
        reader = self._intake.reader
        has_body = reader.has_begun and not reader.is_reading_head
        return has_body, self._has_served, self._timeouts.active_at

    @property
    def is_evictable(self) -> bool:
        """Whether no request is handled that must run at most once."""
        return not self._pipeline.runs_alone

    def close_now(self, reason: str) -> None:
        """Close the connection without sending what has not been sent.

        A request that is being read is refused.

        Args:
            reason: Why, for the log.
        """
        self._server.events.closed(
            reason, self._intake.account.held, self._pipeline.started
        )
        if self.is_idle and self._intake.reader.has_begun:
            response = problem_response(OVERLOADED)
            self.stream.send(response.encode(closes_connection=True))
        self.stream.close()
        self._end()

    def advance(self) -> None:
        """Send, handle and parse until nothing more is possible."""
        if self._is_advancing or self._is_closing:
            return
        # A handler may answer at once, which calls this method again.
        self._is_advancing = True
        try:
            self._run_steps()
        except BaseException:
            self._is_advancing = False
            raise
        self._is_advancing = False
        if not self._is_closing:
            self._settle()

    # Requests and responses.

    def _run_steps(self) -> None:
        for _ in range(_MAX_STEPS):
            if self._is_closing or not self._step():
                return
        self._server.timers.after(0, self.advance)

    def _step(self) -> bool:
        """Do one thing that is possible; return whether there was one."""
        if self._pipeline and (self._send_response() or self._start_next()):
            return True
        return self._parse_more()

    def _parse_more(self) -> bool:
        """Parse what was received; return whether there was something."""
        intake = self._intake
        reader = intake.reader
        if intake.owes_continue and self.is_idle:
            intake.owes_continue = False
            self._send(_CONTINUE)
        if reader.has_unparsed and intake.may_parse:
            reader.parse()
            return True
        if reader.problem is not None and self.is_idle:
            self._refuse(reader.problem)
        return False

    def _send_response(self) -> bool:
        """Send what is ready of the next response."""
        head = self._pipeline.head
        if head is None:
            return False
        if not head.is_done:
            if head.has_output:
                self._send(head.take_output(closes_connection=False))
            return False
        closes_connection = head.closes_connection or (
            self._server.is_closing and self._pipeline.started == 1
        )
        self._pipeline.pop()
        self._has_served = True
        self._timeouts.on_idle(self._server.limits)
        self._send(head.take_output(closes_connection=closes_connection))
        if closes_connection:
            self._close()
        return True

    def _start_next(self) -> bool:
        """Pass the next request to its handler if it may be handled now."""
        if self.stream.unsent_bytes > MAX_UNSENT:
            return False
        exchange = self._pipeline.next_to_start()
        if exchange is None:
            return False
        if self._server.is_closing and self._pipeline.started:
            # The connection is closed after the requests that were started.
            return False
        exchange.is_started = True
        reply = Reply(self, exchange)
        if exchange.refusal is None:
            self._server.handle(exchange.parsed.request, reply)
        else:
            reply.send(problem_response(exchange.refusal))
        return True

    def _refuse(self, problem: Problem) -> None:
        """Answer a request that could not be read, and close."""
        self._server.events.refused(problem, self._intake.account.held)
        response = problem_response(problem)
        self._send(response.encode(closes_connection=True))
        self._close()

    def _send(self, payload: bytes) -> None:
        before = self.stream.unsent_bytes
        self.stream.send(payload)
        self._timeouts.on_sent(before, self.stream.unsent_bytes)

    def _on_drained(self) -> None:
        if self.is_idle:
            # The client could not know earlier that the response is complete.
            self._timeouts.on_idle(self._server.limits)
        self.advance()

    # Memory, reading and timeouts.

    def _settle(self) -> None:
        """Update what depends on what the connection holds."""
        intake = self._intake
        intake.update_account()
        if intake.is_head_too_costly:
            intake.reader.fail(OVERLOADED)
            self.advance()
            return
        if not intake.is_last_read:
            self._set_paused(is_paused=intake.is_blocked)
        self._server.on_balance(self, waits=not intake.account.may_read)

    def _set_paused(self, *, is_paused: bool) -> None:
        if is_paused and not self._is_paused:
            self.stream.pause_reading()
        elif self._is_paused and not is_paused:
            self._timeouts.on_resumed()
            self.stream.resume_reading()
        self._is_paused = is_paused

    def _check_input(self) -> None:
        if not self._intake.reader.has_begun:
            if self._timeouts.is_idle_over():
                self._close()
            return
        late = self._intake.late_problem()
        if late is not None:
            self._intake.reader.fail(late)
            self.advance()

    # End.

    def _close(self) -> None:
        """Close the connection once everything is sent."""
        if not self.stream.unsent_bytes:
            self.stream.close()
            self._end()
            return
        self._abandon()
        self._set_paused(is_paused=True)
        self.stream.close_when_sent()
        self._intake.update_account()
        self._server.on_closing(self)

    def _end(self) -> None:
        self._abandon()
        self._intake.account.close()
        self._server.discard(self)

    def _abandon(self) -> None:
        self._is_closing = True
        for exchange in self._intake.stop():
            if exchange.on_abandoned is not None:
                exchange.on_abandoned()
