"""Log lines and counters of decisions about clients' connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.errors import Problem
    from bluebellsill.http import Request
    from bluebellsill.metrics import Metrics

__all__ = ('InputEvents',)

_MAX_ID = 128  # characters of a request id in a log line


class InputEvents:
    """Records which clients were refused or disconnected, and why."""

    def __init__(
        self,
        metrics: Metrics | None = None,
        request_id: Callable[[Request], str] | None = None,
    ) -> None:
        """Create a recorder.

        Args:
            metrics: Counts the events; None to count nothing.
            request_id: Returns the id of a request in the logs, None if
                requests have none.
        """
        self._metrics = metrics
        self._request_id = request_id
        self._log = get_logger('clients')

    def refused(
        self, problem: Problem, held: int, request: Request | None = None
    ) -> None:
        """Record that a request was refused before it was handled.

        Args:
            problem: Why.
            held: The bytes that its connection holds.
            request: The request, None if it was not read to its end.
        """
        self._count(f'client_refused_{problem.kind.value}')
        correlation = ''
        if request is not None and self._request_id is not None:
            correlation = self._request_id(request)[:_MAX_ID]
        self._log.info(
            'client refused',
            correlation=correlation,
            reason=problem.kind.value,
            message=problem.message,
            held_bytes=held,
        )

    def closed(self, reason: str, held: int, in_flight: int) -> None:
        """Record that a connection was closed by this node.

        Args:
            reason: Why; part of the counter's name.
            held: The bytes that the connection held.
            in_flight: The requests that were abandoned.
        """
        self._count(f'client_closed_{reason}')
        self._log.info(
            'client disconnected by node',
            reason=reason,
            held_bytes=held,
            in_flight=in_flight,
        )

    def _count(self, name: str) -> None:
        if self._metrics is not None:
            self._metrics.counts[name] += 1
