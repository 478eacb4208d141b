"""Client of the HTTP API of the platform's metadata store."""

from __future__ import annotations

from base64 import b64encode
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar
from urllib.parse import urlencode

from msgspec import UNSET, Struct, UnsetType, field, json
from result import Err, Ok, Result

from bluebellsill.decoding import (
    WireInteger,
    decode_json,
    parse_whole_number,
)
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.logs import get_logger
from bluebellsill.platform.headers import STORE_EPOCH

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.http_exchange import Exchange, HttpFailure
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

__all__ = (
    'ExpectedRevision',
    'Item',
    'ItemEvent',
    'ItemPage',
    'ItemWatch',
    'KEEP_PREFIX',
    'KeyValue',
    'LEASE_PATH',
    'RANGE_PATH',
    'TXN_PATH',
    'Txn',
    'WATCH_PATH',
    'KvFailure',
    'KvStore',
    'KvWrite',
)

# Seconds. The store responds in 4 ms, and in 50 times that when it is slow.
_CALL_TIMEOUT = 1.5
# Shortest time in seconds that an answer may take beyond the wait of a watch.
_MIN_MARGIN = 0.5
_LATENCIES_PER_MARGIN = 2.5  # of the last call that was answered at once
_NO_LEASE = 0  # an id that the store never gives out
_MS_PER_SECOND = 1000
_MAX_SHOWN_BYTES = 64  # of an invalid response, in the error message

RANGE_PATH = '/kv-range'
WATCH_PATH = '/kv-watch'
TXN_PATH = '/kv-txn'
LEASE_PATH = '/kv-lease'
KEEP_PREFIX = '/kv-keep/'

AnswerType = TypeVar('AnswerType')


class Item(Struct, frozen=True):
    """A key and its value in the store.

    Attributes:
        key: The key.
        value: The value, encoded as base64 on the wire.
        revision: The store's revision at the key's last change.
        lease: The lease at whose end the key is deleted, 0 for none.
    """

    key: str
    value: bytes
    revision: WireInteger
    lease: int = 0


class ItemEvent(Struct, frozen=True):
    """A change of one key: a new value or its deletion."""

    key: str
    revision: WireInteger
    value: bytes | UnsetType = UNSET
    deleted: bool = False


class ItemPage(Struct, frozen=True):
    """Items of a prefix; ``current_rev`` is the revision of the store."""

    items: list[Item]
    current_rev: WireInteger
    more_pages: bool = False


class ItemWatch(Struct, frozen=True):
    """Events of a prefix; the next watch starts after ``current_rev``."""

    events: list[ItemEvent]
    current_rev: WireInteger


class ExpectedRevision(Struct, frozen=True):
    """The revision that a key must be at; 0 if it must not exist."""

    key: str
    revision: int


class KeyValue(Struct, frozen=True):
    """A key and its new value, encoded as base64."""

    key: str
    value: str
    lease: int = 0


class Txn(Struct, frozen=True):
    """A conditional transaction.

    Attributes:
        conditions: The expected revision of each key.
        writes: The keys to write, with their new values.
        removals: The keys to delete.
    """

    conditions: list[ExpectedRevision] = field(name='expected_revision')
    writes: list[KeyValue]
    removals: list[str] = field(name='remove', default_factory=list)


class _LeaseGrant(Struct, frozen=True):
    lease: int
    ttl_ms: int


class _LeaseRenewal(Struct, frozen=True):
    ttl_ms: int


class _WriteResult(Struct, frozen=True):
    revision: int


@dataclass(frozen=True, slots=True)
class KvWrite:
    """A conditional write of one key.

    An expected revision of 0 means that the key must not exist.
    """

    key: str
    payload: bytes
    expected_revision: int
    lease: int


@dataclass(frozen=True, slots=True)
class KvFailure:
    """Why a call of the store failed.

    Attributes:
        reason: A description for people.
        status: The HTTP status, 0 if there was no response.
        may_have_run: Whether a write may still take effect.
        is_unusable: Whether the store has answered, but with what cannot be
            read; it would answer the same call in the same way.
    """

    reason: str
    status: int = 0
    may_have_run: bool = False
    is_unusable: bool = False


class KvStore:
    """A client of the store; every call has a timeout.

    Attributes:
        calls: The number of calls made.
        epoch: How many times the store has been restored from a copy, as far
            as its responses have shown.
    """

    def __init__(self, reactor: Reactor, address: Address) -> None:
        """Create a client without connecting to the store."""
        self.calls = 0
        self.epoch = 0
        self._pool = HttpPool(reactor, address)
        self._host = str(address)
        self._clock = reactor.timers.clock
        self._latency: float = 0  # seconds that the last immediate call took
        self._log = get_logger('store')

    def range(
        self,
        prefix: str,
        after: str,
        on_done: Callable[[Result[ItemPage, KvFailure]], None],
        *,
        allow_stale: bool = False,
    ) -> None:
        """Read a page of the items whose keys start with a prefix.

        Args:
            prefix: The prefix of the keys.
            after: The last key of the previous page, empty for the first.
            on_done: Called once with the page or the failure.
            allow_stale: Whether the data may be some seconds old.
        """
        query = {'prefix': prefix}
        if after:
            query['after'] = after
        if allow_stale:
            query['serializable'] = '1'
        self._call('GET', f'{RANGE_PATH}?{urlencode(query)}', ItemPage, on_done)

    def watch(
        self,
        prefix: str,
        revision: int,
        wait: float,
        on_done: Callable[[Result[ItemWatch, KvFailure]], None],
    ) -> Exchange:
        """Wait up to ``wait`` seconds for the events after a revision.

        Returns:
            The exchange, which can be cancelled.
        """
        query = {
            'prefix': prefix,
            # A revision here, not a key as in a range request.
            'after': str(revision),
            'wait_ms': str(int(wait * _MS_PER_SECOND)),
        }
        path = f'{WATCH_PATH}?{urlencode(query)}'
        if not wait:
            return self._call('GET', path, ItemWatch, self._timed(on_done))
        timeout = wait + self._margin
        return self._call('GET', path, ItemWatch, on_done, timeout=timeout)

    def ping(self, on_done: Callable[[Result[None, KvFailure]], None]) -> None:
        """Check whether the store answers this node.

        The renewal of a lease that does not exist is the cheapest call that a
        copy which has lost contact with the store cannot answer.
        """

        def on_answered(done: Result[_LeaseRenewal, KvFailure]) -> None:
            failure = done.err()
            if failure is None or failure.status == HTTPStatus.NOT_FOUND:
                on_done(Ok(None))
            else:
                on_done(Err(failure))

        self._call(
            'POST',
            f'{KEEP_PREFIX}{_NO_LEASE}',
            _LeaseRenewal,
            self._timed(on_answered),
            timeout=self._margin,
        )

    def write(
        self,
        write: KvWrite,
        on_done: Callable[[Result[int, KvFailure]], None],
    ) -> None:
        """Write one key conditionally; the result is its new revision."""
        payload = b64encode(write.payload).decode()
        txn = Txn(
            [ExpectedRevision(write.key, write.expected_revision)],
            [KeyValue(write.key, payload, write.lease)],
        )
        self.transact(txn, on_done)

    def transact(
        self,
        txn: Txn,
        on_done: Callable[[Result[int, KvFailure]], None],
    ) -> None:
        """Write several keys at once; the result is the new revision."""
        self._call(
            'POST',
            TXN_PATH,
            _WriteResult,
            lambda done: on_done(done.map(lambda written: written.revision)),
            txn,
        )

    def grant_lease(
        self,
        lifetime: float,
        on_done: Callable[[Result[int, KvFailure]], None],
    ) -> None:
        """Request a lease for ``lifetime`` seconds; the result is its id."""
        self._call(
            'POST',
            LEASE_PATH,
            _LeaseGrant,
            lambda done: on_done(done.map(lambda granted: granted.lease)),
            {'ttl_ms': int(lifetime * _MS_PER_SECOND)},
        )

    def renew_lease(
        self,
        lease: int,
        on_done: Callable[[Result[None, KvFailure]], None],
    ) -> None:
        """Renew a lease; it fails with status 404 if the lease has ended."""
        self._call(
            'POST',
            f'{KEEP_PREFIX}{lease}',
            _LeaseRenewal,
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
    ) -> Exchange:
        self.calls += 1
        headers = [('host', self._host)]
        body = b''
        if document is not None:
            headers.append(('content-type', 'application/json'))
            body = json.encode(document)

        def on_response(done: Result[Response, HttpFailure]) -> None:
            answer = _decode(done, answer_type)
            if isinstance(done, Err):
                is_in_doubt = done.err_value.is_timeout
            else:
                # It may answer another call, and so may the next ones on its
                # connection: the answers of the store have no ids.
                failure = answer.err()
                is_in_doubt = failure is not None and failure.is_unusable
            if is_in_doubt:
                self._pool.discard_idle()
            if isinstance(done, Ok) and self._is_stale(done.ok_value):
                reason = f'late answer from before epoch {self.epoch}'
                answer = Err(KvFailure(reason, may_have_run=True))
            on_done(answer)

        request = Request(method, path, headers, body)
        return self._pool.request(
            request, timeout, on_response, stall_timeout=_CALL_TIMEOUT
        )

    @property
    def _margin(self) -> float:
        """Seconds that the store may take to answer."""
        expected = _LATENCIES_PER_MARGIN * self._latency
        return min(_CALL_TIMEOUT, max(_MIN_MARGIN, expected))

    def _timed(
        self, on_done: Callable[[Result[AnswerType, KvFailure]], None]
    ) -> Callable[[Result[AnswerType, KvFailure]], None]:
        """Note how long a call takes that the store answers at once."""
        sent_at = self._clock.now()

        def on_timed(done: Result[AnswerType, KvFailure]) -> None:
            self._latency = self._clock.now() - sent_at
            on_done(done)

        return on_timed

    def _is_stale(self, response: Response) -> bool:
        """Note the epoch of a response.

        Returns:
            Whether the store has been restored since it was sent.
        """
        text = response.header(STORE_EPOCH)
        if not text:
            return False
        epoch = parse_whole_number(text)
        if epoch is None:
            reason = f'{text[:_MAX_SHOWN_BYTES]!r} is not an epoch'
            self._log.warning('store epoch ignored', reason=reason)
            return False
        if epoch > self.epoch:
            self._log.info('store epoch changed', epoch=epoch, was=self.epoch)
            self.epoch = epoch
        return epoch < self.epoch


def _decode(
    done: Result[Response, HttpFailure],
    answer_type: type[AnswerType],
) -> Result[AnswerType, KvFailure]:
    if isinstance(done, Err):
        failure = done.err_value
        return Err(
            KvFailure(
                failure.reason,
                may_have_run=failure.is_sent,
                is_unusable=failure.is_too_large,
            )
        )
    response = done.ok_value
    if response.status != HTTPStatus.OK:
        reason = f'store answered {response.status}'
        return Err(KvFailure(reason, response.status))
    return decode_json(response.body, answer_type).map_err(
        lambda fault: KvFailure(
            f'store sent {response.body[:_MAX_SHOWN_BYTES]!r}: {fault}',
            response.status,
            may_have_run=True,
            is_unusable=True,
        ),
    )
