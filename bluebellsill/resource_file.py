"""Reads the resources that a file declares."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from result import Err

from bluebellsill._validation import Fault
from bluebellsill.resources import Kind, parse_spec

__all__ = ('Declared', 'UsageError', 'parse_kind', 'read_resources')

KIND_NAMES = ', '.join(kind.value for kind in Kind)


class Declared(NamedTuple):
    """A resource as a file declares it."""

    kind: Kind
    name: str
    spec: dict[str, Any]


class UsageError(Exception):
    """The command line or a file is not valid."""


def parse_kind(text: str) -> Kind:
    """Return the kind that a person names.

    Raises:
        UsageError: There is no such kind.
    """
    try:
        return Kind(text)
    except ValueError:
        raise UsageError(f'{text!r} is none of {KIND_NAMES}') from None


def read_resources(file: str) -> list[Declared]:
    """Return all resources of a TOML file.

    Raises:
        UsageError: The file or a resource in it is not valid.
    """
    if not file:
        raise UsageError('--file is required')
    try:
        document = tomllib.loads(Path(file).read_text(encoding='utf-8'))
    except (OSError, tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise UsageError(f'{file}: {error}') from error
    resources = [
        Declared(parse_kind(kind), name, spec)
        for kind, by_name in document.items()
        for name, spec in _table(by_name, kind).items()
    ]
    faults = [fault for one in resources for fault in _faults(one)]
    if faults:
        raise UsageError('\n'.join(f'{file}: {fault}' for fault in faults))
    return resources


def _table(found: object, key: str) -> dict[str, Any]:
    if not isinstance(found, dict):
        raise UsageError(f'{key} = {found!r} is not a table')
    return found


def _faults(declared: Declared) -> list[Fault]:
    spec = _table(declared.spec, declared.name)
    parsed = parse_spec(declared.kind, declared.name, spec)
    if not isinstance(parsed, Err):
        return []
    prefix = f'{declared.kind.value}.{declared.name}'
    return [
        Fault(f'{prefix}.{fault.key}', fault.found, fault.reason)
        for fault in parsed.err_value
    ]
