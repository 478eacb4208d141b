"""Decodes what other programs have written, without trusting it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, TypeVar

from msgspec import DecodeError, Meta, json
from result import Err, Ok, Result

if TYPE_CHECKING:
    from msgspec.msgpack import Decoder

__all__ = (
    'WireInteger',
    'decode_json',
    'decode_msgpack',
    'parse_whole_number',
)

DocumentType = TypeVar('DocumentType')

# A decoder reports a document that is nested too deeply by a RecursionError.
_FAULTS = (DecodeError, RecursionError)
_INTEGER_BITS = 63  # without the sign
_MAX_DIGITS = 18  # of a number that fits into 64 bits with any digits

_MAX_INTEGER = (1 << _INTEGER_BITS) - 1
# A number that messages between nodes can carry.
WireInteger = Annotated[int, Meta(ge=0, le=_MAX_INTEGER)]


def decode_json(
    payload: bytes, document_type: type[DocumentType]
) -> Result[DocumentType, str]:
    """Decode a JSON document; the error says what is wrong with it."""
    try:
        return Ok(json.decode(payload, type=document_type))
    except _FAULTS as error:
        return Err(str(error))


def decode_msgpack(
    payload: bytes, decoder: Decoder[DocumentType]
) -> Result[DocumentType, str]:
    """Decode a MessagePack document; the error says what is wrong with it."""
    try:
        return Ok(decoder.decode(payload))
    except _FAULTS as error:
        return Err(str(error))


def parse_whole_number(text: str) -> int | None:
    """Return a number of up to 18 ASCII digits, None for any other text."""
    if len(text) > _MAX_DIGITS or not (text.isascii() and text.isdecimal()):
        return None
    return int(text)
