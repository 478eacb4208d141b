"""Which report of the target beside a node is the newest."""

from __future__ import annotations

from dataclasses import dataclass

from msgspec.structs import replace

from bluebellsill.announcement import Announcement
from bluebellsill.logs import get_logger

__all__ = ('Departure', 'TargetLives', 'TargetReport')

_MAX_PAST = 64  # past lives that late reports are told by


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of itself.

    Attributes:
        name: The target's name; a restarted target may keep it.
        born_ms: When this life of it began, in milliseconds since 1970.
        sequence: Counts the reports of one life.
        announcement: What it announces.
    """

    name: str
    born_ms: int
    sequence: int
    announcement: Announcement


@dataclass(frozen=True, slots=True)
class Departure:
    """A target's farewell.

    Attributes:
        name: The target's name.
        born_ms: When the life began that ends, 0 if it does not say.
    """

    name: str
    born_ms: int = 0


class TargetLives:
    """Orders reports that may be late, of lives that may have ended.

    A life that has begun to leave never comes back: late reports of it
    must not bring it to work again.
    """

    def __init__(self) -> None:
        """Create an order without reports."""
        self._current: TargetReport | None = None
        self._left: dict[tuple[str, int], None] = {}
        self._log = get_logger('lives')

    def take(self, report: TargetReport) -> Announcement | None:
        """Take in a report.

        Returns:
            What is to be believed now, or None where the report is old.
        """
        current = self._current
        reason = self._why_old(report, current)
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
            self._on_left(report.name, report.born_ms)
        return report.announcement

    def leave(self, departure: Departure) -> Announcement | None:
        """Take in a farewell.

        Returns:
            What is to be believed now, or None where it was an old life's.
        """
        current = self._current
        born_ms = departure.born_ms
        if current is not None and departure.name == current.name:
            born_ms = born_ms or current.born_ms
        self._on_left(departure.name, born_ms)
        if current is None or departure.name != current.name:
            return None
        if born_ms != current.born_ms:
            return None
        return replace(current.announcement, is_leaving=True)

    def _why_old(
        self,
        report: TargetReport,
        current: TargetReport | None,
    ) -> str:
        is_known_to_leave = (report.name, report.born_ms) in self._left
        if is_known_to_leave and not report.announcement.is_leaving:
            return 'this life has left'
        if current is None:
            return ''
        if report.born_ms < current.born_ms:
            return 'a later life has reported'
        is_same = (report.name, report.born_ms) == (
            current.name,
            current.born_ms,
        )
        if is_same and report.sequence <= current.sequence:
            return f'report {current.sequence} was newer'
        return ''

    def _on_left(self, name: str, born_ms: int) -> None:
        self._left[name, born_ms] = None
        while len(self._left) > _MAX_PAST:
            self._left.pop(next(iter(self._left)))
