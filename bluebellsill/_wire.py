"""The base class of all messages between nodes."""

from __future__ import annotations

from msgspec import Struct

__all__ = ('WireMessage',)


class WireMessage(Struct, array_like=True, frozen=True, gc=False):
    """A message that is encoded as a MessagePack array.

    The tag of a subclass, its message type, is the first element.
    """
