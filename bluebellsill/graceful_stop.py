"""The order of a graceful shutdown: every request is answered whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.timers import TimerService

__all__ = ('GracefulStop',)

# Seconds in which callers still come after a SIGTERM: the platform asks once
# a second and needs two answers that the node is not ready.
_CALLERS_LEAVE = 2.2
_LINGER = 0.2  # seconds for which requests on their way are still answered
_PERIOD = 0.05  # seconds between looks whether all is answered
_MARGIN = 0.4  # seconds before SIGKILL by which the node has ended


class GracefulStop:
    """Serves callers on, then refuses them, then ends once all is answered.

    Callers use open connections until the process is gone, so the listener
    stays open and requests that still come are refused at once. It closes
    when nothing is in flight any more. The target beside the node goes on
    and may be the last of its service, so it gets calls until then.

    Attributes:
        has_begun: Whether the node was asked to stop.
    """

    def __init__(
        self,
        timers: TimerService,
        in_flight: Callable[[], int],
        on_draining: Callable[[], None],
        stop_accepting: Callable[[], None],
        on_stopped: Callable[[], None],
    ) -> None:
        """Prepare a stop; ``begin`` starts it.

        Args:
            timers: Drive the steps.
            in_flight: Returns the requests that are not answered yet.
            on_draining: Called once new requests are to be refused.
            stop_accepting: Closes the listener for callers.
            on_stopped: Called once at the end.
        """
        self.has_begun = False
        self._timers = timers
        self._in_flight = in_flight
        self._on_draining = on_draining
        self._stop_accepting = stop_accepting
        self._on_stopped: Callable[[], None] | None = on_stopped
        self._ends_at: float = 0
        self._closed_at: float | None = None
        self._log = get_logger('stop')

    def begin(self, grace: float) -> None:
        """Start, with some seconds until the process is killed."""
        self.has_begun = True
        self._ends_at = self._timers.clock.now() + grace - _MARGIN
        self._log.info('leaving', in_flight=self._in_flight())
        self._timers.after(min(_CALLERS_LEAVE, grace / 2), self._drain)

    def _drain(self) -> None:
        self._on_draining()
        self._timers.every(_PERIOD, self._check)

    def _check(self) -> None:
        now = self._timers.clock.now()
        is_late = now >= self._ends_at
        in_flight = self._in_flight()
        if in_flight and not is_late:
            return
        if self._closed_at is None:
            self._closed_at = now
            self._stop_accepting()
        if is_late or now - self._closed_at > _LINGER:
            self._end(in_flight)

    def _end(self, in_flight: int) -> None:
        on_stopped = self._on_stopped
        self._on_stopped = None
        if on_stopped is None:
            return
        if in_flight:
            self._log.error('drain timed out', in_flight=in_flight)
        self._log.info('stopped', in_flight=in_flight)
        on_stopped()
