"""The circuits component that waits for sockets and timers."""

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

_MAX_WAIT = 0.5  # seconds


class Source(Protocol):
    """A socket owner that wants to hear about its socket."""

    def fileno(self) -> int:
        """Return the socket's file descriptor."""

    def on_readable(self) -> None:
        """Read what has arrived."""

    def on_writable(self) -> None:
        """Write what is waiting."""


class Reactor(BaseComponent):
    """Waits for sockets and calls their owners directly.

    One circuits event is fired for each turn of the loop, not one for
    each socket, because an event costs more than most reads.
    """

    channel = 'reactor'

    def __init__(self, timers: TimerService) -> None:
        """Create a reactor that also drives ``timers``."""
        super().__init__()
        self.timers = timers
        self._epoll = epoll()
        self._log = get_logger('reactor')
        self._sources_by_fd: dict[int, Source] = {}

    def add(self, source: Source, *, writable: bool = False) -> None:
        """Start to watch a source.

        Args:
            source: The owner of the socket.
            writable: Whether to wait for room to write too.
        """
        fd = source.fileno()
        self._sources_by_fd[fd] = source
        self._epoll.register(fd, _mask(writable=writable))

    def want_write(self, source: Source, *, writable: bool) -> None:
        """Change whether a watched source waits for room to write."""
        self._epoll.modify(source.fileno(), _mask(writable=writable))

    def remove(self, source: Source) -> None:
        """Stop watching a source; its socket must still be open."""
        fd = source.fileno()
        if self._sources_by_fd.pop(fd, None) is not None:
            self._epoll.unregister(fd)

    @handler('generate_events', priority=1)
    def _on_generate_events(self, event: generate_events) -> None:
        event.stop()
        ready = self._epoll.poll(self._wait_seconds(event.time_left))
        # Timers go first, so that a process that was paused notices it
        # before it handles what has piled up in its sockets.
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
            # A fault in one task must not keep the others from their turn.
            self._log.error('task failed', reason=repr(error), trace=trace())

    def _serve(self, source: Source, fd: int, mask: int) -> None:
        if mask & EPOLLOUT:
            source.on_writable()
        # A source that closed itself while writing has been removed.
        if mask & ~EPOLLOUT and self._sources_by_fd.get(fd) is source:
            source.on_readable()


def _mask(*, writable: bool) -> int:
    return EPOLLIN | EPOLLOUT if writable else EPOLLIN
