"""Rejects stale reports of the target."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from bluebellsill.announcement import Announcement
from bluebellsill.logs import get_logger

__all__ = ('Departure', 'ReportFilter', 'TargetReport')

# Departed incarnations that are remembered to reject their late reports.
_MAX_DEPARTED = 64


@dataclass(frozen=True, slots=True)
class TargetReport:
    """A report of one incarnation of the target.

    An incarnation is one run of the target's process; a restart begins a new
    one.

    Attributes:
        name: The target's name; a restarted target may keep it.
        born_ms: When this incarnation started, in milliseconds since the
            Unix epoch.
        sequence: The number of this report within the incarnation.
        announcement: The state that the report announces.
    """

    name: str
    born_ms: int
    sequence: int
    announcement: Announcement


@dataclass(frozen=True, slots=True)
class Departure:
    """A notice that an incarnation of the target departs.

    Attributes:
        name: The target's name.
        born_ms: When this incarnation started, in milliseconds since the
            Unix epoch, 0 if the notice does not state it.
    """

    name: str
    born_ms: int = 0


class ReportFilter:
    """Filters out reports that arrive late or from past incarnations.

    An incarnation that has begun to leave never becomes ready again, so its
    late reports must not make the node send it new work.
    """

    def __init__(self) -> None:
        """Create a filter that has not seen a report."""
        self._current: TargetReport | None = None
        self._departed: dict[tuple[str, int], None] = {}
        self._log = get_logger('lives')

    def accept(self, report: TargetReport) -> Announcement | None:
        """Process a report.

        Returns:
            The announcement now in effect, or None if the report is stale.
        """
        current = self._current
        reason = self._stale_reason(report, current)
        if reason:
            self._log.info(
                'report ignored',
                name=report.name,
                born_ms=report.born_ms,
                sequence=report.sequence,
                reason=reason,
            )
            return None
        self._current = report
        if report.announcement.is_leaving:
            self._mark_departed(report.name, report.born_ms)
        return report.announcement

    def on_departure(self, departure: Departure) -> Announcement | None:
        """Process a departure notice.

        Returns:
            The announcement now in effect, or None if the notice is not
            about the current incarnation.
        """
        current = self._current
        born_ms = departure.born_ms
        if current is not None and departure.name == current.name:
            born_ms = born_ms or current.born_ms
        self._mark_departed(departure.name, born_ms)
        if current is None or departure.name != current.name:
            return None
        if born_ms != current.born_ms:
            return None
        return replace(current.announcement, is_leaving=True)

    def _stale_reason(
        self,
        report: TargetReport,
        current: TargetReport | None,
    ) -> str:
        has_departed = (report.name, report.born_ms) in self._departed
        if has_departed and not report.announcement.is_leaving:
            return 'this incarnation of the target has departed'
        if current is None:
            return ''
        if report.born_ms < current.born_ms:
            return 'a newer incarnation of the target has reported'
        is_same = (report.name, report.born_ms) == (
            current.name,
            current.born_ms,
        )
        if is_same and report.sequence <= current.sequence:
            return f'report {current.sequence} was already accepted'
        return ''

    def _mark_departed(self, name: str, born_ms: int) -> None:
        self._departed[name, born_ms] = None
        while len(self._departed) > _MAX_DEPARTED:
            self._departed.pop(next(iter(self._departed)))
