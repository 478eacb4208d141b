"""Detects process pauses, after which local state may be outdated."""

from __future__ import annotations

__all__ = ('Freshness',)

CHECK_PERIOD = 0.1  # seconds between checks
_PAUSE_THRESHOLD = 1.5  # seconds between two checks that count as a pause
_MAX_STALE = 5.0  # seconds; members that failed are marked gone by then


class Freshness:
    """Tells whether a node may accept new work after a process pause.

    After a pause the node is stale until a peer answers. Without any peer
    it is fresh again after a bounded time: during an outage each part of
    the system continues to serve on its own.
    """

    def __init__(self, now: float) -> None:
        """Start in the fresh state."""
        self._checked_at = now
        self._stale_since: float | None = None
        self._min_sequence = 0

    def check(self, now: float) -> bool:
        """Compare the time with the last check.

        Args:
            now: The time in seconds.

        Returns:
            Whether a pause has just been detected.
        """
        paused = now - self._checked_at > _PAUSE_THRESHOLD
        self._checked_at = now
        if paused:
            self._stale_since = now
        elif self._stale_since is not None:
            if now - self._stale_since > _MAX_STALE:
                self._stale_since = None
        return paused

    def on_paused(self, next_sequence: int) -> None:
        """Ignore answers to all pings sent so far.

        Args:
            next_sequence: The sequence number of the next ping. Answers to
                earlier ones may have been in the socket buffer all through
                the pause.
        """
        self._min_sequence = next_sequence

    def on_answer(self, sequence: int, *, is_behind: bool) -> None:
        """End the stale state if the answer of a peer allows it.

        Args:
            sequence: The sequence number of the ping that it answers.
            is_behind: Whether this node has an older configuration than
                the peer.
        """
        if sequence >= self._min_sequence and not is_behind:
            self._stale_since = None

    @property
    def is_fresh(self) -> bool:
        """Whether new work may be accepted."""
        return self._stale_since is None
