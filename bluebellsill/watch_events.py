"""What a target's node does about what it notices of its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.http import Response
    from bluebellsill.resources import Service
    from bluebellsill.runs import TargetOwner
    from bluebellsill.target_runner import TargetRunner

__all__ = ('WatchEvents',)


class WatchEvents:
    """Hands on what the watch of the target notices."""

    def __init__(self, runner: TargetRunner, owner: TargetOwner) -> None:
        """Act on a runner and the node that it is part of."""
        self._runner = runner
        self._owner = owner

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""
        return self._owner.service_of(name)

    def on_target_reset(self) -> None:
        """Start to ramp up again, and forget former failures."""
        self._runner.gate.on_cold()
        self._runner.breaker.reset()

    def on_cold_until(self, cold_until: float) -> None:
        """Bound the starts while the target is cold."""
        per_second = self._runner.watch.service.cold_per_s
        self._runner.gate.limit_starts_until(cold_until, per_second)
        self._runner.admit()

    def on_probed(self, response: Response) -> None:
        """Take in what a probe's answer tells of the target's slowness."""
        self._runner.on_probed(response)

    def on_target_discovered(self, announcement: Announcement) -> None:
        """Take a probe's word until the target reports itself."""
        self._runner.announce(announcement)

    def on_target_changed(self) -> None:
        """Pass the news on."""
        self._owner.on_target_changed()

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Pass a crash on."""
        self._owner.on_crash(start_id, fingerprints)
