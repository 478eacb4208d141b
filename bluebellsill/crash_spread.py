"""Tells the nodes of a service which requests were present at crashes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.messages import CrashReport

if TYPE_CHECKING:
    from bluebellsill.membership import Members
    from bluebellsill.peers import PeerConnection, PeerLinks
    from bluebellsill.quarantine import Quarantine

__all__ = ('CrashSpread',)


class CrashSpread:
    """Keeps the quarantines of all nodes of a service alike."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        quarantine: Quarantine,
    ) -> None:
        """Spread what happens to ``quarantine`` over ``links``."""
        self._members = members
        self._links = links
        self._quarantine = quarantine
        self._log = get_logger('crashes')

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Count a crash here and at the other nodes of the service.

        Args:
            start_id: Which start of the target beside this node crashed.
            fingerprints: What was in flight.
        """
        now = self._links.now()
        # Targets may have the same address and start id, each on its VM.
        crash_id = f'{self._members.own.id}/{start_id}'
        self._quarantine.on_crash(crash_id, fingerprints, now)
        self._log.warning('target crashed', in_flight=len(fingerprints))
        self._send(CrashReport(crash_id, fingerprints, []))

    def on_cleared(self, fingerprint: int) -> None:
        """Clear a fingerprint at the other nodes of the service."""
        self._send(CrashReport('', [], [fingerprint]))

    def on_report(
        self,
        connection: PeerConnection,
        report: CrashReport,
    ) -> None:
        """Take in the word of another node."""
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
