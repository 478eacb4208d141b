"""How closely a target is watched, and who hears of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from bluebellsill.announcement import Announcement
    from bluebellsill.http import Response
    from bluebellsill.resources import Service

__all__ = ('OWN_WATCH_RULES', 'WatchOwner', 'WatchRules')


@dataclass(frozen=True, slots=True)
class WatchRules:
    """How closely a target is watched.

    Attributes:
        announcement_lifetime: Seconds after which a silent target is lost.
        probe_period: Seconds without news until the target is probed.
        probes_busy: Whether answers leave the need for probes, because
            only probes tell whether the target has turned cold.
        confirm_after: Seconds for which the first announcement that a node
            hears must stand, unless a probe confirms it; it may be a late
            one of a target that has said farewell to the node's former
            life. None trusts it at once.
    """

    announcement_lifetime: float = 3.0
    probe_period: float = 1.0
    probes_busy: bool = False
    confirm_after: float | None = None


OWN_WATCH_RULES = WatchRules()


class WatchOwner(Protocol):
    """Who hears of the target."""

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""

    def on_target_cold(self) -> None:
        """The target has started, or is lost."""

    def on_target_temperature(self, cold_until: float) -> None:
        """The target has said how long it stays cold."""

    def on_probed(self, response: Response) -> None:
        """The target has answered a probe."""

    def on_found(self, announcement: Announcement) -> None:
        """A probe has found a target that has not reported yet."""

    def on_target_changed(self) -> None:
        """The target has come, is leaving or has gone."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """A start of the target has crashed with requests in flight."""
