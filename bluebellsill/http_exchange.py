"""One request of an HTTP client, its outcome and the rules for responses."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bluebellsill.http import Response
    from bluebellsill.streams import Stream
    from bluebellsill.timers import Timer

__all__ = ('Exchange', 'HttpFailure', 'ResponseRules')


@dataclass(frozen=True, slots=True)
class ResponseRules:
    """Additional rules for accepting responses.

    Attributes:
        id_header: The request header that responses echo, empty for none;
            a response with another value belongs to another request.
        allows_body_until_close: Whether the end of the connection may mark the end
            of a response body that has neither a length nor chunks.
    """

    id_header: str = ''
    allows_body_until_close: bool = False


@dataclass(frozen=True, slots=True)
class HttpFailure:
    """Why a request got no complete response.

    Attributes:
        reason: A description of the failure for logs and error messages.
        is_sent: Whether the server may have received the request.
        is_timeout: Whether the request timed out.
        is_too_large: Whether the response exceeds what the client accepts, so
            that the same request would fail again.
    """

    reason: str
    is_sent: bool
    is_timeout: bool = False
    is_too_large: bool = False


class ExchangeConnection(Protocol):
    """The connection that carries a request."""

    stream: Stream

    @property
    def is_sent(self) -> bool:
        """Whether the server may have received a part of the request."""

    def forget(self) -> None:
        """Remove the connection from its pool."""


class Exchange:
    """A request in flight and the callback for its outcome."""

    __slots__ = (
        'connection',
        '_ends_by',
        'is_head',
        'on_done',
        'received_at',
        'request_id',
        'timer',
    )

    def __init__(
        self,
        on_done: Callable[[Result[Response, HttpFailure]], None],
        *,
        is_head: bool,
        request_id: str = '',
        ends_by: float = 0,
    ) -> None:
        """Create an exchange that calls ``on_done`` at most once."""
        self._ends_by = ends_by  # latest end in seconds, whatever arrives
        self.request_id = request_id
        self.on_done: Callable[..., None] | None = on_done
        self.connection: ExchangeConnection | None = None
        self.timer: Timer | None = None
        # When the latest bytes of the response arrived, None before the first.
        self.received_at: float | None = None
        self.is_head = is_head

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the response has arrived."""
        return self.on_done is not None and self.received_at is not None

    def seconds_to_stall(self, stall_timeout: float, now: float) -> float:
        """Return the seconds until a response that has begun is given up.

        Args:
            stall_timeout: Seconds that may pass without further bytes.
            now: The time in seconds.

        Returns:
            The seconds, not above 0 if it is given up or has not begun.
        """
        if self.received_at is None:
            return 0
        return min(self.received_at + stall_timeout, self._ends_by) - now

    def finish(self, outcome: Result[Response, HttpFailure]) -> None:
        """Report the outcome; later outcomes are ignored."""
        on_done = self.on_done
        if self.timer is not None:
            self.timer.cancel()
        if on_done is not None:
            self.on_done = None
            on_done(outcome)

    def cancel(self) -> None:
        """Drop the request and close its connection; ``on_done`` is not called.

        An HTTP/1.1 server learns of a cancelled request only this way.
        """
        if self.on_done is None:
            return
        self.on_done = None
        if self.timer is not None:
            self.timer.cancel()
        if self.connection is not None:
            self.connection.stream.close()
            self.connection.forget()
