"""Notices that the process was paused and what it knows may be old."""

from __future__ import annotations

__all__ = ('Freshness',)

CHECK_PERIOD = 0.1  # seconds
_PAUSE = 1.5  # seconds between two checks
_MAX_STALE = 5.0  # seconds; members that failed are gone by then


class Freshness:
    """Holds new work back after a pause until a peer has been heard.

    Without any peer the node goes on after a bounded time: during an
    outage each part of the system serves on its own.
    """

    def __init__(self, now: float) -> None:
        """Start fresh."""
        self._checked_at = now
        self._stale_since: float | None = None
        self._first_question = 0

    def check(self, now: float) -> bool:
        """Compare the time with the last check.

        Args:
            now: The time in seconds.

        Returns:
            Whether a pause has just been noticed.
        """
        paused = now - self._checked_at > _PAUSE
        self._checked_at = now
        if paused:
            self._stale_since = now
        elif self._stale_since is not None:
            if now - self._stale_since > _MAX_STALE:
                self._stale_since = None
        return paused

    def on_paused(self, next_question: int) -> None:
        """Trust only answers to questions from this number on.

        Args:
            next_question: The number of the next ping; answers to earlier
                ones may have waited in the socket throughout the pause.
        """
        self._first_question = next_question

    def on_answer(self, question: int, *, is_behind: bool) -> None:
        """Take in a peer's answer.

        Args:
            question: The number of the ping that it answers.
            is_behind: Whether the peer has a newer configuration.
        """
        if question >= self._first_question and not is_behind:
            self._stale_since = None

    @property
    def is_fresh(self) -> bool:
        """Whether new work may be taken."""
        return self._stale_since is None
