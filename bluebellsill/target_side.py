"""Connects a platform node to the target that it serves."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.announcement import Announcement
from bluebellsill.body_transfer import BodyReceiver
from bluebellsill.errors import ErrorKind
from bluebellsill.http_server import HttpServer
from bluebellsill.logs import get_logger
from bluebellsill.overload import (
    ORDER_LOG_PERIOD,
    LoadShedding,
    OrderMonitor,
    OrderSwitch,
)
from bluebellsill.peer_calls import PeerCalls
from bluebellsill.platform.endpoints import TargetReportApi
from bluebellsill.platform.target_dialect import PlatformDialect
from bluebellsill.response_budget import capacity_of_vm
from bluebellsill.slot_gate import SlotGate
from bluebellsill.start_rate import ColdRateAllowance
from bluebellsill.streams import Address
from bluebellsill.target_reports import Departure, ReportFilter, TargetReport
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

# Report periods without a report after which the target counts as lost.
_LOST_AFTER_PERIODS = 6
# Report periods after which an announcement that is still repeated counts as
# current; below 1, so that the second report confirms it.
_CONFIRM_AFTER_PERIODS = 0.9
_PROBE_PERIOD = 0.5  # seconds; bounds how long a cold target goes unnoticed
_MS_PER_SECOND = 1000


class TargetSide:
    """Receives the target's reports and runs the calls addressed to it.

    Attributes:
        runner: Sends every request to the target.
        bodies: Receives the bodies of the calls of other nodes.
        order: The order of the queue, which follows the routing document.
    """

    def __init__(
        self,
        reactor: Reactor,
        settings: MeshSettings,
        owner: TargetOwner,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        """Bind the listener for the target's reports.

        Raises:
            OSError: The address cannot be bound.
        """
        target = settings.target
        period = target.report_period_ms / _MS_PER_SECOND
        is_first = settings.node.is_first_start
        order = OrderSwitch(settings.overload.order)
        shedding = LoadShedding(order)
        self._settings = target
        self._was_zone_out = False
        self._log = get_logger('node')
        self._is_first_start = is_first
        self._gate = SlotGate(
            _cold_rate_allowance(settings.enforced_bounds()), shedding
        )
        self.runner = TargetRunner(
            reactor,
            owner,
            quarantine,
            metrics,
            self._gate,
            PlatformDialect(),
            WatchRules(
                announcement_lifetime=_LOST_AFTER_PERIODS * period,
                probe_period=_PROBE_PERIOD,
                probes_while_busy=True,
                confirm_after=None
                if is_first
                else _CONFIRM_AFTER_PERIODS * period,
                response_memory=capacity_of_vm(settings.limits.memory_mb),
            ),
            shedding,
        )
        self.bodies = BodyReceiver(reactor.timers, metrics)
        self.order = order
        monitor = OrderMonitor(order, metrics, reactor.timers.clock)
        reactor.timers.every(ORDER_LOG_PERIOD, monitor.log)
        self._report_filter = ReportFilter()
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

    def may_run_unknown(self) -> bool:
        """Return whether the target may run calls of an earlier process."""
        return not self._is_first_start and self._gate.may_have_untracked

    def serve(self, server: PeerServer) -> None:
        """Handle the calls that peers send to this target."""
        PeerCalls(self.runner, self.bodies).serve(server)

    def discover_target(self) -> None:
        """Probe the target, to find it before its next report."""
        target = self._settings
        self.runner.watch.discover(
            Announcement(target.service, target.address, ''),
        )

    def on_zone(self, *, is_out: bool) -> None:
        """React to operators taking the availability zone out or back in."""
        if is_out and not self._was_zone_out:
            self.runner.refuse_queue(ErrorKind.ZONE_OUT)
        elif self._was_zone_out and not is_out:
            # Targets may have turned cold while they were idle.
            self.runner.watch.assume_cold()
        self._was_zone_out = is_out

    def _on_report(self, report: TargetReport) -> None:
        announcement = self._report_filter.accept(report)
        if announcement is not None:
            self.runner.announce(announcement)

    def _on_departure(self, departure: Departure) -> None:
        announcement = self._report_filter.on_departure(departure)
        self._log.info('target departs', name=departure.name)
        if announcement is not None:
            self.runner.announce(announcement)


def _cold_rate_allowance(bounds: BoundSettings) -> ColdRateAllowance:
    # One below the platform's bound, because the target may count a probe as
    # a request.
    return ColdRateAllowance(bounds.cold_excess, max(0, bounds.cold_slack - 1))
