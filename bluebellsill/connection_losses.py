"""Recently lost connections, and the requests in flight at the time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Loss', 'Losses')

_MAX_LOSSES = 16  # losses kept; more than a target has slots
_RETENTION = 5.0  # seconds for which a loss can be attributed to a crash


@dataclass(slots=True, eq=False)
class Loss:
    """A connection that ended before the answer to its request.

    Attributes:
        at: When it ended, in seconds.
        fingerprints: The fingerprints of the requests in flight.
        on_resolved: Called once with whether the target has crashed.
    """

    at: float
    fingerprints: list[int]
    on_resolved: Callable[[bool], None] | None

    def resolve(self, *, has_crashed: bool) -> None:
        """Report, at most once, whether the target has crashed."""
        on_resolved = self.on_resolved
        self.on_resolved = None
        if on_resolved is not None:
            on_resolved(has_crashed)


class Losses:
    """Keeps losses until it is known whether the target has crashed."""

    def __init__(self) -> None:
        """Create an empty collection."""
        self._losses: deque[Loss] = deque()

    def add(self, loss: Loss) -> None:
        """Add a loss; drop the oldest ones above the limit."""
        self._losses.append(loss)
        while len(self._losses) > _MAX_LOSSES:
            self._losses.popleft().resolve(has_crashed=False)

    def resolve_alive(self) -> None:
        """Report for every pending loss that the target has not crashed."""
        for loss in tuple(self._losses):
            loss.resolve(has_crashed=False)

    def take_recent(self, now: float) -> list[Loss]:
        """Remove all losses and return the recent ones."""
        recent = [loss for loss in self._losses if now - loss.at < _RETENTION]
        self._losses.clear()
        return recent
