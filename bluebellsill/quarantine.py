"""Refuses requests that have crashed several targets."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import nsmallest
from typing import TYPE_CHECKING

from xxhash import xxh3_64

from bluebellsill.messages import CrashRow, SuspectRow

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ('MAX_CRASHES', 'Quarantine')

MAX_CRASHES = 2  # crashes before a fingerprint is refused
_RETENTION = 600  # seconds after its last crash until a suspect is dropped
_MAX_SUSPECTS = 512  # fingerprints; the oldest are evicted first
_MAX_KEPT_CRASHES = 8  # of one fingerprint; the oldest are dropped first
_MS_PER_SECOND = 1000


@dataclass(slots=True)
class _Crash:
    """A crash while a fingerprint was in flight.

    Attributes:
        at: The earliest time, in seconds, at which it may have happened as
            far as any node has told.
        is_cleared: Whether the fingerprint was answered since.
    """

    at: float
    is_cleared: bool = False


@dataclass(slots=True)
class _Suspect:
    """The crashes during which one fingerprint was in flight."""

    crashes: dict[str, _Crash] = field(default_factory=dict)

    @property
    def last_crash_at(self) -> float:
        return max(crash.at for crash in self.crashes.values())

    @property
    def open_crashes(self) -> int:
        return sum(not crash.is_cleared for crash in self.crashes.values())

    def merge(self, crash_id: str, at: float, *, is_cleared: bool) -> bool:
        """Merge what is known of a crash; return whether it was news."""
        known = self.crashes.get(crash_id)
        if known is None:
            self.crashes[crash_id] = _Crash(at, is_cleared)
            if len(self.crashes) > _MAX_KEPT_CRASHES:
                oldest = min(self.crashes, key=lambda one: self.crashes[one].at)
                del self.crashes[oldest]
                return oldest != crash_id
            return True
        # Each transfer adds its delay to an age, so the earliest time is the
        # best, and repeated transfers do not make a crash younger.
        known.at = min(known.at, at)
        is_news = is_cleared and not known.is_cleared
        known.is_cleared |= is_cleared
        return is_news


class Quarantine:
    """Counts, per fingerprint, the crashes while it was in flight.

    Requests that run concurrently with the cause of a crash are suspected
    too. A complete answer clears a fingerprint, because the request that
    causes the crashes never gets one.

    Nodes merge what they know in any order and any number of times, with the
    same result: a fingerprint keeps the ids of its crashes, and an answer
    clears those that the answering node knows, so that a node which learns of
    them later does not count them again. A crash that it did not know counts.
    """

    def __init__(self) -> None:
        """Create an empty quarantine."""
        self._suspects: dict[int, _Suspect] = {}
        self._digest: int | None = 0

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
            self._merge(fingerprint, crash_id, now, is_cleared=False)
        self._evict()

    def on_answer(self, fingerprint: int) -> bool:
        """Clear a fingerprint that was answered.

        Returns:
            Whether it was suspected.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None or not suspect.open_crashes:
            return False
        for crash in suspect.crashes.values():
            crash.is_cleared = True
        self._digest = None
        return True

    def is_refused(self, fingerprint: int, now: float) -> bool:
        """Return whether a request is quarantined."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.last_crash_at > _RETENTION:
            self._drop(fingerprint)
            return False
        return suspect.open_crashes >= MAX_CRASHES

    # Exchange with other nodes.

    def digest(self, now: float) -> int:
        """Return a number that is equal at nodes that know the same, 0 if none.

        Args:
            now: The time in seconds.
        """
        self._expire(now)
        if self._digest is None:
            self._digest = self._compute_digest()
        return self._digest

    def rows(
        self, now: float, fingerprints: Iterable[int] | None = None
    ) -> list[SuspectRow]:
        """Return what is known of some fingerprints, of all by default."""
        self._expire(now)
        chosen = self._suspects if fingerprints is None else fingerprints
        return [
            SuspectRow(
                fingerprint,
                [
                    CrashRow(
                        crash_id,
                        max(0, round((now - crash.at) * _MS_PER_SECOND)),
                        crash.is_cleared,
                    )
                    for crash_id, crash in self._suspects[
                        fingerprint
                    ].crashes.items()
                ],
            )
            for fingerprint in chosen
            if fingerprint in self._suspects
        ]

    def merge(self, rows: list[SuspectRow], now: float) -> list[int]:
        """Merge what another node knows.

        Args:
            rows: Its rows; the ages are those at this moment.
            now: The time in seconds.

        Returns:
            The fingerprints of which something was news.
        """
        changed: list[int] = []
        for row in rows:
            fresh = [
                self._merge(
                    row.fingerprint,
                    crash.crash_id,
                    now - crash.age_ms / _MS_PER_SECOND,
                    is_cleared=crash.is_cleared,
                )
                for crash in row.crashes
                if 0 <= crash.age_ms < _RETENTION * _MS_PER_SECOND
            ]
            if any(fresh):
                changed.append(row.fingerprint)
        self._evict()
        return changed

    def _merge(
        self, fingerprint: int, crash_id: str, at: float, *, is_cleared: bool
    ) -> bool:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        is_news = suspect.merge(crash_id, at, is_cleared=is_cleared)
        if is_news:
            self._digest = None
        return is_news

    def _evict(self) -> None:
        excess = len(self._suspects) - _MAX_SUSPECTS
        for fingerprint in nsmallest(excess, self._suspects, self._last_crash):
            self._drop(fingerprint)

    def _last_crash(self, fingerprint: int) -> float:
        return self._suspects[fingerprint].last_crash_at

    def _expire(self, now: float) -> None:
        for fingerprint, suspect in tuple(self._suspects.items()):
            if now - suspect.last_crash_at > _RETENTION:
                self._drop(fingerprint)

    def _drop(self, fingerprint: int) -> None:
        del self._suspects[fingerprint]
        self._digest = None

    def _compute_digest(self) -> int:
        if not self._suspects:
            return 0
        digest = xxh3_64()
        for fingerprint in sorted(self._suspects):
            digest.update(f'{fingerprint}\0'.encode())
            crashes = self._suspects[fingerprint].crashes
            for crash_id in sorted(crashes):
                is_cleared = crashes[crash_id].is_cleared
                digest.update(f'{crash_id}\0{is_cleared:d}\0'.encode())
        return int(digest.intdigest())
