"""Client interface to the key-value store of the platform."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Protocol
from urllib.parse import quote

from result import Err, Ok, Result

from bluebellsill.decoding import parse_whole_number
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.http_exchange import HttpFailure
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

__all__ = ('HttpStore', 'Store', 'StoreFailure', 'VersionedRecord')

_CALL_TIMEOUT = 2.0  # seconds
_WATCH_TIMEOUT_MARGIN = 3.0  # seconds beyond the requested wait
_VERSION_HEADER = 'version'


@dataclass(frozen=True, slots=True)
class VersionedRecord:
    """A stored record and its version; 0 if the record does not exist."""

    payload: bytes
    version: int


@dataclass(frozen=True, slots=True)
class StoreFailure:
    """Describes a failed store request.

    Attributes:
        reason: A human-readable description of the failure.
        is_conflict: Whether the record did not have the expected version.
        is_outcome_unknown: Whether a write may have taken effect.
    """

    reason: str
    is_conflict: bool = False
    is_outcome_unknown: bool = False


class Store(Protocol):
    """A versioned key-value store with compare-and-swap writes."""

    def get(
        self,
        key: str,
        on_done: Callable[[Result[VersionedRecord, StoreFailure]], None],
    ) -> None:
        """Read a record."""

    def put(
        self,
        key: str,
        payload: bytes,
        version: int,
        on_done: Callable[[Result[int, StoreFailure]], None],
    ) -> None:
        """Write a record if its current version is ``version``."""

    def watch(
        self,
        key: str,
        version: int,
        wait: float,
        on_done: Callable[[Result[VersionedRecord, StoreFailure]], None],
    ) -> None:
        """Read a record once its version differs or ``wait`` seconds pass."""


class HttpStore:
    """A store client that uses the HTTP interface of the platform."""

    def __init__(self, reactor: Reactor, address: Address) -> None:
        """Create a client without opening a connection."""
        self._pool = HttpPool(reactor, address)

    def get(
        self,
        key: str,
        on_done: Callable[[Result[VersionedRecord, StoreFailure]], None],
    ) -> None:
        """Read a record."""
        request = Request('GET', f'/kv/{quote(key)}')
        self._send(
            request,
            _CALL_TIMEOUT,
            lambda outcome: on_done(_parse_read(outcome)),
        )

    def put(
        self,
        key: str,
        payload: bytes,
        version: int,
        on_done: Callable[[Result[int, StoreFailure]], None],
    ) -> None:
        """Write a record if its current version is ``version``."""
        request = Request(
            'PUT',
            f'/kv/{quote(key)}?version={version}',
            body=payload,
        )
        self._send(
            request,
            _CALL_TIMEOUT,
            lambda outcome: on_done(_parse_write(outcome)),
        )

    def watch(
        self,
        key: str,
        version: int,
        wait: float,
        on_done: Callable[[Result[VersionedRecord, StoreFailure]], None],
    ) -> None:
        """Read a record once its version differs or ``wait`` seconds pass."""
        wait_ms = int(wait * 1000)
        path = f'/kv/{quote(key)}?after={version}&wait_ms={wait_ms}'
        timeout = wait + _WATCH_TIMEOUT_MARGIN
        request = Request('GET', path)
        self._send(
            request, timeout, lambda outcome: on_done(_parse_read(outcome))
        )

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _send(
        self,
        request: Request,
        timeout: float,
        on_done: Callable[[Result[Response, HttpFailure]], None],
    ) -> None:
        request.headers.append(('host', str(self._pool.address)))

        def on_response(outcome: Result[Response, HttpFailure]) -> None:
            if isinstance(outcome, Ok) and _is_of_another_call(
                outcome.ok_value
            ):
                self._pool.discard_idle()
            on_done(outcome)

        self._pool.request(request, timeout, on_response)


def _is_of_another_call(response: Response) -> bool:
    """Return whether a record lacks its version, as no record of a store does.

    What follows on such a connection may belong to other calls, too.
    """
    is_record = response.status == HTTPStatus.OK
    return is_record and _parse_record(response).is_err()


def _parse_read(
    outcome: Result[Response, HttpFailure],
) -> Result[VersionedRecord, StoreFailure]:
    if isinstance(outcome, Err):
        return Err(StoreFailure(outcome.err_value.reason))
    response = outcome.ok_value
    if response.status == HTTPStatus.NOT_FOUND:
        return Ok(VersionedRecord(b'', 0))
    if response.status != HTTPStatus.OK:
        return Err(StoreFailure(f'store returned status {response.status}'))
    return _parse_record(response)


def _parse_write(
    outcome: Result[Response, HttpFailure],
) -> Result[int, StoreFailure]:
    if isinstance(outcome, Err):
        failure = outcome.err_value
        return Err(
            StoreFailure(failure.reason, is_outcome_unknown=failure.is_sent)
        )
    response = outcome.ok_value
    if response.status == HTTPStatus.CONFLICT:
        return Err(StoreFailure('version conflict', is_conflict=True))
    if response.status != HTTPStatus.OK:
        reason = f'store returned status {response.status}'
        return Err(StoreFailure(reason, is_outcome_unknown=True))
    record_result = _parse_record(response)
    return record_result.map(lambda record: record.version)


def _parse_record(response: Response) -> Result[VersionedRecord, StoreFailure]:
    text = response.header(_VERSION_HEADER)
    version = parse_whole_number(text)
    if version is None:
        return Err(StoreFailure(f'store returned invalid version {text!r}'))
    return Ok(VersionedRecord(response.body, version))
