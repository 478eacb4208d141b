"""Turns SIGTERM and SIGINT into a callback in the event loop."""

from __future__ import annotations

import signal
from socket import socketpair
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor


_MAX_SIGNALS = 64


class StopSignals:
    """Calls back once, when the process is asked to stop."""

    def __init__(self, reactor: Reactor, on_stop: Callable[[], None]) -> None:
        """Take over the signals; call this in the main thread."""
        self._on_stop: Callable[[], None] | None = on_stop
        self._receiver, self._sender = socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        reactor.add(self)
        signal.set_wakeup_fd(self._sender.fileno())
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, _ignore)

    def fileno(self) -> int:
        """Return the file descriptor that signals wake."""
        return self._receiver.fileno()

    def on_readable(self) -> None:
        """Call back for the first signal."""
        self._receiver.recv(_MAX_SIGNALS)
        on_stop = self._on_stop
        self._on_stop = None
        if on_stop is not None:
            on_stop()

    def on_writable(self) -> None:
        """Do nothing: nothing is written here."""


def take_stop_signals(reactor: Reactor, on_stop: Callable[[], None]) -> None:
    """Call back in the loop of ``reactor`` once a stop is asked for."""
    StopSignals(reactor, on_stop)


def _ignore(number: int, frame: object) -> None:
    """Leave the work to the wake-up file descriptor."""
