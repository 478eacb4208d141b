"""A blocking client of the operators' resource API."""

from __future__ import annotations

from http import HTTPStatus
from http.client import HTTPConnection, HTTPException
from time import monotonic, sleep
from typing import TYPE_CHECKING, Any
from urllib.parse import quote

from msgspec import DecodeError, json

from bluebellsill.streams import Address

if TYPE_CHECKING:
    from collections.abc import Iterator

__all__ = ('ApiError', 'OperatorClient')

_REQUEST_TIMEOUT = 12.0  # seconds
_MAX_QUOTED_BYTES = 200  # bytes of an unexpected response in an error message
_POLL_INTERVAL = 0.1  # seconds between two requests for the status


class ApiError(Exception):
    """The API refused a request or could not be reached.

    Attributes:
        kind: The error kind that the API returned, or a kind of the client:
            ``unreachable``, ``rolling_out`` or ``internal``.
    """

    def __init__(self, kind: str, message: str) -> None:
        """Create an error of a kind."""
        super().__init__(f'{kind}: {message}')
        self.kind = kind


class OperatorClient:
    """Sends requests to the operators' listener of one node."""

    def __init__(self, address: str, token: str) -> None:
        """Create a client without opening a connection.

        Raises:
            ValueError: The address is malformed.
        """
        self._address = Address.parse(address)
        self._token = token

    def get(self, path: str) -> dict[str, Any]:
        """Return the document at a path below ``/v1/``.

        Raises:
            ApiError: The API refused or could not be reached.
        """
        return self._request('GET', path)

    def put(
        self,
        kind: str,
        name: str,
        spec: dict[str, Any],
        revision: int | None = None,
    ) -> dict[str, Any]:
        """Declare a resource.

        Args:
            kind: The kind of resource, as in the API's paths.
            name: The resource's name.
            spec: The declared fields.
            revision: The resource's expected revision, 0 if it must not
                exist yet, None for any.

        Returns:
            The accepted change.

        Raises:
            ApiError: The API refused or could not be reached.
        """
        path = f'{kind}/{quote(name)}'
        return self._request('PUT', path, json.encode(spec), revision)

    def delete(
        self,
        kind: str,
        name: str,
        revision: int | None = None,
    ) -> dict[str, Any]:
        """Delete a resource.

        Raises:
            ApiError: The API refused or could not be reached.
        """
        path = f'{kind}/{quote(name)}'
        return self._request('DELETE', path, b'', revision)

    def wait(self, revision: int, seconds: float) -> dict[str, Any]:
        """Wait until a revision is in force everywhere.

        Args:
            revision: The revision.
            seconds: The maximum time to wait.

        Returns:
            The last status.

        Raises:
            ApiError: Some node does not have the revision in force in time,
                or the API refused or could not be reached.
        """
        deadline = monotonic() + seconds
        while True:
            status = self.get(f'status?revision={revision}')
            if status['condition'] == 'in_force':
                return status
            if monotonic() >= deadline:
                lagging = ', '.join(status['lagging']) or 'unknown nodes'
                message = f'revision {revision} is not in force at {lagging}'
                raise ApiError('rolling_out', message)
            sleep(_POLL_INTERVAL)

    def watch(self, kind: str, revision: int) -> Iterator[dict[str, Any]]:
        """Yield the changes of a kind after a revision as they are accepted.

        Raises:
            ApiError: The API refused or could not be reached.
        """
        connection = HTTPConnection(*self._address)
        path = f'/v1/{kind}?watch={revision}'
        try:
            connection.request('GET', path, headers=self._headers(None))
            response = connection.getresponse()
            if response.status != HTTPStatus.OK:
                _raise_api_error(response.read())
            for line in response:
                yield json.decode(line)
        except (OSError, HTTPException) as error:
            raise ApiError('unreachable', str(error)) from error
        finally:
            connection.close()

    def _headers(self, revision: int | None) -> dict[str, str]:
        headers = {'authorization': f'Bearer {self._token}'}
        if revision is not None:
            headers['if-match'] = f'"{revision}"'
        return headers

    def _request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        revision: int | None = None,
    ) -> dict[str, Any]:
        connection = HTTPConnection(*self._address, timeout=_REQUEST_TIMEOUT)
        headers = self._headers(revision)
        try:
            connection.request(method, f'/v1/{path}', body, headers)
            response = connection.getresponse()
            payload = response.read()
        except (OSError, HTTPException) as error:
            raise ApiError('unreachable', str(error)) from error
        finally:
            connection.close()
        if response.status != HTTPStatus.OK:
            _raise_api_error(payload)
        document: dict[str, Any] = json.decode(payload)
        return document


def _raise_api_error(payload: bytes) -> None:
    try:
        document = json.decode(payload, type=dict[str, Any])
        raise ApiError(document['error'], document['message'])
    except (DecodeError, KeyError):
        message = f'unexpected response {payload[:_MAX_QUOTED_BYTES]!r}'
        raise ApiError('internal', message) from None
