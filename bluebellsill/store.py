"""The platform's key-value store, as the system uses it."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol
from urllib.parse import quote

from result import Err, Ok, Result

from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.http_client import HttpFailure
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

__all__ = ('HttpStore', 'Store', 'StoreFailure', 'Versioned')

_CALL_TIMEOUT = 2.0  # seconds
_WATCH_MARGIN = 3.0  # seconds
_VERSION_HEADER = 'version'


@dataclass(frozen=True, slots=True)
class Versioned:
    """A record and its version; version 0 means that there is none."""

    payload: bytes
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Why a call of the store did not succeed.

    Attributes:
        reason: What happened, for a person.
        is_conflict: Whether the record had another version.
        is_unknown: Whether a write may have taken effect.
    """

    reason: str
    is_conflict: bool = False
    is_unknown: bool = False


class Store(Protocol):
    """What the system needs of the platform's store."""

    def get(
        self,
        key: str,
        on_done: Callable[[Result[Versioned, StoreFailure]], None],
    ) -> None:
        """Read a record."""

    def put(
        self,
        key: str,
        payload: bytes,
        version: int,
        on_done: Callable[[Result[int, StoreFailure]], None],
    ) -> None:
        """Write a record if it still has a version."""

    def watch(
        self,
        key: str,
        version: int,
        wait: float,
        on_done: Callable[[Result[Versioned, StoreFailure]], None],
    ) -> None:
        """Read a record as soon as its version is another one."""


class HttpStore:
    """The store behind the platform's HTTP interface."""

    def __init__(self, reactor: Reactor, address: Address) -> None:
        """Create a client; nothing is sent yet."""
        self._pool = HttpPool(reactor, address)

    def get(
        self,
        key: str,
        on_done: Callable[[Result[Versioned, StoreFailure]], None],
    ) -> None:
        """Read a record."""
        request = Request('GET', f'/kv/{quote(key)}')
        self._send(request, _CALL_TIMEOUT, lambda done: on_done(_read(done)))

    def put(
        self,
        key: str,
        payload: bytes,
        version: int,
        on_done: Callable[[Result[int, StoreFailure]], None],
    ) -> None:
        """Write a record if it still has a version."""
        request = Request(
            'PUT',
            f'/kv/{quote(key)}?version={version}',
            body=payload,
        )
        self._send(request, _CALL_TIMEOUT, lambda done: on_done(_wrote(done)))

    def watch(
        self,
        key: str,
        version: int,
        wait: float,
        on_done: Callable[[Result[Versioned, StoreFailure]], None],
    ) -> None:
        """Read a record as soon as its version is another one."""
        wait_ms = int(wait * 1000)
        path = f'/kv/{quote(key)}?after={version}&wait_ms={wait_ms}'
        timeout = wait + _WATCH_MARGIN
        request = Request('GET', path)
        self._send(request, timeout, lambda done: on_done(_read(done)))

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    def _send(
        self,
        request: Request,
        timeout: float,
        on_done: Callable[[Result[Response, HttpFailure]], None],
    ) -> None:
        request.headers.append(('host', str(self._pool.address)))
        self._pool.request(request, timeout, on_done)


def _read(
    done: Result[Response, HttpFailure],
) -> Result[Versioned, StoreFailure]:
    if isinstance(done, Err):
        return Err(StoreFailure(done.err_value.reason))
    response = done.ok_value
    if response.status == HTTPStatus.NOT_FOUND:
        return Ok(Versioned(b'', 0))
    if response.status != HTTPStatus.OK:
        return Err(StoreFailure(f'store answered {response.status}'))
    return _versioned(response)


def _wrote(done: Result[Response, HttpFailure]) -> Result[int, StoreFailure]:
    if isinstance(done, Err):
        failure = done.err_value
        return Err(StoreFailure(failure.reason, is_unknown=failure.is_sent))
    response = done.ok_value
    if response.status == HTTPStatus.CONFLICT:
        return Err(StoreFailure('version conflict', is_conflict=True))
    if response.status != HTTPStatus.OK:
        reason = f'store answered {response.status}'
        return Err(StoreFailure(reason, is_unknown=True))
    versioned = _versioned(response)
    return versioned.map(lambda record: record.version)


def _versioned(response: Response) -> Result[Versioned, StoreFailure]:
    text = response.header(_VERSION_HEADER)
    if not text.isdecimal():
        return Err(StoreFailure(f'store sent version {text!r}'))
    return Ok(Versioned(response.body, int(text)))
