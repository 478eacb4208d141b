"""Recognizes calls whose key has been removed since they were accepted."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bluebellsill.messages import Call
    from bluebellsill.teams.directory import TeamDirectory
    from bluebellsill.teams.key_tags import KeyTags

__all__ = ('RevokedKeys',)

# Earlier sets of keys that a node remembers. Entry nodes lag behind by one or
# two versions, unless they cannot reach the store.
_MAX_SETS = 16
# Tags of them together, of about 150 bytes each.
_MAX_TAGS = 16_384


class RevokedKeys:
    """Compares the tags of calls with the keys in force and earlier ones.

    A tag that this node never had in force may be newer than its document, so
    it is not taken for a removed one.
    """

    def __init__(self, max_tags: int = _MAX_TAGS) -> None:
        """Start without a document.

        Args:
            max_tags: Tags of earlier sets of keys that are kept together; the
                latest of these sets is kept in any case.
        """
        self._max_tags = max_tags
        self._version = 0
        self._directory: TeamDirectory | None = None
        self._earlier: deque[KeyTags] = deque(maxlen=_MAX_SETS)

    def follow(self, version: int, directory: TeamDirectory | None) -> None:
        """Put a version of the routing document in force.

        Args:
            version: Its number.
            directory: Its teams, None if requests need no key.
        """
        previous = self._directory
        self._version = version
        self._directory = directory
        if previous is not None and previous is not directory:
            self._remember(previous.tags)

    def concerns(self, call: Call) -> bool:
        """Return whether the key of a call was removed after it was accepted.

        A key that a later version has again is in force, and an entry node
        with a later version than this one knows better.
        """
        directory = self._directory
        if not call.key_tag or directory is None:
            return False
        if call.key_version >= self._version:
            return False
        for tags in self._earlier:
            digest = tags.digest_of(call.key_tag)
            if digest is not None:
                return directory.find(digest) is None
        return False

    def _remember(self, tags: KeyTags) -> None:
        others = [one for one in self._earlier if one.secret != tags.secret]
        self._earlier.clear()
        self._earlier.extend(others)
        self._earlier.appendleft(tags)
        while (
            len(self._earlier) > 1
            and sum(map(len, self._earlier)) > self._max_tags
        ):
            self._earlier.pop()
