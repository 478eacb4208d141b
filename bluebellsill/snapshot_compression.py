"""Compression of the snapshots that nodes send to each other.

Routing documents repeat the same field names for each route, and the slowest
links of VMs carry 5 Mbit/s, so that a document of a thousand routes takes
hundreds of milliseconds there.
"""

from __future__ import annotations

import zlib

__all__ = ('SnapshotCompressor', 'decompress_snapshot')

_LEVEL = 1  # the fastest level of zlib
_MAX_SNAPSHOT = 16777216  # bytes; as much as a frame can carry uncompressed


class SnapshotCompressor:
    """Compresses snapshots, each of them once for all nodes that ask for it."""

    def __init__(self) -> None:
        """Create a compressor without a snapshot."""
        self._snapshot = b''
        self._compressed = b''

    def compress(self, snapshot: bytes) -> bytes:
        """Return the compressed snapshot."""
        if snapshot != self._snapshot:
            self._snapshot = snapshot
            self._compressed = zlib.compress(snapshot, _LEVEL)
        return self._compressed


def decompress_snapshot(compressed: bytes) -> bytes:
    """Return a snapshot that was compressed.

    Raises:
        ValueError: The bytes cannot be decompressed, or the snapshot is too
            long.
    """
    decompressor = zlib.decompressobj()
    try:
        snapshot = decompressor.decompress(compressed, _MAX_SNAPSHOT)
    except zlib.error as error:
        raise ValueError(f'malformed compressed snapshot: {error}') from error
    if not decompressor.eof:
        size = len(compressed)
        raise ValueError(
            f'compressed snapshot of {size} bytes is cut off or too long'
        )
    return snapshot
