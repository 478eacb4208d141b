"""The requests of one team that wait for tokens at an entry node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.allowances.token_ledger import TokenLedger
    from bluebellsill.errors import Problem
    from bluebellsill.filters import InboundRequest
    from bluebellsill.timers import Timer

__all__ = ('MAX_WAITING', 'TeamQueue', 'TeamTokens', 'WaitingRequest')

MAX_WAITING = 1000  # requests of one team; more are refused
_ASK_RATE = 10.0  # token requests a second for one team
# Token requests that may follow each other at once. A node with little traffic
# asks for each request, and some of them arrive together.
_MAX_ASKS = 5.0
_TOLERANCE = 1e-6  # token requests; below rounding errors of the clock


@dataclass(frozen=True, slots=True)
class TeamTokens:
    """The state of a team's allowance at an entry node.

    Attributes:
        tokens: The tokens held.
        denied_seconds: For how long requests without a token are refused.
        waiting: The requests that wait for tokens.
        is_full: Whether no more requests may wait.
        has_grantor: Whether a grantor has answered the last token request.
    """

    tokens: int
    denied_seconds: float
    waiting: int
    is_full: bool
    has_grantor: bool

    @property
    def refuses(self) -> bool:
        """Whether a request would be refused at once."""
        if self.tokens and not self.waiting:
            return False
        return self.denied_seconds > 0 or self.is_full


class WaitingRequest:
    """A request that waits for the answer to a token request."""

    __slots__ = ('inbound', 'on_decided')

    def __init__(
        self,
        inbound: InboundRequest,
        on_decided: Callable[[Problem | None], None],
    ) -> None:
        """Create a request whose decision is reported to ``on_decided``."""
        self.inbound = inbound
        self.on_decided = on_decided


@dataclass(slots=True)
class TeamQueue:
    """What an entry node keeps of one team.

    Attributes:
        ledger: The tokens.
        waiting: The requests without a token, in order of arrival.
        request_id: The token request without an answer, 0 if there is none.
        grantor: The node that was last found to be the team's grantor.
        skips_first: Whether the second-ranked node is asked before the first
            one, because that one did not answer.
        tries: The nodes that were asked since the wait began.
        is_cut_off: Whether no grantor has answered the last token request.
        timer: Ends the wait for the answer, or sends the next token request.
    """

    ledger: TokenLedger
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    request_id: int = 0
    grantor: str = ''
    skips_first: bool = False
    tries: int = 0
    is_cut_off: bool = False
    timer: Timer | None = None
    _asks: float = _MAX_ASKS
    _asks_at: float = 0

    @property
    def is_idle(self) -> bool:
        """Whether the queue has nothing to wait for."""
        return not self.waiting and not self.request_id

    def may_ask(self, now: float) -> bool:
        """Return whether a token request may be sent."""
        return self.seconds_to_ask(now) <= 0

    def seconds_to_ask(self, now: float) -> float:
        """Return the time until a token request may be sent."""
        added = _ASK_RATE * (now - self._asks_at)
        self._asks = min(_MAX_ASKS, self._asks + added)
        self._asks_at = now
        return max(0, 1 - _TOLERANCE - self._asks) / _ASK_RATE

    def on_ask(self) -> None:
        """Count a token request, which begins a wait."""
        self._asks -= 1
        self.tries = 0

    def stop_timer(self) -> None:
        """Cancel the timer if there is one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def admit_waiting(self, now: float) -> None:
        """Admit the requests that there are tokens for."""
        while self.waiting and self.ledger.take(now):
            self.waiting.popleft().on_decided(None)

    def remove(self, inbound: InboundRequest) -> None:
        """Remove the request of a caller that has disconnected."""
        for one in self.waiting:
            if one.inbound is inbound:
                self.waiting.remove(one)
                return
