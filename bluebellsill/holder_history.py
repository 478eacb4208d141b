"""Which members a service had, and what that tells of its keys' records."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from enum import IntEnum, unique
from typing import TYPE_CHECKING
from uuid import UUID

from bluebellsill.rendezvous import rank

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bluebellsill.gossip_messages import Member
    from bluebellsill.messages import Lives

__all__ = ('Certainty', 'HolderHistory', 'holders_of', 'key_time')

HOLDERS = 2  # nodes for each key; one may be lost
RETENTION = 600  # seconds that a key is remembered
SETTLE = 3.0  # seconds; covers the spread of a detection over members
FENCE = 5.0  # seconds; covers clock skew and the detection of failures
_UUID7 = 7
_UUID7_TIME_SHIFT = 80


@unique
class Certainty(IntEnum):
    """What a holder's history tells of a key that it has not seen.

    A holder that started after the key was made cannot tell, and leaves
    the word to the other one. A holder that was there and saw a change
    that may have lost the record vetoes the run.
    """

    CERTAIN = 0
    TOO_YOUNG = 1
    DOUBTFUL = 2


@dataclass(frozen=True, slots=True)
class _Epoch:
    """The members of a service between two changes."""

    started_at: float
    lives_by_id: dict[str, int]
    has_majority: bool


def key_time(key: str) -> float | None:
    """Return when a key was made, if it tells.

    Args:
        key: The caller's key; a version 7 UUID (RFC 9562) tells its time.

    Returns:
        Seconds since 1970, or None.
    """
    try:
        uuid = UUID(key)
    except ValueError:
        return None
    if uuid.version != _UUID7:
        return None
    return (uuid.int >> _UUID7_TIME_SHIFT) / 1000


def holders_of(key: str, lives_by_id: Mapping[str, int]) -> Lives:
    """Return the lives of the nodes that hold the record of a key."""
    return [(one, lives_by_id[one]) for one in rank(key, lives_by_id, HOLDERS)]


class HolderHistory:
    """Which members a service had over the time that keys are remembered."""

    def __init__(self, now: float) -> None:
        """Start to know the members at ``now``, seconds since 1970."""
        self._known_since = now
        self._epochs: deque[_Epoch] = deque()
        self._lost_at_by_life: dict[tuple[str, int], float] = {}
        self._lost_at: float = 0

    def observe(
        self,
        members: Iterable[Member],
        now: float,
        expected: int = 0,
    ) -> None:
        """Note the present members.

        Args:
            members: The members of the service that are not gone.
            now: Seconds since 1970.
            expected: The number of targets that operators declared.
        """
        lives = {member.id: member.incarnation for member in members}
        has_majority = self._is_majority(lives, now, expected)
        epoch = _Epoch(now, lives, has_majority)
        if self._epochs:
            latest = replace(self._epochs[-1], started_at=now)
            if latest == epoch:
                return
        self._epochs.append(epoch)
        while len(self._epochs) > 1:
            if now - self._epochs[1].started_at < RETENTION:
                break
            self._epochs.popleft()

    def on_lost(self, member: Member, now: float) -> None:
        """Note that a member went without taking leave."""
        self._lost_at_by_life[member.id, member.incarnation] = now
        self._lost_at = now

    def is_settled(self, key: str, now: float) -> bool:
        """Return whether losses of late left the holders as they were.

        Right after a loss the two sides of a cut may each count a member
        that they have in common, so new holders wait for a while.

        Args:
            key: The scoped key.
            now: Seconds since 1970.
        """
        present = self.holders(key)
        for epoch in reversed(self._epochs):
            if holders_of(key, epoch.lives_by_id) != present:
                return now - self._lost_at >= SETTLE
            if epoch.started_at < now - SETTLE:
                break
        return True

    @property
    def has_majority(self) -> bool:
        """Whether more than half of the service is on this side of a cut."""
        return bool(self._epochs) and self._epochs[-1].has_majority

    def holders(self, key: str) -> Lives:
        """Return the present holders of a key."""
        if not self._epochs:
            return []
        return holders_of(key, self._epochs[-1].lives_by_id)

    def certainty(
        self,
        key: str,
        made_at: float | None,
        now: float,
    ) -> Certainty:
        """Return whether the present holders must know an earlier claim.

        Args:
            key: The scoped key.
            made_at: When the key was made, if it tells.
            now: Seconds since 1970.
        """
        since = now - RETENTION
        if made_at is not None:
            since = max(since, made_at - FENCE)
        present = set(self.holders(key))
        for epoch in reversed(self._epochs):
            # Without a majority, others may have held keys unseen.
            is_blind = not epoch.has_majority
            if is_blind or present.isdisjoint(
                holders_of(key, epoch.lives_by_id),
            ):
                return Certainty.DOUBTFUL
            if epoch.started_at <= since:
                break
        is_young = since < self._known_since
        return Certainty.TOO_YOUNG if is_young else Certainty.CERTAIN

    def _is_majority(
        self,
        lives: dict[str, int],
        now: float,
        expected: int,
    ) -> bool:
        for life, lost_at in tuple(self._lost_at_by_life.items()):
            if now - lost_at > RETENTION:
                del self._lost_at_by_life[life]
        # A member that came back in a new life counts as live only.
        lost = {one for one, _ in self._lost_at_by_life if one not in lives}
        return len(lives) > max(len(lost), expected / 2)
