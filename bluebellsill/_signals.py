"""Turns signals into callbacks in the event loop."""

from __future__ import annotations

import signal
from socket import socketpair
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.reactor import Reactor


_MAX_SIGNALS = 64  # bytes read at once, one for each signal
_STOPS = frozenset((signal.SIGTERM, signal.SIGINT))


class SignalSource:
    """Calls back once for a stop, and for each request to reload."""

    def __init__(
        self,
        reactor: Reactor,
        on_stop: Callable[[], None],
        on_reload: Callable[[], None] | None,
    ) -> None:
        """Take over the signals; call this in the main thread."""
        self._on_stop: Callable[[], None] | None = on_stop
        self._on_reload = on_reload
        self._receiver, self._sender = socketpair()
        self._receiver.setblocking(False)
        self._sender.setblocking(False)
        reactor.add(self)
        signal.set_wakeup_fd(self._sender.fileno())
        taken = set(_STOPS)
        if on_reload is not None:
            taken.add(signal.SIGHUP)
        for number in taken:
            signal.signal(number, _ignore)

    def fileno(self) -> int:
        """Return the file descriptor that signals wake."""
        return self._receiver.fileno()

    def on_readable(self) -> None:
        """Call back for the signals that have arrived."""
        numbers = set(self._receiver.recv(_MAX_SIGNALS))
        if signal.SIGHUP in numbers and self._on_reload is not None:
            self._on_reload()
        on_stop = self._on_stop
        if on_stop is not None and numbers & _STOPS:
            self._on_stop = None
            on_stop()

    def on_writable(self) -> None:
        """Do nothing: nothing is written here."""


def take_signals(
    reactor: Reactor,
    on_stop: Callable[[], None],
    on_reload: Callable[[], None] | None = None,
) -> None:
    """Call back in the loop of ``reactor``.

    Args:
        reactor: The loop.
        on_stop: Called once, for SIGTERM or SIGINT.
        on_reload: Called for each SIGHUP; None leaves it to the system.
    """
    SignalSource(reactor, on_stop, on_reload)


def _ignore(number: int, frame: object) -> None:
    """Leave the work to the wake-up file descriptor."""
