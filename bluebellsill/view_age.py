"""How old a node's view of the operators' declarations may be."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.clock import Clock

__all__ = ('ViewAge',)


class ViewAge:
    """The time since the store is known to have had nothing newer.

    The clock includes the time for which the process was suspended.

    Attributes:
        source: The node whose question to the store confirmed the view last,
            empty before the first time.
        confirmed_at: When the store is known to have had nothing newer, in
            seconds.
    """

    def __init__(self, clock: Clock) -> None:
        """Start with an age of zero, so that a node gives others time."""
        self.source = ''
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self.confirmed_at = clock.now()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each confirmation."""
        self._listeners.append(listener)

    @property
    def seconds(self) -> float:
        """The age in seconds."""
        return self._clock.now() - self.confirmed_at

    def confirm(self, at: float, source: str) -> bool:
        """Note that the store had nothing newer at some time.

        Args:
            at: That time in seconds, not later than the truth.
            source: The node that the store has answered.

        Returns:
            Whether this is news.
        """
        if at <= self.confirmed_at:
            return False
        self.confirmed_at = at
        self.source = source
        for listener in self._listeners:
            listener()
        return True

    def restart(self) -> None:
        """Start again at zero, for a node that has no view yet."""
        self.confirmed_at = self._clock.now()
