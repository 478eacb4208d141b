"""Stops a request that crashes each target that runs it."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ('MAX_CRASHES', 'Quarantine')

MAX_CRASHES = 2  # crashes before a fingerprint is refused
_RETENTION = 600  # seconds
_MAX_SUSPECTS = 512  # fingerprints; the oldest go first


@dataclass(slots=True)
class _Suspect:
    """The crashes at which one fingerprint was in flight."""

    crash_ids: set[str] = field(default_factory=set)
    at: float = 0


class Quarantine:
    """Counts for each fingerprint the crashes that it was present at.

    A request that runs beside the culprit is suspected with it. A whole
    answer clears it, since the culprit never gets one.
    """

    def __init__(self) -> None:
        """Create an empty quarantine."""
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def on_crash(
        self, crash_id: str, fingerprints: list[int], now: float
    ) -> None:
        """Count a crash once for each fingerprint in flight.

        Args:
            crash_id: Names the crash, so that it counts only once.
            fingerprints: What was in flight.
            now: The time in seconds.
        """
        for fingerprint in fingerprints:
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            suspect.crash_ids.add(crash_id)
            suspect.at = now
            self._suspects.move_to_end(fingerprint)
        while len(self._suspects) > _MAX_SUSPECTS:
            self._suspects.popitem(last=False)

    def on_answer(self, fingerprint: int) -> bool:
        """Clear a fingerprint that was answered.

        Returns:
            Whether it was suspected.
        """
        if not self._suspects:
            return False
        return self._suspects.pop(fingerprint, None) is not None

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Return whether a request must not run any more."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.at > _RETENTION:
            del self._suspects[fingerprint]
            return False
        return len(suspect.crash_ids) >= MAX_CRASHES
