"""A client of the resource API."""

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

_TIMEOUT = 12.0  # seconds
_MAX_QUOTED = 200  # bytes
_WAIT_PERIOD = 0.1  # seconds


class ApiError(Exception):
    """The API refused a request or could not be reached.

    Attributes:
        kind: The error kind, or ``unreachable``.
    """

    def __init__(self, kind: str, message: str) -> None:
        """Create an error of a kind."""
        super().__init__(f'{kind}: {message}')
        self.kind = kind


class OperatorClient:
    """Talks to the operators' listener of any node."""

    def __init__(self, address: str, token: str) -> None:
        """Create a client; nothing is sent yet.

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
            kind: The kind as it stands in paths.
            name: The resource's name.
            spec: What is declared.
            revision: The expected revision, 0 to create, None for any.

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
            seconds: How long to wait at most.

        Returns:
            The last status.

        Raises:
            ApiError: The time is over and some node lags.
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
            sleep(_WAIT_PERIOD)

    def watch(self, kind: str, revision: int) -> Iterator[dict[str, Any]]:
        """Yield the changes of a kind after a revision, as they come.

        Raises:
            ApiError: The API refused or could not be reached.
        """
        connection = HTTPConnection(*self._address)
        path = f'/v1/{kind}?watch={revision}'
        try:
            connection.request('GET', path, headers=self._headers(None))
            response = connection.getresponse()
            if response.status != HTTPStatus.OK:
                _raise(response.read())
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
        connection = HTTPConnection(*self._address, timeout=_TIMEOUT)
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
            _raise(payload)
        document: dict[str, Any] = json.decode(payload)
        return document


def _raise(payload: bytes) -> None:
    try:
        document = json.decode(payload, type=dict[str, Any])
        raise ApiError(document['error'], document['message'])
    except (DecodeError, KeyError):
        message = f'unexpected answer {payload[:_MAX_QUOTED]!r}'
        raise ApiError('internal', message) from None
