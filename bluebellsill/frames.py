"""How messages between nodes are laid out on a stream."""

from __future__ import annotations

import zlib
from struct import Struct
from typing import Protocol

from msgspec.structs import replace

from bluebellsill.messages import (
    Answer,
    Call,
    Message,
    MessageError,
    decode,
    encode,
)

__all__ = ('CompressedFrames', 'Frames', 'PlainFrames')

_MAX_FRAME = 16777216  # bytes, four times the largest body
_LENGTH = Struct('>I')
_LENGTHS = Struct('>II')
# Heads repeat from message to message, so a kilobyte holds what they repeat:
# 249 bytes become 50 in 11 us, and a window of 32 KB saves no more.
_WINDOW_BITS = 10
_MEMORY_LEVEL = 2  # 6 KB for each direction of a connection
_FASTEST = 1  # level of compression
# Ends each block that is flushed; left out, as RFC 7692 has it.
_FLUSH_TAIL = b'\x00\x00\xff\xff'


class Frames(Protocol):
    """One way to lay messages out, for one connection."""

    def encode(self, message: Message) -> bytes:
        """Return the bytes of a message."""

    def take(self, received: bytearray) -> Message | None:
        """Take the first whole message out of what has arrived.

        Args:
            received: What has arrived; the message's bytes are removed.

        Returns:
            The message, or None while it is not whole.

        Raises:
            MessageError: What has arrived is not a message.
        """


class PlainFrames:
    """A length and the encoded message."""

    def encode(self, message: Message) -> bytes:
        """Return the bytes of a message."""
        payload = encode(message)
        return _LENGTH.pack(len(payload)) + payload

    def take(self, received: bytearray) -> Message | None:
        """Take the first whole message out of what has arrived."""
        if len(received) < _LENGTH.size:
            return None
        length = int(_LENGTH.unpack_from(received)[0])
        end = _LENGTH.size + _checked(length)
        if len(received) < end:
            return None
        payload = bytes(received[_LENGTH.size : end])
        del received[:end]
        return decode(payload)


class CompressedFrames:
    """Two lengths, the compressed message, and its body as it is.

    Heads repeat most of what those before them said; bodies are left alone,
    since they would push that out of the window.
    """

    def __init__(self) -> None:
        """Create frames that have seen no message."""
        self._compressor = zlib.compressobj(
            _FASTEST,
            zlib.DEFLATED,
            -_WINDOW_BITS,
            _MEMORY_LEVEL,
        )
        self._decompressor = zlib.decompressobj(-_WINDOW_BITS)

    def encode(self, message: Message) -> bytes:
        """Return the bytes of a message."""
        body = b''
        if isinstance(message, Call | Answer):
            body = message.body
            message = replace(message, body=b'')
        head = self._compressor.compress(encode(message))
        head += self._compressor.flush(zlib.Z_SYNC_FLUSH)
        head = head.removesuffix(_FLUSH_TAIL)
        return b''.join((_LENGTHS.pack(len(head), len(body)), head, body))

    def take(self, received: bytearray) -> Message | None:
        """Take the first whole message out of what has arrived."""
        if len(received) < _LENGTHS.size:
            return None
        head_length, body_length = _LENGTHS.unpack_from(received)
        middle = _LENGTHS.size + _checked(int(head_length))
        end = middle + _checked(int(body_length))
        if len(received) < end:
            return None
        head = self._decompress(received[_LENGTHS.size : middle])
        body = bytes(received[middle:end])
        del received[:end]
        message = decode(head)
        if isinstance(message, Call | Answer):
            return replace(message, body=body)
        return message

    def _decompress(self, head: bytearray) -> bytes:
        block = bytes(head) + _FLUSH_TAIL
        try:
            payload = self._decompressor.decompress(block, _MAX_FRAME)
        except zlib.error as error:
            raise MessageError(f'head is not compressed: {error}') from error
        if self._decompressor.unconsumed_tail:
            raise MessageError(f'head is above {_MAX_FRAME} bytes')
        return payload


def _checked(length: int) -> int:
    if length > _MAX_FRAME:
        raise MessageError(f'frame of {length} bytes is too long')
    return length
