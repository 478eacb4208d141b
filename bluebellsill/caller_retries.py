"""Recognizes requests that callers retry after a failed attempt.

This matters under overload. Every refused caller retries, so most attempts
belong to requests whose target latency has already passed. If these are not
told apart from new requests, they take the slots in which new requests could
still be answered in time.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ('CallerRetryTracker',)

# Seconds by which the caller's deadline may differ between two attempts of one
# request: callers state a rounded time-out, and the network delay varies.
_DEADLINE_TOLERANCE = 0.05
_MAX_REQUESTS = 4096  # enough for some seconds of refusals at one node


@dataclass(frozen=True, slots=True)
class _Unserved:
    """A request whose latest attempt failed.

    Attributes:
        first_attempt_at: When its first attempt arrived, in seconds.
        caller_deadline: When its caller stops waiting, in seconds.
    """

    first_attempt_at: float
    caller_deadline: float


class CallerRetryTracker:
    """Remembers unserved requests until their callers stop waiting.

    A retry has a new request id, but the content of the first attempt, and
    its caller stops waiting at the same time.
    """

    def __init__(self) -> None:
        """Create a tracker that remembers no requests."""
        self._by_fingerprint: dict[int, list[_Unserved]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return self._count

    def first_attempt_at(
        self,
        fingerprint: int,
        caller_deadline: float,
        now: float,
    ) -> float:
        """Return when the first attempt of a request arrived, and forget it.

        Args:
            fingerprint: A hash that equal requests share.
            caller_deadline: When the caller stops waiting, in seconds.
            now: The current time in seconds; returned for a new request.
        """
        known = self._by_fingerprint.get(fingerprint, [])
        for request in known:
            if (
                abs(request.caller_deadline - caller_deadline)
                <= _DEADLINE_TOLERANCE
            ):
                self._remove(fingerprint, request)
                return request.first_attempt_at
        return now

    def record_unserved(
        self,
        fingerprint: int,
        caller_deadline: float,
        first_attempt_at: float,
        now: float,
    ) -> None:
        """Remember a request that its caller may retry.

        The oldest request is dropped if there is no room for another request.
        """
        if caller_deadline <= now:
            return
        if self._count >= _MAX_REQUESTS:
            self._evict(now)
        known = self._by_fingerprint.setdefault(fingerprint, [])
        known.append(_Unserved(first_attempt_at, caller_deadline))
        self._count += 1

    def _remove(self, fingerprint: int, request: _Unserved) -> None:
        known = self._by_fingerprint[fingerprint]
        known.remove(request)
        self._count -= 1
        if not known:
            del self._by_fingerprint[fingerprint]

    def _evict(self, now: float) -> None:
        """Evict requests whose callers gave up, or else the oldest request."""
        for fingerprint, known in tuple(self._by_fingerprint.items()):
            for request in tuple(known):
                if request.caller_deadline <= now:
                    self._remove(fingerprint, request)
        if self._count >= _MAX_REQUESTS:
            oldest = next(iter(self._by_fingerprint))
            self._remove(oldest, self._by_fingerprint[oldest][0])
