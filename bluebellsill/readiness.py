"""Decides whether a node is ready to serve callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.membership import MemberState

if TYPE_CHECKING:
    from bluebellsill.clock import Clock
    from bluebellsill.membership import Members
    from bluebellsill.operator_state import OperatorState

__all__ = ('Readiness',)

# Seconds after which a node serves callers without a ready target for each
# service, because some services may have none.
_MAX_TARGET_WAIT = 2.0


class Readiness:
    """Requires routes, and a ready target for each service they use."""

    def __init__(
        self,
        state: OperatorState,
        members: Members,
        clock: Clock,
    ) -> None:
        """Create the check for a node that starts now."""
        self._state = state
        self._members = members
        self._clock = clock
        self._started_at = clock.now()

    def is_ready(self) -> bool:
        """Return whether the node can serve callers."""
        plan = self._state.plan
        if plan is None:
            return False
        if self._clock.now() - self._started_at > _MAX_TARGET_WAIT:
            return True
        return all(self._has_target(service) for service in plan.table.services)

    def _has_target(self, service: str) -> bool:
        return any(
            member.state == MemberState.READY
            for member in self._members.of_service(service)
        )
