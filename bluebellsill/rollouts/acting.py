"""Holds the lease of the node that decides on a release."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from result import Err

from bluebellsill.logs import get_logger
from bluebellsill.replica_version import StorePosition

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bluebellsill.rollouts.order import CanaryRecord

__all__ = (
    'ActingRole',
    'HeldLease',
    'ReleaseStore',
    'RenewalFailure',
    'StoredRelease',
)

_LIFETIME = 3.0  # seconds that the lease lasts without a renewal
_RENEWAL_PERIOD = 1.0  # seconds
_RETRY_DELAY = 1.0  # seconds between attempts to get the lease
_SAVE_RETRY_DELAY = 0.5  # seconds


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease and the key that is deleted when it ends.

    Attributes:
        lease: The id of the lease.
        token: The position at which the key was written; it is higher for
            each holder.
    """

    lease: int
    token: StorePosition


@dataclass(frozen=True, slots=True)
class StoredRelease:
    """What the store has of a release.

    Attributes:
        lease_revision: The revision of the key with the lease, 0 without one.
        record: The record, None if there is none or it cannot be read.
        record_revision: The revision of its key, 0 if it does not exist.
    """

    lease_revision: int
    record: CanaryRecord | None
    record_revision: int


@dataclass(frozen=True, slots=True)
class RenewalFailure:
    """Why a lease was not renewed.

    Attributes:
        reason: A description for people.
        is_ended: Whether the lease has ended.
    """

    reason: str
    is_ended: bool


class ReleaseStore(Protocol):
    """The keys of the releases in the store."""

    @property
    def epoch(self) -> int:
        """The latest epoch of the store that its answers have shown."""

    def read(
        self,
        service: str,
        on_done: Callable[[Result[StoredRelease, str]], None],
    ) -> None:
        """Read the keys of a service."""

    def read_stale(
        self,
        service: str,
        on_done: Callable[[Result[CanaryRecord | None, str]], None],
    ) -> None:
        """Read a record that may be some seconds old, at a lower price."""

    def acquire(
        self,
        service: str,
        holder: str,
        lifetime: float,
        on_done: Callable[[Result[HeldLease, str]], None],
    ) -> None:
        """Get the lease if no node holds it."""

    def renew(
        self,
        lease: int,
        on_done: Callable[[Result[None, RenewalFailure]], None],
    ) -> None:
        """Renew a lease."""

    def save(
        self,
        token: StorePosition,
        record_revision: int,
        record: CanaryRecord,
        on_done: Callable[[Result[int, str]], None],
    ) -> None:
        """Write a record and the status, if both keys are as expected.

        Args:
            token: The key with the lease must be at its revision.
            record_revision: The revision of the record's key.
            record: The record.
            on_done: Called once with the new revision of the record's key.
        """


class ActingRole:
    """Acquires, renews and loses the lease of one service.

    Each write is conditional on the key with the lease and on the record. A
    late write of an earlier holder, or one whose answer was lost, fails once
    another write has been made.

    Attributes:
        lease: The lease, None while this node does not act.
        record: What the store had when the lease was acquired.
    """

    def __init__(self, store: ReleaseStore, service: str, holder: str) -> None:
        """Create a role that is not held."""
        self.lease: HeldLease | None = None
        self.record: CanaryRecord | None = None
        self._store = store
        self._service = service
        self._holder = holder
        self._valid_until: float = 0
        self._renewed_at: float = 0
        self._retry_at: float = 0
        self._is_acquiring = False
        self._is_renewing = False
        self._is_saving = False
        self._save_at: float = 0
        self._record_revision = 0
        self._log = get_logger('rollouts')

    @property
    def is_saving(self) -> bool:
        """Whether a write has no outcome yet."""
        return self._is_saving

    def is_confirmed(self, now: float) -> bool:
        """Return whether no other node can hold the lease."""
        return self.lease is not None and now < self._valid_until

    def acquire(self, now: float) -> None:
        """Try to get the lease, unless an attempt was made just before."""
        if self._is_acquiring or self.lease or now < self._retry_at:
            return
        self._is_acquiring = True
        self._retry_at = now + _RETRY_DELAY

        def on_acquired(done: Result[HeldLease, str]) -> None:
            if isinstance(done, Err):
                self._fail(done.err_value)
                return
            held = done.ok_value
            self._store.read(
                self._service, lambda found: self._on_read(held, found, now)
            )

        self._store.acquire(self._service, self._holder, _LIFETIME, on_acquired)

    def tick(self, now: float) -> None:
        """Renew the lease when it is due, and notice a restored store."""
        lease = self.lease
        if lease is None:
            return
        if self._store.epoch > lease.token.epoch:
            # The restored store may have neither the key nor the lease, and
            # may give the id of the lease to somebody else.
            self.release('store restored')
            return
        if self._is_renewing or now - self._renewed_at < _RENEWAL_PERIOD:
            return
        self._is_renewing = True
        self._renewed_at = now

        def on_renewed(done: Result[None, RenewalFailure]) -> None:
            if self.lease is not lease:
                return
            self._is_renewing = False
            failure = done.err()
            if failure is None:
                self._valid_until = now + _LIFETIME
            elif failure.is_ended:
                self.release('lease ended')
            else:
                self._log.warning(
                    'canary lease not renewed',
                    service=self._service,
                    reason=failure.reason,
                )

        self._store.renew(lease.lease, on_renewed)

    def save(
        self,
        record: CanaryRecord,
        now: float,
        on_saved: Callable[[CanaryRecord | None], None],
    ) -> None:
        """Write a record unless a write is under way.

        Args:
            record: The record.
            now: The time in seconds.
            on_saved: Called with the record that the store has, None if this
                is unknown.
        """
        lease = self.lease
        if lease is None or self._is_saving or now < self._save_at:
            return
        self._is_saving = True

        def on_written(done: Result[int, str]) -> None:
            if self.lease is not lease:
                return
            if isinstance(done, Err):
                self._save_at = now + _SAVE_RETRY_DELAY
                self._log.warning(
                    'canary record not written',
                    service=self._service,
                    stage=record.stage.value,
                    reason=done.err_value,
                )
                self._read_again(lease, on_saved)
                return
            self._is_saving = False
            self._record_revision = done.ok_value
            on_saved(record)

        self._store.save(lease.token, self._record_revision, record, on_written)

    def release(self, reason: str) -> None:
        """Stop to act; the lease ends by itself."""
        if self.lease is not None:
            self._log.info(
                'acting node steps down',
                service=self._service,
                token=self.lease.token.revision,
                epoch=self.lease.token.epoch,
                reason=reason,
            )
        self.lease = None
        self._is_renewing = False
        self._is_saving = False

    def _read_again(
        self,
        lease: HeldLease,
        on_saved: Callable[[CanaryRecord | None], None],
    ) -> None:
        """Find out what the store has after a write that has failed."""

        def on_read(done: Result[StoredRelease, str]) -> None:
            if self.lease is not lease:
                return
            self._is_saving = False
            stored = done.ok()
            if stored is None:
                on_saved(None)
            elif stored.lease_revision == lease.token.revision:
                self._record_revision = stored.record_revision
                on_saved(stored.record)
            else:
                self.release('another node holds the lease')

        self._store.read(self._service, on_read)

    def _on_read(
        self,
        held: HeldLease,
        found: Result[StoredRelease, str],
        acquired_at: float,
    ) -> None:
        if isinstance(found, Err):
            self._fail(found.err_value)
            return
        stored = found.ok_value
        if stored.lease_revision != held.token.revision:
            self._fail('the key with the lease is not as it was written')
            return
        self._is_acquiring = False
        self.lease = held
        self.record = stored.record
        self._record_revision = stored.record_revision
        self._valid_until = acquired_at + _LIFETIME
        self._renewed_at = acquired_at
        self._log.info(
            'acting node takes over',
            service=self._service,
            token=held.token.revision,
            epoch=held.token.epoch,
            stage=stored.record.stage.value if stored.record else None,
        )

    def _fail(self, reason: str) -> None:
        self._is_acquiring = False
        self._log.info(
            'canary lease not acquired', service=self._service, reason=reason
        )
