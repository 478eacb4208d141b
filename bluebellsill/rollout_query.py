"""Collects from the readers of all zones what is in force there."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from bluebellsill.messages import ZoneReport, ZoneReportRequest
from bluebellsill.rollout import Rollout, RolloutStatus, readers_of

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.peers import LinkLost, PeerConnection, PeerLinks

__all__ = ('ZoneRollouts',)

_ANSWER_WAIT = 1.0  # seconds


class ZoneRollouts:
    """Reports for the own zone and asks the readers of the others."""

    def __init__(
        self,
        members: Members,
        rollout: Rollout,
        links: PeerLinks,
    ) -> None:
        """Create a query over the members that this node sees."""
        self._members = members
        self._rollout = rollout
        self._links = links

    def ask(
        self,
        revision: int,
        on_done: Callable[[RolloutStatus], None],
    ) -> None:
        """Call back with the answers of all zones, or after a while."""
        _Query(self, revision, on_done).start()

    def on_request(
        self,
        connection: PeerConnection,
        request: ZoneReportRequest,
    ) -> None:
        """Report on the own zone as one of its readers."""
        connection.send(self.own_report(request.id, request.revision))

    def own_report(self, request_id: int, revision: int) -> ZoneReport:
        """Return what the nodes of the own zone told this reader."""
        zone = self._members.own.zone
        members = self._members.not_gone_in_zone(zone)
        return self._rollout.report(request_id, zone, revision, members)

    @property
    def members(self) -> Members:
        """The members that this node sees."""
        return self._members

    @property
    def links(self) -> PeerLinks:
        """The connections to other nodes."""
        return self._links


class _Query:
    """One question to the readers of all zones."""

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
        self._waiting = 0

    def start(self) -> None:
        """Ask every reader of every zone."""
        members = self._rollouts.members
        asked = [
            (zone, reader)
            for zone in members.zones()
            for reader in _readers(members.live_in_zone(zone), zone)
        ]
        self._zones = dict.fromkeys(members.zones())
        self._waiting = len(asked)
        self._rollouts.links.reactor.timers.after(_ANSWER_WAIT, self._finish)
        for _, reader in asked:
            self._ask(reader)

    def _ask(self, reader: str) -> None:
        if reader == self._rollouts.members.own.id:
            self._on_report(self._rollouts.own_report(0, self._revision))
            return
        links = self._rollouts.links
        request = ZoneReportRequest(links.next_id(), self._revision)
        links.request(reader, request, self._on_report)

    def _on_report(self, report: ZoneReport | LinkLost) -> None:
        self._waiting -= 1
        if isinstance(report, ZoneReport):
            self._take(report)
        if not self._waiting:
            self._finish()

    def _take(self, report: ZoneReport) -> None:
        known = self._zones.get(report.zone)
        # A reader that has just become one has heard of fewer nodes.
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


def _readers(members: list[Member], zone: str) -> list[str]:
    return readers_of(zone, [member.id for member in members])
