"""Limits on the bytes of bodies that are on their way between two nodes."""

from __future__ import annotations

__all__ = ('BODY_WINDOW', 'LINK_WINDOW', 'PIECE_SIZE')

# Bytes of one body that may be sent beyond what its receiver has taken.
BODY_WINDOW = 262144
# Bytes that a connection for bodies carries at a time. Other connections to
# the peer share its path: at 5 Mbit/s their messages wait 0.1 s behind them.
# Over a round trip of 8 ms, this allows 65 Mbit/s.
LINK_WINDOW = 65536
PIECE_SIZE = 16384  # bytes
