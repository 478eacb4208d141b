"""Grants the tokens of the teams whose grantor this node is."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from bluebellsill.allowances.token_bucket import (
    Grant,
    TokenBucket,
    capacity,
    spare_tokens,
)

if TYPE_CHECKING:
    from bluebellsill.allowances.grantors import Grantors
    from bluebellsill.allowances.population import Population
    from bluebellsill.teams import Allowance

__all__ = ('Grantor',)

_MAX_TEAMS = 4096  # with a bucket; those not used for longest are dropped
# Seconds in which a new grantor grants at most a share of the rate: the former
# one may still be granting, on the other side of a partition or to nodes that
# do not know of the change yet.
_TAKEOVER_PERIOD = 3.0
_TAKEOVER_SHARE = 0.5
# Seconds after which all nodes have known the grantor for a window of 5 s, so that
# a team without a bucket has not sent requests in it, and its bucket is full.
# Before, another node may have granted a whole burst.
_CERTAIN_AFTER = 7.0


@dataclass(slots=True)
class _Held:
    """The bucket of a team, and what it is based on.

    Attributes:
        bucket: The bucket.
        since: Since when this node is the grantor of the team.
        version: The version of the document that declares the allowance.
        reduced_until: Until when at most a share of the rate is granted.
    """

    bucket: TokenBucket
    since: float
    version: int
    reduced_until: float


class Grantor:
    """Holds the token buckets of the teams whose grantor this node is.

    A bucket is kept in memory only. A new grantor begins with what the tolerated
    excess has room for, as its predecessor may have granted a whole burst.
    """

    def __init__(
        self, own_id: str, grantors: Grantors, population: Population
    ) -> None:
        """Create a grantor without buckets."""
        self._own_id = own_id
        self._grantors = grantors
        self._population = population
        self._held_by_team: OrderedDict[str, _Held] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of teams with a bucket."""
        return len(self._held_by_team)

    def grant(
        self,
        team: str,
        wanted: int,
        allowance: Allowance,
        version: int,
        now: float,
    ) -> Grant | None:
        """Grant tokens to an entry node.

        Args:
            team: The name of the team.
            wanted: The number of tokens that the node asks for.
            allowance: The allowance of the team as that node knows it.
            version: The version of the document that declares it.
            now: The time in seconds.

        Returns:
            The tokens, or None if this node is not the team's grantor.
        """
        tenure = self._grantors.tenure(team, now)
        if tenure.grantor != self._own_id:
            self._held_by_team.pop(team, None)
            return None
        held = self._held_by_team.get(team)
        share = self._population.share(now)
        if held is None or held.since != tenure.since:
            held = _new_bucket(allowance, version, tenure.since, share, now)
            self._held_by_team[team] = held
            if len(self._held_by_team) > _MAX_TEAMS:
                self._held_by_team.popitem(last=False)
        self._held_by_team.move_to_end(team)
        if version > held.version:
            held.version = version
            held.bucket.allowance = allowance
        if now < held.reduced_until or tenure.is_contested:
            share = min(share, _TAKEOVER_SHARE)
        return held.bucket.take(wanted, now, share)


def _new_bucket(
    allowance: Allowance,
    version: int,
    since: float,
    share: float,
    now: float,
) -> _Held:
    if now - since >= _CERTAIN_AFTER:
        bucket = TokenBucket(allowance, capacity(allowance, share), now)
        return _Held(bucket, since, version, reduced_until=now)
    bucket = TokenBucket(allowance, spare_tokens(allowance), now)
    return _Held(bucket, since, version, reduced_until=now + _TAKEOVER_PERIOD)
