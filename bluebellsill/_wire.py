"""The form that all messages between nodes have."""

from __future__ import annotations

from msgspec import Struct

__all__ = ('WireMessage',)


class WireMessage(Struct, array_like=True, frozen=True, gc=False):
    """The base of all messages: a tagged MessagePack array."""
