"""Connects the monitoring of a target to the node's request handling."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.http import Response
    from bluebellsill.resources import Service
    from bluebellsill.runs import TargetOwner
    from bluebellsill.target_runner import TargetRunner

__all__ = ('TargetWatchEvents',)


class TargetWatchEvents:
    """Passes the events of the target watch to the runner and the node."""

    def __init__(self, runner: TargetRunner, owner: TargetOwner) -> None:
        """Create a receiver of events.

        Args:
            runner: Runs requests at the target.
            owner: The node that the runner is part of.
        """
        self._runner = runner
        self._owner = owner

    def service_of(self, name: str) -> Service | None:
        """Return a declared service, None if it is not declared."""
        return self._owner.service_of(name)

    def on_target_reset(self) -> None:
        """Restart the ramp-up and discard the failures counted so far."""
        self._runner.gate.on_cold()
        self._runner.breaker.reset()

    def on_cold_until(self, cold_until: float) -> None:
        """Limit the rate of starting requests while the target is cold."""
        per_second = self._runner.watch.service.cold_per_s
        self._runner.gate.limit_starts_until(cold_until, per_second)
        self._runner.admit()

    def on_probed(self, response: Response, sent_at: float) -> None:
        """Pass on a probe's response, which may report slowness."""
        self._runner.on_probed(response, sent_at)

    def on_target_discovered(self, announcement: Announcement) -> None:
        """Use the announcement of a probe until the target reports itself."""
        self._runner.announce(announcement)

    def on_target_changed(self) -> None:
        """Notify the node of a changed target."""
        self._owner.on_target_changed()

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Notify the node of a crash of the target."""
        self._owner.on_crash(start_id, fingerprints)
