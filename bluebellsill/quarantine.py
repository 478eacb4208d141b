"""Refuses requests that have crashed several targets."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

__all__ = ('MAX_CRASHES', 'Quarantine')

MAX_CRASHES = 2  # crashes before a fingerprint is refused
_RETENTION = 600  # seconds after its last crash until a suspect is dropped
_MAX_SUSPECTS = 512  # fingerprints; the oldest are evicted first


@dataclass(slots=True)
class _Suspect:
    """The crashes during which one fingerprint was in flight."""

    crash_ids: set[str] = field(default_factory=set)
    last_crash_at: float = 0


class Quarantine:
    """Counts, per fingerprint, the crashes while it was in flight.

    Requests that run concurrently with the cause of a crash are suspected
    too. A complete answer clears a fingerprint, because the request that
    causes the crashes never gets one.
    """

    def __init__(self) -> None:
        """Create an empty quarantine."""
        self._suspects: OrderedDict[int, _Suspect] = OrderedDict()

    def on_crash(
        self, crash_id: str, fingerprints: list[int], now: float
    ) -> None:
        """Count a crash once for each fingerprint in flight.

        Args:
            crash_id: Identifies the crash, so that it counts only once.
            fingerprints: The fingerprints of the requests in flight.
            now: The time in seconds.
        """
        for fingerprint in fingerprints:
            suspect = self._suspects.setdefault(fingerprint, _Suspect())
            suspect.crash_ids.add(crash_id)
            suspect.last_crash_at = now
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
        """Return whether a request is quarantined."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.last_crash_at > _RETENTION:
            del self._suspects[fingerprint]
            return False
        return len(suspect.crash_ids) >= MAX_CRASHES
