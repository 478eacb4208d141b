"""The timeouts of one connection of a client."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.client_input.limits import RequestLimits
    from bluebellsill.clock import Clock

__all__ = ('ConnectionTimeouts',)


class ConnectionTimeouts:
    """Knows for how long a client has been idle or made no progress.

    Attributes:
        active_at: When the connection was opened or last became idle.
    """

    def __init__(self, clock: Clock, limits: RequestLimits) -> None:
        """Start the idle timeout of a new connection."""
        self._clock = clock
        self._head_started_at: float = 0
        self._idle_until: float | None = None
        self._unsent = 0
        self.active_at = clock.now()
        self._read_at = self.active_at
        self._sent_at = self.active_at
        self.on_idle(limits)

    def on_idle(self, limits: RequestLimits) -> None:
        """Start the idle timeout."""
        self.active_at = self._clock.now()
        timeout = limits.idle_timeout
        # The timeout in force now holds for the whole idle time: clients may
        # not know a value that is set later, and reuse the connection by the
        # earlier one.
        self._idle_until = timeout and self.active_at + timeout

    def on_bytes(self) -> None:
        """Note that the client has sent something."""
        self._read_at = self._clock.now()

    def on_begin(self) -> None:
        """Start the timeout of a head."""
        self._head_started_at = self._clock.now()

    def on_resumed(self) -> None:
        """Restart the timeouts of a request, as nothing was read meanwhile."""
        self._read_at = self._clock.now()
        self._head_started_at = self._read_at

    def on_sent(self, before: int, unsent: int) -> None:
        """Note that a response was added to the unsent bytes.

        Args:
            before: The unsent bytes without it.
            unsent: The unsent bytes now.
        """
        self._note_progress(before)
        self._unsent = unsent

    def is_idle_over(self) -> bool:
        """Return whether the idle timeout has passed."""
        until = self._idle_until
        return until is not None and self._clock.now() > until

    def is_stalled(self, unsent: int, limits: RequestLimits) -> bool:
        """Return whether the client has taken no bytes for too long."""
        self._note_progress(unsent)
        timeout = limits.idle_timeout
        stalled = self._clock.now() - self._sent_at
        return timeout is not None and stalled > timeout

    def late_head(self, limits: RequestLimits) -> str:
        """Return why a head that is being read is late, empty if it is not."""
        timeout = limits.head_timeout
        if timeout and self._clock.now() - self._head_started_at > timeout:
            return f'request head is incomplete after {timeout} s'
        return ''

    def late_body(self, limits: RequestLimits) -> str:
        """Return why a body that is being read is late, empty if it is not."""
        timeout = limits.idle_timeout
        if timeout and self._clock.now() - self._read_at > timeout:
            return f'request body has made no progress for {timeout} s'
        return ''

    def _note_progress(self, unsent: int) -> None:
        if not unsent or unsent < self._unsent:
            self._sent_at = self._clock.now()
        self._unsent = unsent
