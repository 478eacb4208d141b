"""The connections that were lost of late, and what ran at the time."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('Loss', 'Losses')

_MAX_LOSSES = 16  # losses remembered; more than a target has slots
_MEMORY = 5.0  # seconds


@dataclass(slots=True, eq=False)
class Loss:
    """A connection that ended before its answer.

    Attributes:
        at: When it ended, in seconds.
        fingerprints: What was in flight at the target.
        on_known: Called once with whether the target has crashed.
    """

    at: float
    fingerprints: list[int]
    on_known: Callable[[bool], None] | None

    def tell(self, *, has_crashed: bool) -> None:
        """Tell whoever waits for it whether the target has crashed."""
        on_known = self.on_known
        self.on_known = None
        if on_known is not None:
            on_known(has_crashed)


class Losses:
    """Remembers losses until it is known whether the target crashed."""

    def __init__(self) -> None:
        """Create an empty memory."""
        self._losses: deque[Loss] = deque()

    def add(self, loss: Loss) -> None:
        """Remember a loss; the oldest one goes for it."""
        self._losses.append(loss)
        while len(self._losses) > _MAX_LOSSES:
            self._losses.popleft().tell(has_crashed=False)

    def tell_alive(self) -> None:
        """Tell those who wait that the target lives."""
        for loss in tuple(self._losses):
            loss.tell(has_crashed=False)

    def take(self, now: float) -> list[Loss]:
        """Forget everything and return the losses of late."""
        recent = [loss for loss in self._losses if now - loss.at < _MEMORY]
        self._losses.clear()
        return recent
