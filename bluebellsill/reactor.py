"""The circuits component that polls sockets and runs timers."""

from __future__ import annotations

from select import (
    EPOLLERR,
    EPOLLHUP,
    EPOLLIN,
    EPOLLOUT,
    EPOLLRDHUP,
    epoll,
)
from traceback import format_exc as trace
from typing import TYPE_CHECKING, Protocol

from circuits import BaseComponent, handler

from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from circuits.core.events import generate_events

    from bluebellsill.timers import TimerService

__all__ = ('Reactor', 'Source')

_MAX_WAIT = 0.5  # seconds that one poll may block
_ENDED = EPOLLERR | EPOLLHUP | EPOLLRDHUP


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
        self._unread_fds: set[int] = set()  # not polled for data

    def add(self, source: Source, *, writable: bool = False) -> None:
        """Start to poll a source.

        Args:
            source: The owner of the socket.
            writable: Whether to also poll for writability.
        """
        fd = source.fileno()
        self._sources_by_fd[fd] = source
        self._epoll.register(fd, _mask(writable=writable))

    def want_write(
        self, source: Source, *, writable: bool, readable: bool = True
    ) -> None:
        """Set for what a source is polled.

        Args:
            source: The owner of the socket.
            writable: Whether to poll for writability.
            readable: Whether to poll for data; ``on_readable`` is also called
                when the other side closes the connection or it fails.
        """
        fd = source.fileno()
        if readable:
            self._unread_fds.discard(fd)
        else:
            self._unread_fds.add(fd)
        mask = _mask(writable=writable, readable=readable)
        self._epoll.modify(fd, mask)

    def remove(self, source: Source) -> None:
        """Stop polling a source; its socket must still be open."""
        fd = source.fileno()
        self._unread_fds.discard(fd)
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
        # The poll may have found data before the source stopped reading.
        if fd in self._unread_fds and not mask & _ENDED:
            return
        # A source that closed itself in ``on_writable`` has been removed.
        if mask & ~EPOLLOUT and self._sources_by_fd.get(fd) is source:
            source.on_readable()


def _mask(*, writable: bool, readable: bool = True) -> int:
    # Without EPOLLIN, only EPOLLRDHUP tells that the other side has closed.
    mask = EPOLLIN if readable else EPOLLRDHUP
    return mask | EPOLLOUT if writable else mask
