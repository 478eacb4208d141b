"""Handles signals in the event loop."""

from __future__ import annotations

import signal
from socket import socketpair
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor


_MAX_SIGNALS = 64  # read at once, one byte for each signal
_STOP_SIGNALS = frozenset((signal.SIGTERM, signal.SIGINT))


class SignalReceiver:
    """Calls back once for a stop signal and for each reload signal."""

    def __init__(
        self,
        reactor: Reactor,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None] | None,
    ) -> None:
        """Install the signal handlers; must run in the main thread."""
        self._on_stop: Callable[[], None] | None = on_stop
        self._on_reload = on_reload
        self._receiver, self._sender = socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        reactor.add(self)
        signal.set_wakeup_fd(self._sender.fileno())
        handled = set(_STOP_SIGNALS)
        if on_reload is not None:
            handled.add(signal.SIGHUP)
        for number in handled:
            signal.signal(number, _do_nothing)

    def fileno(self) -> int:
        """Return the descriptor that becomes readable on a signal."""
        return self._receiver.fileno()

    def on_readable(self) -> None:
        """Call back for the signals received."""
        numbers = set(self._receiver.recv(_MAX_SIGNALS))
        if signal.SIGHUP in numbers and self._on_reload is not None:
            self._on_reload()
        on_stop = self._on_stop
        if on_stop is not None and numbers & _STOP_SIGNALS:
            self._on_stop = None
            on_stop()

    def on_writable(self) -> None:
        """Do nothing, since this descriptor is never written to."""


def handle_signals(
    reactor: Reactor,
    on_stop: Callable[[], None],
    on_reload: Callable[[], None] | None = None,
) -> None:
    """Handle SIGTERM, SIGINT and SIGHUP in the event loop.

    Args:
        reactor: The event loop.
        on_stop: Called once, on the first SIGTERM or SIGINT.
        on_reload: Called for each SIGHUP; None keeps its default action.
    """
    SignalReceiver(reactor, on_stop, on_reload)


def _do_nothing(number: int, frame: object) -> None:
    """Do nothing: the signal is read from the wake-up descriptor."""
