"""Checks whether a server still accepts connections after losing one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.streams import Address, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor
    from bluebellsill.timers import Timer

__all__ = ('HOLD_SECONDS', 'ConnectCheck')

HOLD_SECONDS = 0.05  # for which a connection must stay open


class ConnectCheck:
    """Opens a connection and checks that it stays open.

    A dying process closes its sockets one by one, so its listener may still
    accept a connection after others were lost. That connection is reset
    when the listener is closed.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_done: Callable[[bool], None],
    ) -> None:
        """Start to connect.

        Args:
            reactor: Event loop with the sockets and timers.
            address: The address of the server.
            on_done: Called once with whether the server is reachable.
        """
        self._timers = reactor.timers
        self._on_done = on_done
        self._hold_timer: Timer | None = None
        self._stream = Stream.connect(reactor, address, self)
        self.extend()

    def extend(self) -> None:
        """Restart the hold period."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        self._hold_timer = self._timers.after(HOLD_SECONDS, self._on_held)

    def cancel(self) -> None:
        """Stop the check without calling ``on_done``."""
        if self._hold_timer is not None:
            self._hold_timer.cancel()
        self._stream.close()

    def on_connected(self) -> None:
        """Do nothing: the connection must stay open until the timer fires."""

    def on_bytes(self, chunk: bytes) -> None:
        """Ignore unsolicited data from the server."""

    def on_lost(self, reason: str) -> None:
        """Report that the server is unreachable."""
        self.cancel()
        self._on_done(False)  # noqa: FBT003

    def _on_held(self) -> None:
        self.cancel()
        self._on_done(True)  # noqa: FBT003
