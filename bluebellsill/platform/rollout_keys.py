"""The keys of canary releases in the platform's metadata store."""

from __future__ import annotations

from base64 import b64encode
from http import HTTPStatus
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct, json
from result import Err, Ok, Result

from bluebellsill.decoding import WireInteger, decode_json
from bluebellsill.logs import get_logger
from bluebellsill.messages import OutcomeRow
from bluebellsill.platform.kv_store import (
    ExpectedRevision,
    KeyValue,
    KvWrite,
    Txn,
)
from bluebellsill.replica_version import StorePosition
from bluebellsill.rollouts.acting import (
    HeldLease,
    RenewalFailure,
    StoredRelease,
)
from bluebellsill.rollouts.order import CanaryOrder, CanaryRecord, CanaryStage

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.order_set import WrittenOrder
    from bluebellsill.platform.kv_store import (
        Item,
        ItemPage,
        KvFailure,
        KvStore,
    )

__all__ = (
    'LEASE_PREFIX',
    'RECORD_PREFIX',
    'STATUS_PREFIX',
    'RolloutKeys',
    'decode_order',
)

LEASE_PREFIX = 'bluebellsill/rollout/'
RECORD_PREFIX = 'bluebellsill/rollout-record/'
STATUS_PREFIX = 'status/rollout/'
_MS_PER_SECOND = 1000
_MAX_SECONDS = 31_536_000  # a year; rejects corrupt orders
_MAX_NAME = 256  # characters of a service or a version

Name = Annotated[str, Meta(min_length=1, max_length=_MAX_NAME)]


class _Order(Struct, frozen=True):
    """The value of an operator's key that orders a release."""

    service: Name
    target_version: Name
    duration_s: Annotated[float, Meta(gt=0, le=_MAX_SECONDS)]


class _Status(Struct, frozen=True):
    """The status that operators read."""

    state: str
    target_version: str


class _LeaseValue(Struct, frozen=True):
    """The value of the key with the lease."""

    holder: str


class _RecordValue(Struct, frozen=True):
    """The value of the record's key; see ``CanaryRecord``."""

    service: Name
    target_version: Name
    duration_s: Annotated[float, Meta(gt=0, le=_MAX_SECONDS)]
    order_epoch: WireInteger
    order_revision: WireInteger
    stage: CanaryStage
    elapsed_ms: WireInteger = 0
    written_ms: WireInteger = 0
    base_versions: tuple[str, ...] = ()
    requests: WireInteger = 0
    canary_requests: WireInteger = 0
    rows: tuple[OutcomeRow, ...] = ()


_STATES_BY_STAGE = {
    CanaryStage.RUNNING: 'running',
    CanaryStage.SWITCHING: 'running',
    CanaryStage.COMPLETED: 'completed',
    CanaryStage.ROLLED_BACK: 'rolled_back',
}


def decode_order(written: WrittenOrder) -> Result[CanaryOrder, str]:
    """Decode what an operator has ordered for a service."""
    decoded = decode_json(written.payload, _Order)
    if isinstance(decoded, Err):
        return Err(decoded.err_value)
    order = decoded.ok_value
    if order.service != written.service:
        return Err(f'the key names another service than {order.service!r}')
    return Ok(
        CanaryOrder(
            order.service,
            order.target_version,
            order.duration_s,
            StorePosition(written.epoch, written.revision),
        )
    )


class RolloutKeys:
    """Reads and writes the keys of releases with a client of the store.

    The key with the lease is deleted when the lease ends, so the record has a
    key of its own.
    """

    def __init__(self, store: KvStore) -> None:
        """Create the keys without a call."""
        self._store = store
        self._published_by_service: dict[str, tuple[int, _Status]] = {}
        self._log = get_logger('rollouts')

    @property
    def epoch(self) -> int:
        """The latest epoch of the store that its answers have shown."""
        return self._store.epoch

    def read(
        self,
        service: str,
        on_done: Callable[[Result[StoredRelease, str]], None],
    ) -> None:
        """Read the keys of a service."""

        def on_record(done: Result[Item | None, str]) -> None:
            if isinstance(done, Err):
                on_done(Err(done.err_value))
                return
            item = done.ok_value
            self._read_item(
                f'{LEASE_PREFIX}{service}',
                lambda lease: on_done(
                    lease.map(
                        lambda found: StoredRelease(
                            found.revision if found else 0,
                            self._decode(item),
                            item.revision if item else 0,
                        )
                    )
                ),
            )

        self._read_item(f'{RECORD_PREFIX}{service}', on_record)

    def read_stale(
        self,
        service: str,
        on_done: Callable[[Result[CanaryRecord | None, str]], None],
    ) -> None:
        """Read a record that may be some seconds old, at a lower price."""
        self._read_item(
            f'{RECORD_PREFIX}{service}',
            lambda done: on_done(done.map(self._decode)),
            allow_stale=True,
        )

    def acquire(
        self,
        service: str,
        holder: str,
        lifetime: float,
        on_done: Callable[[Result[HeldLease, str]], None],
    ) -> None:
        """Get the lease if no node holds it."""

        def on_granted(done: Result[int, KvFailure]) -> None:
            if isinstance(done, Err):
                on_done(Err(done.err_value.reason))
                return
            lease = done.ok_value
            epoch = self._store.epoch
            payload = json.encode(_LeaseValue(holder))
            self._store.write(
                KvWrite(f'{LEASE_PREFIX}{service}', payload, 0, lease),
                lambda written: on_done(
                    written.map(
                        lambda revision: HeldLease(
                            lease, StorePosition(epoch, revision)
                        )
                    ).map_err(lambda failure: failure.reason)
                ),
            )

        self._store.grant_lease(lifetime, on_granted)

    def renew(
        self,
        lease: int,
        on_done: Callable[[Result[None, RenewalFailure]], None],
    ) -> None:
        """Renew a lease."""
        self._store.renew_lease(
            lease,
            lambda done: on_done(
                done.map_err(
                    lambda failure: RenewalFailure(
                        failure.reason, failure.status == HTTPStatus.NOT_FOUND
                    )
                )
            ),
        )

    def save(
        self,
        token: StorePosition,
        record_revision: int,
        record: CanaryRecord,
        on_done: Callable[[Result[int, str]], None],
    ) -> None:
        """Write a record and the status, if both keys are as expected."""
        service = record.order.service
        record_key = f'{RECORD_PREFIX}{service}'
        status = _Status(
            _STATES_BY_STAGE[record.stage], record.order.target_version
        )
        published = (token.revision, status)
        writes = []
        if self._published_by_service.get(service) != published:
            writes.append(_key_value(f'{STATUS_PREFIX}{service}', status))
        # Whether the store counts one revision for each write or for each
        # transaction: the one that it returns is that of the last write.
        writes.append(_key_value(record_key, _encodable(record)))
        conditions = [
            ExpectedRevision(f'{LEASE_PREFIX}{service}', token.revision),
            ExpectedRevision(record_key, record_revision),
        ]

        def on_written(done: Result[int, KvFailure]) -> None:
            if isinstance(done, Ok):
                self._published_by_service[service] = published
            on_done(done.map_err(lambda failure: failure.reason))

        self._store.transact(Txn(conditions, writes), on_written)

    def _read_item(
        self,
        key: str,
        on_done: Callable[[Result[Item | None, str]], None],
        *,
        allow_stale: bool = False,
    ) -> None:
        """Read one key; it is the first one that starts with its name."""

        def on_page(done: Result[ItemPage, KvFailure]) -> None:
            if isinstance(done, Err):
                on_done(Err(done.err_value.reason))
                return
            found = [one for one in done.ok_value.items if one.key == key]
            on_done(Ok(found[0] if found else None))

        self._store.range(key, '', on_page, allow_stale=allow_stale)

    def _decode(self, item: Item | None) -> CanaryRecord | None:
        """Return a record, None for what another writer has left."""
        if item is None:
            return None
        decoded = decode_json(item.value, _RecordValue)
        if isinstance(decoded, Err):
            self._log.warning(
                'canary record ignored', key=item.key, reason=decoded.err_value
            )
            return None
        found = decoded.ok_value
        position = StorePosition(found.order_epoch, found.order_revision)
        return CanaryRecord(
            CanaryOrder(
                found.service, found.target_version, found.duration_s, position
            ),
            found.stage,
            found.elapsed_ms / _MS_PER_SECOND,
            found.written_ms / _MS_PER_SECOND,
            frozenset(found.base_versions),
            found.requests,
            found.canary_requests,
            found.rows,
        )


def _encodable(record: CanaryRecord) -> _RecordValue:
    order = record.order
    return _RecordValue(
        order.service,
        order.target_version,
        order.duration,
        order.position.epoch,
        order.position.revision,
        record.stage,
        int(record.elapsed * _MS_PER_SECOND),
        int(record.written_at * _MS_PER_SECOND),
        tuple(sorted(record.base_versions)),
        record.requests,
        record.canary_requests,
        record.rows,
    )


def _key_value(key: str, document: Struct) -> KeyValue:
    return KeyValue(key, b64encode(json.encode(document)).decode())
