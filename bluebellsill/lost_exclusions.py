"""Ends exclusions of zones that a restored store does not confirm."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.operator_state import OperatorState
    from bluebellsill.timers import TimerService

__all__ = ('LostExclusions',)

# Seconds that operators have to take a zone out again after the store has lost
# that it was out. Until then no request must reach the zone.
_CONFIRMATION_TIME = 10.0


class LostExclusions:
    """Drops unconfirmed exclusions some time after the store was restored."""

    def __init__(self, state: OperatorState, timers: TimerService) -> None:
        """Subscribe to the state of a node."""
        self._state = state
        self._timers = timers
        self._awaited_epoch: int | None = None
        state.subscribe(self._on_changed)

    def _on_changed(self) -> None:
        epoch = self._state.position.epoch
        if not self._state.unconfirmed_zones or epoch == self._awaited_epoch:
            return
        self._awaited_epoch = epoch
        self._timers.after(_CONFIRMATION_TIME, lambda: self._end(epoch))

    def _end(self, epoch: int) -> None:
        if self._awaited_epoch == epoch:
            self._awaited_epoch = None
        self._state.drop_unconfirmed_zones(epoch)
