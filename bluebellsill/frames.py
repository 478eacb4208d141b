"""Framing of the messages between nodes on a stream."""

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

_MAX_FRAME = 16777216  # bytes; four times the maximum size of a body
_LENGTH_PREFIX = Struct('>I')
_LENGTHS_PREFIX = Struct('>II')
# Base-2 logarithm of the window's bytes. Consecutive heads are so alike that
# 1 KB holds what they repeat: 249 bytes shrink to 50 in 11 us, and a window of
# 32 KB saves no more.
_WINDOW_BITS = 10
_MEMORY_LEVEL = 2  # of zlib; 6 KB for each direction of a connection
_COMPRESSION_LEVEL = 1  # the fastest level of zlib
# Ends each flushed block; the sender strips it and the receiver appends it, as
# in RFC 7692.
_FLUSH_TAIL = b'\x00\x00\xff\xff'


class Frames(Protocol):
    """The framing of one connection."""

    def encode(self, message: Message) -> bytes:
        """Return the frame of a message."""

    def decode_next(self, received: bytearray) -> Message | None:
        """Remove and decode the first complete frame of the received bytes.

        Args:
            received: The received bytes; those of the frame are removed.

        Returns:
            The message, or None if the frame is incomplete.

        Raises:
            MessageError: The frame is too long or holds no valid message.
        """


class PlainFrames:
    """Frames of a length and the encoded message."""

    def encode(self, message: Message) -> bytes:
        """Return the frame of a message."""
        payload = encode(message)
        return _LENGTH_PREFIX.pack(len(payload)) + payload

    def decode_next(self, received: bytearray) -> Message | None:
        """Remove and decode the first complete frame of the received bytes."""
        if len(received) < _LENGTH_PREFIX.size:
            return None
        length = int(_LENGTH_PREFIX.unpack_from(received)[0])
        end = _LENGTH_PREFIX.size + _validate_length(length)
        if len(received) < end:
            return None
        payload = bytes(received[_LENGTH_PREFIX.size : end])
        del received[:end]
        return decode(payload)


class CompressedFrames:
    """Frames of two lengths, the compressed head, and the uncompressed body.

    The head is the message without its body. Heads repeat most of the
    previous ones; bodies are not compressed, since they would displace the
    heads from the window.
    """

    def __init__(self) -> None:
        """Create the compression state of a new connection."""
        self._compressor = zlib.compressobj(
            _COMPRESSION_LEVEL,
            zlib.DEFLATED,
            -_WINDOW_BITS,
            _MEMORY_LEVEL,
        )
        self._decompressor = zlib.decompressobj(-_WINDOW_BITS)

    def encode(self, message: Message) -> bytes:
        """Return the frame of a message."""
        body = b''
        if isinstance(message, Call | Answer):
            body = message.body
            message = replace(message, body=b'')
        head = self._compressor.compress(encode(message))
        head += self._compressor.flush(zlib.Z_SYNC_FLUSH)
        head = head.removesuffix(_FLUSH_TAIL)
        return b''.join(
            (_LENGTHS_PREFIX.pack(len(head), len(body)), head, body)
        )

    def decode_next(self, received: bytearray) -> Message | None:
        """Remove and decode the first complete frame of the received bytes."""
        if len(received) < _LENGTHS_PREFIX.size:
            return None
        head_length, body_length = _LENGTHS_PREFIX.unpack_from(received)
        head_end = _LENGTHS_PREFIX.size + _validate_length(int(head_length))
        end = head_end + _validate_length(int(body_length))
        if len(received) < end:
            return None
        head = self._decompress(received[_LENGTHS_PREFIX.size : head_end])
        body = bytes(received[head_end:end])
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
            raise MessageError(f'malformed compressed head: {error}') from error
        if self._decompressor.unconsumed_tail:
            raise MessageError(f'decompressed head exceeds {_MAX_FRAME} bytes')
        return payload


def _validate_length(length: int) -> int:
    if length > _MAX_FRAME:
        raise MessageError(f'frame of {length} bytes is too long')
    return length
