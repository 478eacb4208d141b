"""Timing of target monitoring, and the receiver of its events."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bluebellsill.response_budget import DEFAULT_CAPACITY

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.http import Response
    from bluebellsill.resources import Service

__all__ = ('DEFAULT_WATCH_RULES', 'WatchOwner', 'WatchRules')


@dataclass(frozen=True, slots=True)
class WatchRules:
    """Timing of the monitoring of a target, and the memory for it.

    Attributes:
        announcement_lifetime: Seconds without an announcement after which a
            target counts as lost.
        probe_period: Seconds without an answer or a probe until the next probe.
        probes_while_busy: Whether the target is probed even while it answers
            requests, because only probes show that it has turned cold.
        confirm_after: Seconds for which a node must have received announcements
            before it uses the target, unless a probe confirms it earlier:
            the first one may be a late announcement of a target that
            departed before the node was restarted. None accepts the first
            announcement.
        response_memory: Bytes that its incomplete responses may take.
    """

    announcement_lifetime: float = 3.0
    probe_period: float = 1.0
    probes_while_busy: bool = False
    confirm_after: float | None = None
    response_memory: int = DEFAULT_CAPACITY


DEFAULT_WATCH_RULES = WatchRules()


class WatchOwner(Protocol):
    """Receives the events of a target watch."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service, None if it is not declared."""

    def on_target_reset(self) -> None:
        """Handle a target that has started or was lost."""

    def on_cold_until(self, cold_until: float) -> None:
        """Handle the time until which the target is cold, 0 if it is warm."""

    def on_probed(self, response: Response, sent_at: float) -> None:
        """Handle the response to a probe sent at a time in seconds."""

    def on_target_discovered(self, announcement: Announcement) -> None:
        """Handle a target that a probe found before its first report."""

    def on_target_changed(self) -> None:
        """Handle a target that was announced, is leaving or was lost."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Handle a crash of the target with requests in flight."""
