"""The calls that wait or run at the target of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from bluebellsill.admission import Ticket
    from bluebellsill.messages import Call
    from bluebellsill.runs import Run

__all__ = ('RunTable',)


class RunTable:
    """Finds the unfinished calls by ticket or correlation id."""

    def __init__(self) -> None:
        """Create a table without calls."""
        self._by_ticket: dict[Ticket, Run] = {}

    def __contains__(self, run: Run) -> bool:
        """Return whether a call has not ended yet."""
        return run.ticket in self._by_ticket

    def __setitem__(self, ticket: Ticket, run: Run) -> None:
        """Add a call that waits or starts."""
        self._by_ticket[ticket] = run

    def __getitem__(self, ticket: Ticket) -> Run:
        """Return the call with a ticket."""
        return self._by_ticket[ticket]

    def pop(self, ticket: Ticket) -> Run | None:
        """Remove and return a call that has ended, None if it is not known."""
        return self._by_ticket.pop(ticket, None)

    def running_ids(self) -> Iterator[str]:
        """Yield the correlation ids of the running calls."""
        for run in self._by_ticket.values():
            if run.is_started:
                yield run.call.correlation

    def selected(
        self, concerns: Callable[[Call], bool] | None = None
    ) -> list[Run]:
        """Return the runs of the calls that ``concerns`` selects, or all."""
        return [
            run
            for run in self._by_ticket.values()
            if concerns is None or concerns(run.call)
        ]

    def mark_failed_below(self, correlation: str, *, is_refused: bool) -> None:
        """Mark a call whose downstream call to another service has failed.

        Args:
            correlation: The correlation id of the call.
            is_refused: Whether the downstream call was refused and has not run.
        """
        for run in self._by_ticket.values():
            if run.call.correlation == correlation:
                run.has_failed_below = True
                run.is_refused_below |= is_refused

    def running_fingerprints(self) -> list[int]:
        """Return the fingerprints of the calls that have started."""
        return [
            run.call.fingerprint
            for run in self._by_ticket.values()
            if run.is_started
        ]
