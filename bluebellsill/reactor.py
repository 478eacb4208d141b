"""The circuits component that polls sockets and runs timers."""

from __future__ import annotations

from select import EPOLLIN, EPOLLOUT, epoll
from traceback import format_exc as trace
from typing import TYPE_CHECKING, Protocol

from circuits import BaseComponent, handler

from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from circuits.core.events import generate_events

    from bluebellsill.timers import TimerService

__all__ = ('Reactor', 'Source')

_MAX_WAIT = 0.5  # seconds that one poll may block


class Source(Protocol):
    """An owner of a socket that handles its I/O events."""

    def fileno(self) -> int:
        """Return the socket's file descriptor."""

    def on_readable(self) -> None:
        """Read the available data."""

    def on_writable(self) -> None:
        """Write queued data."""


class Reactor(BaseComponent):
    """Polls sockets and calls their owners directly.

    One circuits event is fired for each iteration of the loop, not one for
    each socket, because an event costs more than most reads.
    """

    channel = 'reactor'

    def __init__(self, timers: TimerService) -> None:
        """Create a reactor that also runs ``timers``."""
        super().__init__()
        self.timers = timers
        # The earliest time at which what is read now may have arrived.
        self.polled_since = timers.clock.now()
        self._epoll = epoll()
        self._log = get_logger('reactor')
        self._sources_by_fd: dict[int, Source] = {}

    def add(self, source: Source, *, writable: bool = False) -> None:
        """Start to poll a source.

        Args:
            source: The owner of the socket.
            writable: Whether to also poll for writability.
        """
        fd = source.fileno()
        self._sources_by_fd[fd] = source
        self._epoll.register(fd, _mask(writable=writable))

    def want_write(self, source: Source, *, writable: bool) -> None:
        """Set whether a source is polled for writability."""
        self._epoll.modify(source.fileno(), _mask(writable=writable))

    def remove(self, source: Source) -> None:
        """Stop polling a source; its socket must still be open."""
        fd = source.fileno()
        if self._sources_by_fd.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event: generate_events) -> None:
        event.stop()
        self.polled_since = self.timers.clock.now()
        ready = self._epoll.poll(self._wait_seconds(event.time_left))
        # Timers run first, so that a process that was paused detects the pause
        # before it handles the data that accumulated in its sockets.
        self.timers.run_due()
        for fd, mask in ready:
            self._dispatch(fd, mask)

    def _wait_seconds(self, time_left: float) -> float:
        wait = _MAX_WAIT if time_left < 0 else min(time_left, _MAX_WAIT)
        next_timer = self.timers.seconds_to_next()
        return wait if next_timer is None else min(wait, next_timer)

    def _dispatch(self, fd: int, mask: int) -> None:
        source = self._sources_by_fd.get(fd)
        if source is None:
            return
        try:
            self._serve(source, fd, mask)
        except Exception as error:  # noqa: BLE001
            # An error in one handler must not stop the others.
            self._log.error('task failed', reason=repr(error), trace=trace())

    def _serve(self, source: Source, fd: int, mask: int) -> None:
        if mask & EPOLLOUT:
            source.on_writable()
        # A source that closed itself in ``on_writable`` has been removed.
        if mask & ~EPOLLOUT and self._sources_by_fd.get(fd) is source:
            source.on_readable()


def _mask(*, writable: bool) -> int:
    return EPOLLIN | EPOLLOUT if writable else EPOLLIN
