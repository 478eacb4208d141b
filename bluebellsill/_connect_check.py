"""Looks whether a server that lost a connection still accepts others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.streams import Address, Stream

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor
    from bluebellsill.timers import Timer

__all__ = ('HOLD', 'ConnectCheck')

HOLD = 0.05  # seconds


class ConnectCheck:
    """Opens a connection and holds it for a moment.

    A process that dies closes its sockets one by one, so that its
    listener may still accept a connection after others were lost. The
    connection is reset once the listener has gone.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        on_done: Callable[[bool], None],
    ) -> None:
        """Start to connect.

        Args:
            reactor: Watches the socket and the time.
            address: The server.
            on_done: Called once with whether the server is still there.
        """
        self._timers = reactor.timers
        self._on_done = on_done
        self._hold: Timer | None = None
        self._stream = Stream.connect(reactor, address, self)
        self.extend()

    def extend(self) -> None:
        """Hold on for another moment."""
        if self._hold is not None:
            self._hold.cancel()
        self._hold = self._timers.after(HOLD, self._on_held)

    def cancel(self) -> None:
        """End without a word."""
        if self._hold is not None:
            self._hold.cancel()
        self._stream.close()

    def on_connected(self) -> None:
        """Wait whether the connection lasts."""

    def on_bytes(self, chunk: bytes) -> None:
        """Ignore what the server says unasked."""

    def on_lost(self, reason: str) -> None:
        """Report that the server has gone."""
        self.cancel()
        self._on_done(False)  # noqa: FBT003

    def _on_held(self) -> None:
        self.cancel()
        self._on_done(True)  # noqa: FBT003
