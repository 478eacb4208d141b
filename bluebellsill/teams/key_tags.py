"""Tags by which nodes name a key to each other without revealing it."""

from __future__ import annotations

from functools import lru_cache
from hashlib import blake2b, scrypt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

__all__ = ('KeyTags',)

_TAG_BYTES = 8  # each call carries one
_SECRET_BYTES = 32
# Whoever knows all keys of a document but one could otherwise try a guess in a
# microsecond. With these parameters, it takes 1 MB and about 3 ms.
_SCRYPT_COST = 1024
_SCRYPT_BLOCK = 8
_SALT = b'bluebellsill key tag'


class KeyTags:
    """The tags of the keys of one routing document.

    All nodes derive the same secret from the set of keys, so a tag stays the
    same until a document adds or removes any key.

    Attributes:
        secret: The key of the tags, empty if there are no keys.
    """

    def __init__(self, keys_by_digest: Mapping[bytes, bytes]) -> None:
        """Compute the tags.

        Args:
            keys_by_digest: The keys, by the digests under which this process
                knows them. The keys are not kept.
        """
        self.secret = _derive_secret(keys_by_digest.values())
        self._digests_by_tag = {
            self.tag(key): digest for digest, key in keys_by_digest.items()
        }

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._digests_by_tag)

    def tag(self, key: bytes) -> bytes:
        """Return the tag of a key."""
        return blake2b(key, digest_size=_TAG_BYTES, key=self.secret).digest()

    def digest_of(self, tag: bytes) -> bytes | None:
        """Return the digest of the key with a tag, None without such a key."""
        return self._digests_by_tag.get(tag)


def _derive_secret(keys: Iterable[bytes]) -> bytes:
    """Return the secret of a set of keys, in whatever order they are."""
    material = b''.join(sorted(blake2b(key).digest() for key in keys))
    return _stretch(blake2b(material).digest()) if material else b''


@lru_cache(maxsize=4)
def _stretch(material: bytes) -> bytes:
    """Return a secret that is slow to compute.

    It is kept for some sets of keys, because most versions of a document have
    the keys of the version before.
    """
    return scrypt(
        material,
        salt=_SALT,
        n=_SCRYPT_COST,
        r=_SCRYPT_BLOCK,
        p=1,
        dklen=_SECRET_BYTES,
    )
