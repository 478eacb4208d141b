"""The side of a node on the platform that faces its target."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.announcement import Announcement
from bluebellsill.errors import ErrorKind
from bluebellsill.http_server import HttpServer
from bluebellsill.logs import get_logger
from bluebellsill.peer_calls import PeerCalls
from bluebellsill.platform.endpoints import TargetReportApi
from bluebellsill.platform.targets import PlatformDialect
from bluebellsill.slot_gate import SlotGate
from bluebellsill.start_pace import ColdRules
from bluebellsill.streams import Address
from bluebellsill.target_lives import Departure, TargetLives, TargetReport
from bluebellsill.target_runner import TargetRunner
from bluebellsill.watch_rules import WatchRules

if TYPE_CHECKING:
    from bluebellsill.mesh_settings import BoundSettings, MeshSettings
    from bluebellsill.metrics import Metrics
    from bluebellsill.peers import PeerServer
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.reactor import Reactor
    from bluebellsill.runs import TargetOwner

__all__ = ('TargetSide',)

_REPORT_LIVES = 6  # report periods until a silent target is lost
_CONFIRM_SHARE = 0.9  # of a report period; the second report confirms
_PROBE_PERIOD = 0.5  # seconds; how long a target may be cold unnoticed
_SECOND = 1000  # milliseconds


class TargetSide:
    """Takes in the target's reports and runs what is meant for it.

    Attributes:
        runner: The only way to the target.
    """

    def __init__(
        self,
        reactor: Reactor,
        settings: MeshSettings,
        owner: TargetOwner,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        """Bind the listener for reports.

        Raises:
            OSError: The address cannot be bound.
        """
        target = settings.target
        period = target.report_period_ms / _SECOND
        is_first = settings.node.is_first_start
        self._settings = target
        self._was_zone_out = False
        self._log = get_logger('node')
        self.runner = TargetRunner(
            reactor,
            owner,
            quarantine,
            metrics,
            SlotGate(_cold_rules(settings.known_bounds())),
            PlatformDialect(),
            WatchRules(
                announcement_lifetime=_REPORT_LIVES * period,
                probe_period=_PROBE_PERIOD,
                probes_busy=True,
                confirm_after=None if is_first else _CONFIRM_SHARE * period,
            ),
        )
        self._lives = TargetLives()
        self._report_server = HttpServer(
            reactor,
            Address.parse(settings.listen.reports),
            TargetReportApi(
                target.service,
                target.address,
                self._on_report,
                self._on_departure,
            ).handle,
        )

    def serve(self, server: PeerServer) -> None:
        """Take over the calls that peers send."""
        PeerCalls(self.runner).serve(server)

    def look_for_target(self) -> None:
        """Ask for a target whose next report is still to come."""
        target = self._settings
        self.runner.watch.look_for(
            Announcement(target.service, target.address, ''),
        )

    def on_zone(self, *, is_out: bool) -> None:
        """Take in whether operators took the availability zone out."""
        if is_out and not self._was_zone_out:
            self.runner.refuse_queue(ErrorKind.ZONE_OUT)
        elif self._was_zone_out and not is_out:
            # Targets may have turned cold while they had nothing to do.
            self.runner.watch.doubt_temperature()
        self._was_zone_out = is_out

    def _on_report(self, report: TargetReport) -> None:
        announcement = self._lives.take(report)
        if announcement is not None:
            self.runner.announce(announcement)

    def _on_departure(self, departure: Departure) -> None:
        announcement = self._lives.leave(departure)
        self._log.info('target departs', name=departure.name)
        if announcement is not None:
            self.runner.announce(announcement)


def _cold_rules(bounds: BoundSettings) -> ColdRules:
    # One below the bound: a probe may be taken for a request.
    return ColdRules(bounds.cold_excess, max(0, bounds.cold_slack - 1))
