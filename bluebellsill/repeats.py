"""Recognizes requests that callers send again after a try went wrong.

The load that this answers: more requests than slots. Each refused caller
comes again, so that most tries are of requests whose target latency has
passed; unless they are told from new ones, they take the slots in which
new requests could still be answered in time.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ('Repeats',)

# Seconds by which two tries of one request may differ in when the caller
# gives up: what it states is rounded, and the way to the node varies.
_SAME = 0.05
_MAX_REQUESTS = 4096  # remembered; some seconds of refusals at one node


@dataclass(frozen=True, slots=True)
class _Unserved:
    """A request whose last try went wrong.

    Attributes:
        first_at: When its first try arrived, in seconds.
        gives_up_at: When its caller waits no longer, in seconds.
    """

    first_at: float
    gives_up_at: float


class Repeats:
    """Remembers requests that were not served, until their callers give up.

    A new try has an id of its own, but the content of the first one, and
    its caller gives up at the same time.
    """

    def __init__(self) -> None:
        """Create an empty memory."""
        self._by_fingerprint: dict[int, list[_Unserved]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return the number of requests that are remembered."""
        return self._count

    def first_at(
        self,
        fingerprint: int,
        gives_up_at: float,
        now: float,
    ) -> float:
        """Return when the first try of a request arrived; forget it.

        Args:
            fingerprint: A hash that equal requests share.
            gives_up_at: When the caller waits no longer, in seconds.
            now: The time in seconds, for a request that is new.
        """
        known = self._by_fingerprint.get(fingerprint, [])
        for one in known:
            if abs(one.gives_up_at - gives_up_at) <= _SAME:
                self._remove(fingerprint, one)
                return one.first_at
        return now

    def on_unserved(
        self,
        fingerprint: int,
        gives_up_at: float,
        first_at: float,
        now: float,
    ) -> None:
        """Remember a request that its caller may send again."""
        if gives_up_at <= now:
            return
        if self._count >= _MAX_REQUESTS:
            self._forget_old(now)
        known = self._by_fingerprint.setdefault(fingerprint, [])
        known.append(_Unserved(first_at, gives_up_at))
        self._count += 1

    def _remove(self, fingerprint: int, one: _Unserved) -> None:
        known = self._by_fingerprint[fingerprint]
        known.remove(one)
        self._count -= 1
        if not known:
            del self._by_fingerprint[fingerprint]

    def _forget_old(self, now: float) -> None:
        """Forget those whose callers gave up, or else the oldest one."""
        for fingerprint, known in tuple(self._by_fingerprint.items()):
            for one in tuple(known):
                if one.gives_up_at <= now:
                    self._remove(fingerprint, one)
        if self._count >= _MAX_REQUESTS:
            oldest = next(iter(self._by_fingerprint))
            self._remove(oldest, self._by_fingerprint[oldest][0])
