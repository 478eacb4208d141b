"""The platform's metadata store, by its HTTP interface."""

from __future__ import annotations

from base64 import b64encode
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import urlencode

from msgspec import UNSET, DecodeError, Struct, UnsetType, field, json
from result import Err, Ok, Result

from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.http_client import HttpFailure
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

__all__ = (
    'Item',
    'ItemEvent',
    'ItemPage',
    'ItemWatch',
    'KEEP_PREFIX',
    'LEASE_PATH',
    'RANGE_PATH',
    'TXN_PATH',
    'Txn',
    'WATCH_PATH',
    'KvFailure',
    'KvStore',
    'KvWrite',
)

_CALL_TIMEOUT = 1.5  # seconds; the store answers in 4 ms, 50 times that slow
_WATCH_MARGIN = 1.0  # seconds beyond a watch's own wait
_MILLISECONDS = 1000  # in a second
_SHOWN = 64  # bytes of an answer that cannot be read

RANGE_PATH = '/kv-range'
WATCH_PATH = '/kv-watch'
TXN_PATH = '/kv-txn'
LEASE_PATH = '/kv-lease'
KEEP_PREFIX = '/kv-keep/'

AnswerType = TypeVar('AnswerType')


class Item(Struct, frozen=True):
    """One key of the store.

    Attributes:
        key: The key.
        value: The bytes, in base64 on the wire.
        revision: The store's revision at the key's last change.
        lease: The lease that the key ends with, 0 for none.
    """

    key: str
    value: bytes
    revision: int
    lease: int = 0


class ItemEvent(Struct, frozen=True):
    """A change of one key: its new value, or that it was deleted."""

    key: str
    revision: int
    value: bytes | UnsetType = UNSET
    deleted: bool = False


class ItemPage(Struct, frozen=True):
    """Items of a prefix; `current_rev` is the revision of the whole store."""

    items: list[Item]
    current_rev: int
    more_pages: bool = False


class ItemWatch(Struct, frozen=True):
    """The events of a prefix; a watch goes on from `current_rev`."""

    events: list[ItemEvent]
    current_rev: int


class ExpectedRow(Struct, frozen=True):
    """A key must be at a revision; 0 means that it must not exist."""

    key: str
    revision: int


class WrittenRow(Struct, frozen=True):
    """A key and its new value, in base64."""

    key: str
    value: str
    lease: int = 0


class Txn(Struct, frozen=True):
    """A change of keys under a condition.

    Attributes:
        conditions: What must hold, a row for each key.
        writes: The new values.
        removals: The keys to delete.
    """

    conditions: list[ExpectedRow] = field(name='expected_revision')
    writes: list[WrittenRow]
    removals: list[str] = field(name='remove', default_factory=list)


class _Lease(Struct, frozen=True):
    lease: int
    ttl_ms: int


class _Kept(Struct, frozen=True):
    ttl_ms: int


class _Written(Struct, frozen=True):
    revision: int


@dataclass(frozen=True, slots=True)
class KvWrite:
    """Write a key if it is at a revision; 0 means that it must not exist."""

    key: str
    payload: bytes
    expected_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class KvFailure:
    """Why a call of the store did not succeed.

    Attributes:
        reason: What happened, for a person.
        status: The HTTP status, 0 without an answer.
        may_have_run: Whether a write may still take effect.
    """

    reason: str
    status: int = 0
    may_have_run: bool = False


class KvStore:
    """A client of the store; every call ends in a bounded time."""

    def __init__(self, reactor: Reactor, address: Address) -> None:
        """Create a client; nothing is sent yet."""
        self.calls = 0
        self._pool = HttpPool(reactor, address)
        self._host = str(address)

    def range(
        self,
        prefix: str,
        after: str,
        on_done: Callable[[Result[ItemPage, KvFailure]], None],
        *,
        may_be_old: bool = False,
    ) -> None:
        """Read a page of the items whose keys begin with a prefix.

        Args:
            prefix: The beginning of the keys.
            after: The key before the page, empty for the first one.
            on_done: Called once.
            may_be_old: Whether an answer that is seconds old will do.
        """
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        if may_be_old:
            query['serializable'] = '1'
        self._call('GET', f'{RANGE_PATH}?{urlencode(query)}', ItemPage, on_done)

    def watch(
        self,
        prefix: str,
        revision: int,
        wait: float,
        on_done: Callable[[Result[ItemWatch, KvFailure]], None],
    ) -> None:
        """Wait for the events after a revision, for some seconds at most."""
        query = {
            'prefix': prefix,
            # The revision after which events count, not a key.
            'after': str(revision),
            'wait_ms': str(int(wait * _MILLISECONDS)),
        }
        self._call(
            'GET',
            f'{WATCH_PATH}?{urlencode(query)}',
            ItemWatch,
            on_done,
            timeout=wait + _WATCH_MARGIN,
        )

    def write(
        self,
        write: KvWrite,
        on_done: Callable[[Result[int, KvFailure]], None],
    ) -> None:
        """Write one key under a condition; the answer is its revision."""
        payload = b64encode(write.payload).decode()
        txn = Txn(
            [ExpectedRow(write.key, write.expected_revision)],
            [WrittenRow(write.key, payload, write.lease)],
        )
        self._call(
            'POST',
            TXN_PATH,
            _Written,
            lambda done: on_done(done.map(lambda written: written.revision)),
            txn,
        )

    def grant(
        self,
        lifetime: float,
        on_done: Callable[[Result[int, KvFailure]], None],
    ) -> None:
        """Take out a lease for some seconds; the answer is its number."""
        self._call(
            'POST',
            LEASE_PATH,
            _Lease,
            lambda done: on_done(done.map(lambda granted: granted.lease)),
            {'ttl_ms': int(lifetime * _MILLISECONDS)},
        )

    def keep(
        self,
        lease: int,
        on_done: Callable[[Result[None, KvFailure]], None],
    ) -> None:
        """Renew a lease; status 404 tells that it has ended."""
        self._call(
            'POST',
            f'{KEEP_PREFIX}{lease}',
            _Kept,
            lambda done: on_done(done.map(lambda _: None)),
        )

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()

    def _call(
        self,
        method: str,
        path: str,
        answer_type: type[AnswerType],
        on_done: Callable[[Result[AnswerType, KvFailure]], None],
        document: Any = None,
        timeout: float = _CALL_TIMEOUT,
    ) -> None:
        self.calls += 1
        headers = [('host', self._host)]
        body = b''
        if document is not None:
            headers.append(('content-type', 'application/json'))
            body = json.encode(document)
        self._pool.request(
            Request(method, path, headers, body),
            timeout,
            lambda done: on_done(_decode(done, answer_type)),
        )


def _decode(
    done: Result[Response, HttpFailure],
    answer_type: type[AnswerType],
) -> Result[AnswerType, KvFailure]:
    if isinstance(done, Err):
        failure = done.err_value
        return Err(KvFailure(failure.reason, may_have_run=failure.is_sent))
    response = done.ok_value
    if response.status != HTTPStatus.OK:
        reason = f'store answered {response.status}'
        return Err(KvFailure(reason, response.status))
    try:
        return Ok(json.decode(response.body, type=answer_type))
    except DecodeError as error:
        reason = f'store sent {response.body[:_SHOWN]!r}: {error}'
        return Err(KvFailure(reason, response.status, may_have_run=True))
