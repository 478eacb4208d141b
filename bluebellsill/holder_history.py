"""The past members of a service, to tell whether key records are complete."""

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
    from bluebellsill.messages import Incarnations

__all__ = ('Certainty', 'HolderHistory', 'holders_of', 'key_time')

HOLDERS = 2  # nodes that hold the record of a key; one of them may be lost
RETENTION = 600  # seconds that the record of a key is kept
# Seconds after a loss before new holders grant claims. They cover the time
# until all members have detected the loss.
SETTLING_TIME = 3.0
# Seconds by which a key is taken to be older than its timestamp says. They
# cover clock skew and the time until a failure is detected.
KEY_AGE_MARGIN = 5.0
_UUID7 = 7
_UUID7_TIME_SHIFT = 80


@unique
class Certainty(IntEnum):
    """Whether a holder without a record of a key can rule out a claim.

    A holder that started after the key was made cannot tell, and leaves
    the decision to the other holder. A holder that has seen a change of
    members by which the record may have been lost prevents the run.
    """

    CERTAIN = 0
    HOLDER_NEWER = 1
    DOUBTFUL = 2


@dataclass(frozen=True, slots=True)
class _Epoch:
    """The members of a service between two changes of them."""

    started_at: float
    incarnations_by_id: dict[str, int]
    has_majority: bool


def key_time(key: str) -> float | None:
    """Return when a key was made, if it contains its time.

    Args:
        key: The caller's key. A version 7 UUID (RFC 9562) contains its time.

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


def holders_of(key: str, incarnations_by_id: Mapping[str, int]) -> Incarnations:
    """Return the ids and incarnations of the nodes that hold a key."""
    return [
        (one, incarnations_by_id[one])
        for one in rank(key, incarnations_by_id, HOLDERS)
    ]


class HolderHistory:
    """The members of a service over the retention period of key records."""

    def __init__(self, now: float) -> None:
        """Start to observe the members at ``now``, seconds since 1970."""
        self._observed_since = now
        self._epochs: deque[_Epoch] = deque()
        self._lost_at_by_incarnation: dict[tuple[str, int], float] = {}
        self._last_lost_at: float = 0

    def observe(
        self,
        members: Iterable[Member],
        now: float,
        expected: int = 0,
    ) -> None:
        """Record the current members.

        Args:
            members: The members of the service that are not GONE.
            now: Seconds since 1970.
            expected: The number of targets that operators declared, or 0.
        """
        incarnations = {member.id: member.incarnation for member in members}
        has_majority = self._is_majority(incarnations, now, expected)
        epoch = _Epoch(now, incarnations, has_majority)
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
        """Record that a member is gone without having left gracefully."""
        self._lost_at_by_incarnation[member.id, member.incarnation] = now
        self._last_lost_at = now

    def is_settled(self, key: str, now: float) -> bool:
        """Return whether the holders are unaffected by recent losses.

        Right after a loss, both sides of a network partition may still
        count the same member as theirs, so new holders wait for
        ``SETTLING_TIME`` before they grant claims.

        Args:
            key: The scoped key.
            now: Seconds since 1970.
        """
        current = self.holders(key)
        for epoch in reversed(self._epochs):
            if holders_of(key, epoch.incarnations_by_id) != current:
                return now - self._last_lost_at >= SETTLING_TIME
            if epoch.started_at < now - SETTLING_TIME:
                break
        return True

    @property
    def has_majority(self) -> bool:
        """Whether this node sees more than half of the service's members."""
        return bool(self._epochs) and self._epochs[-1].has_majority

    def holders(self, key: str) -> Incarnations:
        """Return the current holders of a key."""
        if not self._epochs:
            return []
        return holders_of(key, self._epochs[-1].incarnations_by_id)

    def certainty(
        self,
        key: str,
        made_at: float | None,
        now: float,
    ) -> Certainty:
        """Return whether the current holders must know an earlier claim.

        Args:
            key: The scoped key.
            made_at: When the key was made, or None if it is unknown.
            now: Seconds since 1970.
        """
        since = now - RETENTION
        if made_at is not None:
            since = max(since, made_at - KEY_AGE_MARGIN)
        current = set(self.holders(key))
        for epoch in reversed(self._epochs):
            # Without a majority on this side of a network partition, other
            # nodes may have granted claims that this node has not seen.
            lacks_majority = not epoch.has_majority
            if lacks_majority or current.isdisjoint(
                holders_of(key, epoch.incarnations_by_id),
            ):
                return Certainty.DOUBTFUL
            if epoch.started_at <= since:
                break
        is_newer = since < self._observed_since
        return Certainty.HOLDER_NEWER if is_newer else Certainty.CERTAIN

    def _is_majority(
        self,
        incarnations: dict[str, int],
        now: float,
        expected: int,
    ) -> bool:
        for lost, lost_at in tuple(self._lost_at_by_incarnation.items()):
            if now - lost_at > RETENTION:
                del self._lost_at_by_incarnation[lost]
        # A member that has restarted counts only as present.
        lost_ids = {
            member_id
            for member_id, _ in self._lost_at_by_incarnation
            if member_id not in incarnations
        }
        return len(incarnations) > max(len(lost_ids), expected / 2)
