"""A blocking client of a node's explanations."""

from __future__ import annotations

from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from typing import Any
from urllib.parse import urlencode

from msgspec import DecodeError, json

from bluebellsill.operator_client import ApiError
from bluebellsill.platform.endpoints import (
    EXPLAIN_PATH,
    HOST_FIELD,
    PATH_FIELD,
)
from bluebellsill.platform.headers import CREDENTIALS, SCHEME
from bluebellsill.streams import Address

__all__ = ('fetch_explanation',)

_TIMEOUT = 12.0  # seconds


def fetch_explanation(
    address: str, host: str, path: str, key: str
) -> dict[str, Any]:
    """Return what a node would do with a request now.

    Args:
        address: The address of the node's metrics.
        host: The host of the request.
        path: Its path, with the query if it has one.
        key: The key of a team, empty for none.

    Raises:
        ValueError: The address or the key is malformed; the message does not
            contain the key.
        ApiError: The node refused or could not be reached.
    """
    if not key.isprintable():
        raise ValueError('the key has characters that a header cannot have')
    headers = {CREDENTIALS: f'{SCHEME} {key}'.encode()} if key else {}
    query = urlencode({HOST_FIELD: host, PATH_FIELD: path})
    connection = HTTPConnection(*Address.parse(address), timeout=_TIMEOUT)
    try:
        connection.request('GET', f'{EXPLAIN_PATH}?{query}', headers=headers)
        response = connection.getresponse()
        payload = response.read()
    except (OSError, HTTPException) as error:
        raise ApiError('unreachable', str(error)) from error
    finally:
        connection.close()
    if response.status != HTTPStatus.OK:
        raise ApiError('refused', f'status {response.status} of the node')
    return _decode(payload)


def _decode(payload: bytes) -> dict[str, Any]:
    try:
        explanation: dict[str, Any] = json.decode(payload)
    except DecodeError:
        raise ApiError('internal', 'the response is not JSON') from None
    return explanation
