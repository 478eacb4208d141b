"""The requests of one connection, which are answered in order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bluebellsill.client_input.request_reader import ParsedRequest
    from bluebellsill.errors import Problem
    from bluebellsill.http import Request

__all__ = ('Exchange', 'Pipeline')

_RESPONSE_COST = 1024  # estimated bytes of a response without its body


class Exchange:
    """A request and what has been produced of its response.

    Attributes:
        parsed: The request.
        refusal: Why the request is not handled, None if it is.
        is_started: Whether the request was passed to its handler or refused.
        closes_connection: Whether the connection ends with the response.
        on_abandoned: Called if the connection ends before the response.
    """

    __slots__ = (
        '_encode_last',
        '_is_overloaded',
        '_may_overlap',
        '_parts',
        'closes_connection',
        'is_started',
        'on_abandoned',
        'parsed',
        'refusal',
        'response_size',
    )

    def __init__(
        self,
        parsed: ParsedRequest,
        may_overlap: Callable[[Request], bool] | None = None,
        refusal: Problem | None = None,
    ) -> None:
        """Create an exchange that has not been started.

        Args:
            parsed: The request.
            may_overlap: Returns whether a request may be handled beside
                others; None if none may.
            refusal: Why the request is not handled, None if it is.
        """
        self.parsed = parsed
        self._may_overlap = may_overlap
        self.refusal = refusal
        self.is_started = False
        self.closes_connection = not parsed.keep_alive
        self.on_abandoned: Callable[[], None] | None = None
        self.response_size = 0
        self._parts: list[bytes] = []
        self._encode_last: Callable[[bool], bytes] | None = None
        self._is_overloaded = False

    @property
    def may_overlap(self) -> bool:
        """Whether the request may be handled beside other requests."""
        if self._may_overlap is None or self.refusal is not None:
            return False
        return self._may_overlap(self.parsed.request)

    @property
    def is_done(self) -> bool:
        """Whether the response is complete."""
        return self._encode_last is not None

    @property
    def is_overloaded(self) -> bool:
        """Whether the request was refused for lack of capacity."""
        return self._is_overloaded

    @property
    def has_output(self) -> bool:
        """Whether a part of the response can be sent."""
        return bool(self._parts)

    def add(self, part: bytes) -> None:
        """Add a part of the response."""
        self._parts.append(part)
        self.response_size += len(part)

    def complete(
        self,
        size: int,
        encode: Callable[[bool], bytes],
        *,
        is_overloaded: bool = False,
    ) -> None:
        """Set the response, or the rest of it after the parts added before.

        Args:
            size: The bytes of its body.
            encode: Returns it in wire format; its argument states whether the
                connection is closed afterwards.
            is_overloaded: Whether the request was refused for lack of
                capacity.
        """
        self._is_overloaded = is_overloaded
        self.response_size += size + _RESPONSE_COST
        self._encode_last = encode

    def take_output(self, *, closes_connection: bool) -> bytes:
        """Return and remove what can be sent."""
        parts = self._parts
        self._parts = []
        self.response_size = 0
        if self._encode_last is not None:
            parts.append(self._encode_last(closes_connection))
        return b''.join(parts)


class Pipeline:
    """Decides which requests are handled now, and the order of responses.

    A request that may not overlap is handled alone: after everything before
    it is answered, and before everything that follows.
    """

    def __init__(self, max_started: int) -> None:
        """Create a pipeline without requests.

        Args:
            max_started: The requests that may be handled at once, or have
                responses that wait for earlier ones.
        """
        self._max_started = max_started
        self._limit = max_started
        self._exchanges: deque[Exchange] = deque()

    def __len__(self) -> int:
        """Return the number of requests whose responses were not sent."""
        return len(self._exchanges)

    def __iter__(self) -> Iterator[Exchange]:
        """Iterate over the exchanges in the order of the requests."""
        return iter(self._exchanges)

    def add(self, exchange: Exchange) -> None:
        """Add the next request of the client."""
        self._exchanges.append(exchange)

    @property
    def head(self) -> Exchange | None:
        """The exchange whose response is sent now, None without requests."""
        return self._exchanges[0] if self._exchanges else None

    def pop(self) -> Exchange:
        """Remove the head, whose response is complete."""
        exchange = self._exchanges.popleft()
        if exchange.is_overloaded:
            self._limit = max(self._limit // 2, 1)
        else:
            self._limit = min(self._limit + 1, self._max_started)
        return exchange

    def clear(self) -> list[Exchange]:
        """Remove and return all exchanges."""
        removed = list(self._exchanges)
        self._exchanges.clear()
        return removed

    def next_to_start(self) -> Exchange | None:
        """Return the request that is to be handled now, None for none."""
        for index, exchange in enumerate(self._exchanges):
            if not exchange.is_started:
                return exchange if self._may_start(index) else None
        return None

    @property
    def started(self) -> int:
        """The number of requests that are handled or answered."""
        return sum(one.is_started for one in self._exchanges)

    @property
    def runs_alone(self) -> bool:
        """Whether a request is handled that must run at most once."""
        head = self.head
        return head is not None and head.is_started and not head.may_overlap

    def held(self) -> tuple[int, int]:
        """Return the bytes that are held.

        Returns:
            The estimated bytes of the heads of the requests, and the bytes of
            the bodies and of the responses that wait.
        """
        heads = 0
        payload = 0
        for one in self._exchanges:
            heads += one.parsed.head_cost
            payload += one.parsed.body_size + one.response_size
        return heads, payload

    def _may_start(self, index: int) -> bool:
        """Return whether the first request not yet started may start now."""
        if not index:
            return True
        return (
            index < self._limit
            and not self._exchanges[index - 1].closes_connection
            and self._exchanges[0].may_overlap
            and self._exchanges[index].may_overlap
        )
