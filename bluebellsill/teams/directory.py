"""Finds the team that a key belongs to."""

from __future__ import annotations

from hashlib import blake2b
from secrets import token_bytes
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.teams.key_tags import KeyTags

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bluebellsill.teams.team import Team

    _Declared = tuple[Team, Iterable[str]]

__all__ = ('TeamDirectory', 'digest_key')

_DIGEST_BYTES = 16
# Drawn for each process, so that the time of a look-up tells nothing about keys:
# who does not know this secret cannot choose keys with similar digests.
_SECRET = token_bytes(blake2b.MAX_KEY_SIZE)


def digest_key(key: bytes) -> bytes:
    """Return the digest by which this process knows a key."""
    return blake2b(key, digest_size=_DIGEST_BYTES, key=_SECRET).digest()


class TeamDirectory:
    """The teams of one version of the routing document, by their keys.

    It keeps digests of the keys, not the keys.

    Attributes:
        tags: The tags of the keys, which calls to other nodes carry.
    """

    def __init__(
        self, teams_by_digest: dict[bytes, Team], tags: KeyTags
    ) -> None:
        """Create a directory; ``build`` checks the teams first."""
        self.tags = tags
        self._teams_by_digest = teams_by_digest

    @classmethod
    def build(cls, declared: Iterable[_Declared]) -> Result[TeamDirectory, str]:
        """Create a directory of teams with unique names and keys.

        Args:
            declared: The teams, each with its keys.

        Returns:
            The directory, or what is wrong, without any key.
        """
        names: set[str] = set()
        teams_by_digest: dict[bytes, Team] = {}
        keys_by_digest: dict[bytes, bytes] = {}
        for team, keys in declared:
            if team.name in names:
                return Err(f'team {team.name!r} is listed twice')
            names.add(team.name)
            for key in map(str.encode, keys):
                digest = digest_key(key)
                keys_by_digest[digest] = key
                owner = teams_by_digest.setdefault(digest, team)
                if owner is not team:
                    return Err(
                        f'teams {owner.name!r} and {team.name!r} have a'
                        ' key in common'
                    )
        return Ok(cls(teams_by_digest, KeyTags(keys_by_digest)))

    def find(self, digest: bytes) -> Team | None:
        """Return the team of a key, None if the key is unknown.

        Args:
            digest: The digest of the key.
        """
        return self._teams_by_digest.get(digest)
