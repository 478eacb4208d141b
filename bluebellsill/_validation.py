"""Checks a mapping against a struct type and finds all faults at once."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar, get_type_hints

import msgspec
from msgspec.structs import fields
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Mapping

StructType = TypeVar('StructType', bound=msgspec.Struct)


class Fault(msgspec.Struct, frozen=True):
    """One wrong value: where it stands, what it is, and why it is wrong."""

    key: str
    found: str
    reason: str

    def __str__(self) -> str:
        """Return the fault in one line."""
        return f'{self.key} = {self.found}: {self.reason}'


def validate(
    struct_type: type[StructType],
    mapping: Mapping[str, Any],
    prefix: str = '',
) -> Result[StructType, list[Fault]]:
    """Convert a mapping to a struct.

    Args:
        struct_type: The struct to build; its fields may be structs too.
        mapping: The values by field name.
        prefix: Put before each key in the faults.

    Returns:
        The struct, or every fault.
    """
    faults = _unknown_keys(struct_type, mapping, prefix)
    hints = get_type_hints(struct_type, include_extras=True)
    arguments: dict[str, Any] = {}
    for field in fields(struct_type):
        key = f'{prefix}{field.encode_name}'
        is_missing = field.encode_name not in mapping
        if is_missing and field.required:
            faults.append(Fault(key, 'nothing', 'is required'))
        if is_missing:
            continue
        checked = _convert(hints[field.name], mapping[field.encode_name], key)
        faults.extend(checked.err() or ())
        arguments[field.name] = checked.ok()
    return Err(faults) if faults else _build(struct_type, arguments, prefix)


def _build(
    struct_type: type[StructType],
    arguments: dict[str, Any],
    prefix: str,
) -> Result[StructType, list[Fault]]:
    try:
        return Ok(struct_type(**arguments))
    except ValueError as error:
        return Err([Fault(prefix.rstrip('.') or 'all', '…', str(error))])


def _unknown_keys(
    struct_type: type[msgspec.Struct],
    mapping: Mapping[str, Any],
    prefix: str,
) -> list[Fault]:
    known = {field.encode_name for field in fields(struct_type)}
    return [
        Fault(f'{prefix}{key}', repr(mapping[key]), 'is not a known key')
        for key in mapping
        if key not in known
    ]


def _convert(hint: Any, found: object, key: str) -> Result[Any, list[Fault]]:
    is_struct = isinstance(hint, type) and issubclass(hint, msgspec.Struct)
    if is_struct and isinstance(found, dict):
        return validate(hint, found, f'{key}.')
    try:
        return Ok(msgspec.convert(found, hint))
    except msgspec.ValidationError as error:
        return Err([Fault(key, repr(found), str(error))])
