"""The requests of one team that wait for tokens at an entry node."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from math import inf
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.allowances.token_ledger import TokenLedger
    from bluebellsill.errors import Problem
    from bluebellsill.filters import InboundRequest
    from bluebellsill.timers import Timer

__all__ = ('MAX_WAITING', 'TeamQueue', 'WaitingRequest')

MAX_WAITING = 1000  # requests of one team; more are refused


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
        asked_at: When the last token request was sent.
        grantor: The node that was last found to be the team's grantor.
        skips_first: Whether the second-ranked node is asked before the first
            one, because that one did not answer.
        tries: The nodes that were asked since ``asked_at``.
        is_cut_off: Whether no grantor has answered the last token request.
        timer: Ends the wait for the answer, or sends the next token request.
    """

    ledger: TokenLedger
    waiting: deque[WaitingRequest] = field(default_factory=deque)
    request_id: int = 0
    asked_at: float = -inf
    grantor: str = ''
    skips_first: bool = False
    tries: int = 0
    is_cut_off: bool = False
    timer: Timer | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the queue has nothing to wait for."""
        return not self.waiting and not self.request_id

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
