"""How long connections to a server may rest before they are used again.

The load that this answers: servers, or what stands between, that forget
resting connections without a word. What is sent next is reset, and nobody
can tell whether a request that is not idempotent has run.
"""

from __future__ import annotations

__all__ = ('IdleTrust',)

_DISTRUST = 10.0  # seconds without such a loss until rests are trusted again
_SAFE_SHARE = 0.5  # of the shortest rest that was too long
# Seconds; a connection that rested less was lost for another reason.
_SHORTEST_REST = 0.05


class IdleTrust:
    """Learns from connections that were lost when they were used again."""

    def __init__(self) -> None:
        """Create a trust that nothing has shaken."""
        self._longest: float | None = None
        self._until: float = 0

    def longest_rest(self, now: float) -> float | None:
        """Return the seconds that a connection may have rested.

        Args:
            now: The time in seconds.

        Returns:
            None where any rest within the usual idle timeout will do.
        """
        if self._longest is not None and now >= self._until:
            self._longest = None
        return self._longest

    def on_lost(self, rest: float, now: float) -> None:
        """A connection was lost at its first use after a rest.

        Args:
            rest: The seconds that it had rested.
            now: The time in seconds.
        """
        if rest < _SHORTEST_REST:
            return
        longest = _SAFE_SHARE * rest
        known = self.longest_rest(now)
        self._longest = longest if known is None else min(known, longest)
        self._until = now + _DISTRUST
