"""Graceful shutdown that completes all requests in flight."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.timers import TimerService

__all__ = ('GracefulStop',)

# Seconds after SIGTERM until new requests are refused. The platform still
# sends callers until two readiness checks, one a second, have failed.
_DRAIN_DELAY = 2.2
# Seconds after closing the listener in which requests that are already on
# their way are still answered.
_LINGER = 0.2
_CHECK_PERIOD = 0.05  # seconds between checks for requests in flight
_KILL_MARGIN = 0.4  # seconds before SIGKILL at which the node exits


class GracefulStop:
    """Runs the phases of a shutdown: serve, refuse, then exit.

    Callers use open connections until the process exits, so during the
    refusing phase the listener stays open and new requests are refused
    immediately. The listener closes when no request is in flight. The target
    keeps running and may be the last one of its service, so it receives
    calls until then.

    Attributes:
        has_begun: Whether the shutdown was requested.
        ends_at: When the node exits at the latest, in seconds.
    """

    def __init__(
        self,
        timers: TimerService,
        in_flight: Callable[[], int],
        on_draining: Callable[[], None],
        stop_accepting: Callable[[], None],
        on_overdue: Callable[[], None],
        on_stopped: Callable[[], None],
    ) -> None:
        """Prepare a shutdown; ``begin`` starts it.

        Args:
            timers: Schedules the phases.
            in_flight: Returns the number of unanswered requests.
            on_draining: Called when new requests are to be refused.
            stop_accepting: Closes the listener for callers.
            on_overdue: Called before the end if requests are still
                unanswered, to answer them.
            on_stopped: Called once when the shutdown is complete.
        """
        self.has_begun = False
        self._timers = timers
        self._in_flight = in_flight
        self._on_draining = on_draining
        self._stop_accepting = stop_accepting
        self._on_overdue = on_overdue
        self._on_stopped: Callable[[], None] | None = on_stopped
        self.ends_at: float = 0
        self._listener_closed_at: float | None = None
        self._log = get_logger('stop')

    def begin(self, grace: float) -> None:
        """Start the shutdown; the process is killed after ``grace`` seconds."""
        self.has_begun = True
        self.ends_at = self._timers.clock.now() + grace - _KILL_MARGIN
        self._log.info('leaving', in_flight=self._in_flight())
        self._timers.after(min(_DRAIN_DELAY, grace / 2), self._drain)

    def _drain(self) -> None:
        self._on_draining()
        self._timers.every(_CHECK_PERIOD, self._check)

    def _check(self) -> None:
        now = self._timers.clock.now()
        is_late = now >= self.ends_at
        in_flight = self._in_flight()
        if in_flight and not is_late:
            return
        if self._listener_closed_at is None:
            self._listener_closed_at = now
            self._stop_accepting()
        if is_late or now - self._listener_closed_at > _LINGER:
            self._end(in_flight)

    def _end(self, in_flight: int) -> None:
        on_stopped = self._on_stopped
        self._on_stopped = None
        if on_stopped is None:
            return
        if in_flight:
            self._log.error('drain timed out', in_flight=in_flight)
            self._on_overdue()
        self._log.info('stopped', in_flight=in_flight)
        on_stopped()
