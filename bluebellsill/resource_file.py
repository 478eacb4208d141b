"""Reads declared resources from a TOML file."""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any, NamedTuple

from result import Err

from bluebellsill._validation import Fault
from bluebellsill.resources import Kind, parse_spec

__all__ = ('DeclaredResource', 'UsageError', 'parse_kind', 'read_resources')

KIND_NAMES = ', '.join(kind.value for kind in Kind)


class DeclaredResource(NamedTuple):
    """A resource that a file declares, before validation."""

    kind: Kind
    name: str
    spec: dict[str, Any]


class UsageError(Exception):
    """The command line or a resource file is not valid."""


def parse_kind(text: str) -> Kind:
    """Parse a resource kind from the command line or a file.

    Raises:
        UsageError: There is no such kind.
    """
    try:
        return Kind(text)
    except ValueError:
        raise UsageError(f'{text!r} is not one of {KIND_NAMES}') from None


def read_resources(file: str) -> list[DeclaredResource]:
    """Read and validate all resources of a TOML file.

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
        DeclaredResource(parse_kind(kind), name, spec)
        for kind, by_name in document.items()
        for name, spec in _require_table(by_name, kind).items()
    ]
    faults = [fault for item in resources for fault in _find_faults(item)]
    if faults:
        raise UsageError('\n'.join(f'{file}: {fault}' for fault in faults))
    return resources


def _require_table(value: object, key: str) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise UsageError(f'{key} = {value!r} is not a table')
    return value


def _find_faults(declared: DeclaredResource) -> list[Fault]:
    spec = _require_table(declared.spec, declared.name)
    parsed = parse_spec(declared.kind, declared.name, spec)
    if not isinstance(parsed, Err):
        return []
    prefix = f'{declared.kind.value}.{declared.name}'
    return [
        Fault(f'{prefix}.{fault.key}', fault.found, fault.reason)
        for fault in parsed.err_value
    ]
