"""Routing documents with teams, for tests."""

from __future__ import annotations

import json
from typing import Any

from bluebellsill.operator_feed import FeedSnapshot
from bluebellsill.operator_state import OperatorState
from bluebellsill.replica_version import StorePosition
from tests.path_rules import path_rule

__all__ = ('HOST', 'declare', 'team_document', 'tenant')

HOST = 'a.example'


def tenant(name: str, *keys: str, **fields: Any) -> dict[str, Any]:
    """Return a team with its keys."""
    return {'name': name, 'api_keys': list(keys), **fields}


def team_document(
    number: int, *tenants: dict[str, Any], **fields: Any
) -> bytes:
    """Return a document with the private route /shop/ and the public /open/."""
    rules = [path_rule('/shop/'), path_rule('/open/', public=True)]
    document = {
        'version': f'r{number}',
        'virtual_hosts': [{'hostname': HOST, 'path_rules': rules}],
        'tenants': tenants,
        **fields,
    }
    return json.dumps(document).encode()


def declare(state: OperatorState, number: int, document: bytes) -> None:
    """Put a document in force, unless it is rejected."""
    position = StorePosition(1, number)
    state.apply_snapshot(FeedSnapshot(position, document, frozenset()), 'store')
