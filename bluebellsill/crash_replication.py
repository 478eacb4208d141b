"""Reports requests in flight at a crash to the nodes of the service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.logs import get_logger
from bluebellsill.messages import CrashReport

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.messages import SuspectRow
    from bluebellsill.peers import PeerConnection, PeerLinks
    from bluebellsill.quarantine import Quarantine

__all__ = ('CrashReplicator',)

# Members that get a report from its source, the cost of a crash in a large
# service. A smaller service is told entirely.
_MAX_DIRECT = 16
# Members to which a node of a large service passes news on.
_FORWARD_FANOUT = 3


class CrashReplicator:
    """Replicates quarantine updates among the nodes of a service.

    In a large service news spreads from node to node (Demers et al.,
    "Epidemic algorithms for replicated database maintenance", 1987); those
    that it does not reach learn of it by ``SuspicionSync``.
    """

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        quarantine: Quarantine,
        random: Random,
    ) -> None:
        """Replicate updates of ``quarantine`` over ``links``."""
        self._members = members
        self._links = links
        self._quarantine = quarantine
        self._random = random
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
        rows = self._quarantine.rows(now, fingerprints)
        self._send(CrashReport(crash_id, fingerprints, [], rows), _MAX_DIRECT)

    def on_cleared(self, fingerprint: int) -> None:
        """Tell the other nodes of the service to clear a fingerprint."""
        rows = self._quarantine.rows(self._links.now(), [fingerprint])
        self._send(CrashReport('', [], [fingerprint], rows), _MAX_DIRECT)

    def on_report(
        self,
        connection: PeerConnection,
        report: CrashReport,
    ) -> None:
        """Apply the report of another node, and pass news on."""
        now = self._links.now()
        if not report.rows:
            self._apply_plain(report, now)
            return
        changed = self._quarantine.merge(report.rows, now)
        if changed:
            self._log.info('suspects learned', suspects=len(changed))
        if changed and not report.answers:
            self._forward(self._quarantine.rows(now, changed))

    def _apply_plain(self, report: CrashReport, now: float) -> None:
        """Apply the report of a node of an earlier version."""
        if report.suspects:
            self._quarantine.on_crash(report.crash_id, report.suspects, now)
        for fingerprint in report.cleared:
            self._quarantine.on_answer(fingerprint)

    def _forward(self, rows: list[SuspectRow]) -> None:
        own = self._members.own
        if len(self._members.of_service(own.service)) > _MAX_DIRECT:
            self._send(CrashReport('', [], [], rows), _FORWARD_FANOUT)

    def _send(self, report: CrashReport, most: int) -> None:
        own = self._members.own
        members = self._members.of_service(own.service)
        receivers = [one.id for one in members if one.id != own.id]
        if len(receivers) > most:
            receivers = self._random.sample(receivers, most)
        for receiver in receivers:
            self._links.send(receiver, report)
