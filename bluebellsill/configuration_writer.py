"""Exactly-once writes of operator changes to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import json
from result import Err, Ok, Result

from bluebellsill.change_records import (
    Change,
    ConfigurationError,
    Draft,
    Head,
    decode_snapshot,
)
from bluebellsill.configuration import Configuration
from bluebellsill.errors import ErrorKind, Problem

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.store import Store, StoreFailure, VersionedRecord
    from bluebellsill.timers import TimerService

    OnWritten = Callable[[Result[Change, Problem]], None]

__all__ = ('HEAD_KEY', 'ConfigurationWriter', 'PendingWrite', 'snapshot_key')

HEAD_KEY = 'config/head'
_MAX_CONFLICTS = 16  # version conflicts tolerated for one write
_RESOLVE_TIMEOUT = 6.0  # seconds to find out whether a write took effect
_RESOLVE_PERIOD = 0.2  # seconds between attempts


def snapshot_key(revision: int) -> str:
    """Return the store key of the snapshot of a revision."""
    return f'config/snapshot/{revision}'


class ConfigurationWriter:
    """Serializes concurrent writers by compare-and-swap on the head record."""

    def __init__(
        self,
        store: Store,
        timers: TimerService,
        configuration: Configuration,
    ) -> None:
        """Create a writer.

        Args:
            store: Holds the head record and the snapshots.
            timers: Schedules the retries of an unresolved write.
            configuration: The configuration of this node, updated from
                each head record that is read.
        """
        self.store = store
        self.timers = timers
        self.configuration = configuration

    def write(self, draft: Draft, on_done: OnWritten) -> None:
        """Write a change to the store.

        Args:
            draft: The change that the operator requests.
            on_done: Called once with the accepted change or a problem.
        """
        PendingWrite(self, draft, on_done).start()

    def catch_up(self, head: Head, on_done: Callable[[bool], None]) -> None:
        """Update the configuration in force to the revision of a head record.

        Args:
            head: The head record as read from the store.
            on_done: Called with whether the revision was reached.
        """
        oldest_revision = (
            head.changes[0].revision if head.changes else head.revision + 1
        )
        if (
            self.configuration.revision + 1 >= oldest_revision
            or not head.snapshot
        ):
            on_done(self._apply(head))
            return
        key = snapshot_key(head.snapshot)
        self.store.get(
            key, lambda outcome: self._on_snapshot(outcome, head, on_done)
        )

    def compact(self, head: Head, version: int) -> None:
        """Store a snapshot, then drop the older changes from the head."""
        if self.configuration.revision != head.revision:
            return
        payload = encode_snapshot(self.configuration)
        key = snapshot_key(head.revision)

        def on_snapshot_stored(outcome: Result[int, StoreFailure]) -> None:
            # A conflict means that another writer has stored this snapshot.
            if isinstance(outcome, Ok) or outcome.err_value.is_conflict:
                compacted_head = head.compact().encode()
                self.store.put(HEAD_KEY, compacted_head, version, _ignore)

        self.store.put(key, payload, 0, on_snapshot_stored)

    def _on_snapshot(
        self,
        outcome: Result[VersionedRecord, StoreFailure],
        head: Head,
        on_done: Callable[[bool], None],
    ) -> None:
        if isinstance(outcome, Err) or not outcome.ok_value.version:
            on_done(False)  # noqa: FBT003
            return
        self.configuration.apply_snapshot(
            decode_snapshot(outcome.ok_value.payload),
        )
        on_done(self._apply(head))

    def _apply(self, head: Head) -> bool:
        self.configuration.apply_changes(head.changes)
        return self.configuration.revision >= head.revision


class PendingWrite:
    """A change that is being written, with its retries."""

    def __init__(
        self,
        writer: ConfigurationWriter,
        draft: Draft,
        on_done: OnWritten,
    ) -> None:
        """Create a pending write; call ``start`` to send it."""
        self._writer = writer
        self._draft = draft
        self._on_done = on_done
        self._conflicts = 0
        self._resolve_deadline: float | None = None

    def start(self) -> None:
        """Read the head record, then append the draft if it is valid."""
        self._writer.store.get(HEAD_KEY, self._on_head_read)

    def _on_head_read(
        self, outcome: Result[VersionedRecord, StoreFailure]
    ) -> None:
        if isinstance(outcome, Err):
            self._on_read_failed(outcome.err_value.reason)
            return
        record = outcome.ok_value
        try:
            head = Head.decode(record.payload) if record.version else Head()
        except ConfigurationError as error:
            self._fail(ErrorKind.INTERNAL, str(error))
            return
        if head.revision < self._writer.configuration.revision:
            message = (
                f'store is at revision {head.revision}, older than revision'
                f' {self._writer.configuration.revision} in force'
            )
            self._fail(ErrorKind.STORE_UNAVAILABLE, message)
            return
        self._writer.catch_up(
            head,
            lambda caught_up: self._on_caught_up(
                head,
                record.version,
                caught_up=caught_up,
            ),
        )

    def _on_caught_up(
        self,
        head: Head,
        version: int,
        *,
        caught_up: bool,
    ) -> None:
        if not caught_up:
            self._on_read_failed('configuration snapshot could not be read')
            return
        existing = head.find(self._draft.token)
        if existing is not None:
            self._on_done(Ok(existing))
            return
        # The token is unique to this write, and an earlier attempt whose
        # response was lost fails its version check once the record has
        # been changed. Appending again cannot apply the change twice.
        self._append(head, version)

    def _append(self, head: Head, version: int) -> None:
        check_result = self._writer.configuration.check(self._draft)
        if isinstance(check_result, Err):
            self._on_done(check_result)
            return
        new_head = head.append(self._draft)
        self._writer.store.put(
            HEAD_KEY,
            new_head.encode(),
            version,
            lambda outcome: self._on_put(outcome, new_head),
        )

    def _on_put(self, outcome: Result[int, StoreFailure], head: Head) -> None:
        if isinstance(outcome, Ok):
            self._writer.configuration.apply_changes(head.changes)
            if head.needs_compaction:
                self._writer.compact(head, outcome.ok_value)
            self._on_done(Ok(head.changes[-1]))
            return
        failure = outcome.err_value
        if failure.is_conflict:
            self._on_conflict()
        elif failure.is_outcome_unknown or self._resolve_deadline is not None:
            # This put or an earlier one may still take effect.
            self._resolve()
        else:
            self._fail(ErrorKind.STORE_UNAVAILABLE, failure.reason)

    def _on_conflict(self) -> None:
        self._conflicts += 1
        if self._conflicts > _MAX_CONFLICTS:
            message = f'{_MAX_CONFLICTS} retries failed with version conflicts'
            self._fail(ErrorKind.STORE_UNAVAILABLE, message)
            return
        self.start()

    def _resolve(self) -> None:
        """Retry from the read until the outcome is known or time runs out."""
        now = self._writer.timers.clock.now()
        if self._resolve_deadline is None:
            self._resolve_deadline = now + _RESOLVE_TIMEOUT
        if now >= self._resolve_deadline:
            message = (
                f'write {self._draft.token} may have taken effect; query'
                f' /v1/writes/{self._draft.token} later'
            )
            self._fail(ErrorKind.WRITE_UNRESOLVED, message)
            return
        self._writer.timers.after(_RESOLVE_PERIOD, self.start)

    def _on_read_failed(self, reason: str) -> None:
        if self._resolve_deadline is None:
            self._fail(ErrorKind.STORE_UNAVAILABLE, reason)
        else:
            self._resolve()

    def _fail(self, kind: ErrorKind, message: str) -> None:
        if self._resolve_deadline is not None:
            kind = ErrorKind.WRITE_UNRESOLVED
        self._on_done(Err(Problem(kind, message)))


def encode_snapshot(configuration: Configuration) -> bytes:
    """Encode a snapshot of a configuration."""
    return json.encode(configuration.snapshot())


def _ignore(outcome: Result[int, StoreFailure]) -> None:
    """Ignore a failed compaction; a later write compacts again."""
