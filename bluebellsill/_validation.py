"""Validates a mapping against a struct type and reports all faults at once."""

from __future__ import annotations

from functools import cache
from typing import (
    TYPE_CHECKING,
    Annotated,
    Any,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec
from msgspec.structs import fields
from result import Err, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Mapping

StructType = TypeVar('StructType', bound=msgspec.Struct)


class Fault(msgspec.Struct, frozen=True):
    """One invalid value: its key, the value as text and the reason."""

    key: str
    found: str
    reason: str

    def __str__(self) -> str:
        """Return the fault as one line of text."""
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
        prefix: A prefix of each key in the faults.

    Returns:
        The struct, or every fault.
    """
    faults = _unknown_keys(struct_type, mapping, prefix)
    if not faults:
        # Most mappings are valid, and converting the whole mapping at once is
        # faster than checking each field.
        try:
            return Ok(msgspec.convert(mapping, struct_type))
        except msgspec.ValidationError:
            faults = []
    for field in fields(struct_type):
        key = f'{prefix}{field.encode_name}'
        found = mapping.get(field.encode_name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            hint = _hints(struct_type)[field.name]
            faults += _find_faults(hint, found, key)
        elif field.required:
            faults.append(Fault(key, 'nothing', 'is required'))
    return Err(faults)


@cache
def _hints(struct_type: type[msgspec.Struct]) -> dict[str, Any]:
    return get_type_hints(struct_type, include_extras=True)


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


def _find_faults(hint: Any, found: object, key: str) -> list[Fault]:
    is_struct = isinstance(hint, type) and issubclass(hint, msgspec.Struct)
    if is_struct and isinstance(found, dict):
        return validate(hint, found, f'{key}.').err() or []
    item_type = _item_type(hint)
    if item_type is not None and isinstance(found, list):
        faults = [
            fault
            for index, item in enumerate(found)
            for fault in _find_faults(item_type, item, f'{key}[{index}]')
        ]
        if faults:
            return faults
    try:
        msgspec.convert(found, hint)
    except msgspec.ValidationError as error:
        return [Fault(key, repr(found), str(error))]
    return []


def _item_type(hint: Any) -> type[msgspec.Struct] | None:
    """Return the struct type of a collection's items, if it has one."""
    if get_origin(hint) is Annotated:
        hint = get_args(hint)[0]
    for item_type in get_args(hint):
        if isinstance(item_type, type) and issubclass(
            item_type,
            msgspec.Struct,
        ):
            return item_type
    return None
