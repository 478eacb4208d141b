"""Reports requests in flight at a crash to the nodes of the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.messages import CrashReport

if TYPE_CHECKING:
    from bluebellsill.membership import Members
    from bluebellsill.peers import PeerConnection, PeerLinks
    from bluebellsill.quarantine import Quarantine

__all__ = ('CrashReplicator',)


class CrashReplicator:
    """Replicates quarantine updates among the nodes of a service."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        quarantine: Quarantine,
    ) -> None:
        """Replicate updates of ``quarantine`` over ``links``."""
        self._members = members
        self._links = links
        self._quarantine = quarantine
        self._log = get_logger('crashes')

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Count a crash here and at the other nodes of the service.

        Args:
            start_id: The start of this node's target that crashed.
            fingerprints: The fingerprints of the requests in flight.
        """
        now = self._links.now()
        # Targets on different VMs may have the same address and start id.
        crash_id = f'{self._members.own.id}/{start_id}'
        self._quarantine.on_crash(crash_id, fingerprints, now)
        self._log.warning('target crashed', in_flight=len(fingerprints))
        self._send(CrashReport(crash_id, fingerprints, []))

    def on_cleared(self, fingerprint: int) -> None:
        """Tell the other nodes of the service to clear a fingerprint."""
        self._send(CrashReport('', [], [fingerprint]))

    def on_report(
        self,
        connection: PeerConnection,
        report: CrashReport,
    ) -> None:
        """Apply the report of another node."""
        now = self._links.now()
        if report.suspects:
            self._quarantine.on_crash(report.crash_id, report.suspects, now)
        for fingerprint in report.cleared:
            self._quarantine.on_answer(fingerprint)

    def _send(self, report: CrashReport) -> None:
        own = self._members.own
        for member in self._members.of_service(own.service):
            if member.id != own.id:
                self._links.send(member.id, report)
