"""Collects the rollout reports of the readers of all zones."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from bluebellsill.messages import ZoneReport, ZoneReportRequest
from bluebellsill.rollout import RolloutStatus, RolloutTracker, readers_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.peers import LinkLost, PeerConnection, PeerLinks

__all__ = ('ZoneRollouts',)

_REPORT_TIMEOUT = 1.0  # seconds


class ZoneRollouts:
    """Reports on this node's zone and queries the readers of all zones."""

    def __init__(
        self,
        members: Members,
        rollout: RolloutTracker,
        links: PeerLinks,
    ) -> None:
        """Create a query over the members that this node knows."""
        self._members = members
        self._rollout = rollout
        self._links = links

    def query(
        self,
        revision: int,
        on_done: Callable[[RolloutStatus], None],
    ) -> None:
        """Query all zones and pass the combined status to a callback.

        Zones whose readers do not answer in time have no report in the
        status.
        """
        _Query(self, revision, on_done).start()

    def on_request(
        self,
        connection: PeerConnection,
        request: ZoneReportRequest,
    ) -> None:
        """Answer another node with the report on this node's zone."""
        connection.send(self.own_report(request.id, request.revision))

    def own_report(self, request_id: int, revision: int) -> ZoneReport:
        """Return the report on this node's zone."""
        zone = self._members.own.zone
        members = self._members.not_gone_in_zone(zone)
        return self._rollout.report(request_id, zone, revision, members)

    @property
    def members(self) -> Members:
        """The members that this node knows."""
        return self._members

    @property
    def links(self) -> PeerLinks:
        """The connections to other nodes."""
        return self._links


class _Query:
    """One query to the readers of all zones."""

    def __init__(
        self,
        rollouts: ZoneRollouts,
        revision: int,
        on_done: Callable[[RolloutStatus], None],
    ) -> None:
        self._rollouts = rollouts
        self._revision = revision
        self._on_done: Callable[[RolloutStatus], None] | None = on_done
        self._zones: dict[str, dict[str, Any] | None] = {}
        self._pending_reports = 0

    def start(self) -> None:
        """Request a report from every reader of every zone."""
        members = self._rollouts.members
        readers = [
            (zone, reader)
            for zone in members.zones()
            for reader in _readers_of_zone(members.live_in_zone(zone), zone)
        ]
        self._zones = dict.fromkeys(members.zones())
        self._pending_reports = len(readers)
        self._rollouts.links.reactor.timers.after(_REPORT_TIMEOUT, self._finish)
        for _, reader in readers:
            self._request_report(reader)

    def _request_report(self, reader: str) -> None:
        if reader == self._rollouts.members.own.id:
            self._on_report(self._rollouts.own_report(0, self._revision))
            return
        links = self._rollouts.links
        request = ZoneReportRequest(links.next_id(), self._revision)
        links.request(reader, request, self._on_report)

    def _on_report(self, report: ZoneReport | LinkLost) -> None:
        self._pending_reports -= 1
        if isinstance(report, ZoneReport):
            self._merge(report)
        if not self._pending_reports:
            self._finish()

    def _merge(self, report: ZoneReport) -> None:
        known = self._zones.get(report.zone)
        # The report with the fewest lagging nodes is the most complete: a
        # new reader has not received the revisions of all nodes yet.
        if known is None or report.lagging < known['lagging']:
            self._zones[report.zone] = {
                'members': report.members,
                'lagging': report.lagging,
                'examples': report.examples,
                'in_flight': report.in_flight,
            }

    def _finish(self) -> None:
        on_done = self._on_done
        self._on_done = None
        if on_done is not None:
            on_done(RolloutStatus(self._revision, self._zones))


def _readers_of_zone(members: list[Member], zone: str) -> list[str]:
    return readers_of(zone, [member.id for member in members])
