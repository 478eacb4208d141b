"""A step of an entry node between its filters and the dispatch of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.errors import Problem
    from bluebellsill.filters import InboundRequest

__all__ = ('EntryStep',)


class EntryStep(Protocol):
    """Decides on a request that the filters have accepted, now or later."""

    def admit(
        self,
        inbound: InboundRequest,
        on_decided: Callable[[Problem | None], None],
    ) -> None:
        """Decide whether a request goes on.

        Args:
            inbound: The caller's request.
            on_decided: Called once, with None if the request goes on or else
                with the reason for its refusal; not called after
                ``on_abandoned``.
        """

    def on_not_run(self, inbound: InboundRequest) -> None:
        """Handle an admitted request that has ended without being run."""

    def on_abandoned(self, inbound: InboundRequest) -> None:
        """Handle a caller that disconnects before the decision."""
