"""Writes an operator's change to the store, exactly once."""

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

    from bluebellsill.store import Store, StoreFailure, Versioned
    from bluebellsill.timers import TimerService

    OnWritten = Callable[[Result[Change, Problem]], None]

__all__ = ('HEAD_KEY', 'ConfigurationWriter', 'Write', 'snapshot_key')

HEAD_KEY = 'config/head'
_MAX_CONFLICTS = 16
_RESOLVE_SECONDS = 6.0
_RESOLVE_PERIOD = 0.2  # seconds


def snapshot_key(revision: int) -> str:
    """Return the store's key of a snapshot."""
    return f'config/snapshot/{revision}'


class ConfigurationWriter:
    """Orders writers by compare-and-swap on one record."""

    def __init__(
        self,
        store: Store,
        timers: TimerService,
        configuration: Configuration,
    ) -> None:
        """Create a writer.

        Args:
            store: Holds the record.
            timers: Paces the reading back.
            configuration: Brought up to date by what is read.
        """
        self.store = store
        self.timers = timers
        self.configuration = configuration

    def write(self, draft: Draft, on_done: OnWritten) -> None:
        """Write a change.

        Args:
            draft: What the operator asks for.
            on_done: Called once with the accepted change or a problem.
        """
        Write(self, draft, on_done).start()

    def catch_up(self, head: Head, on_done: Callable[[bool], None]) -> None:
        """Bring the configuration in force up to a head record.

        Args:
            head: The record that was read.
            on_done: Called with whether it worked.
        """
        oldest = head.changes[0].revision if head.changes else head.revision + 1
        if self.configuration.revision + 1 >= oldest or not head.snapshot:
            on_done(self._apply(head))
            return
        key = snapshot_key(head.snapshot)
        self.store.get(key, lambda done: self._on_snapshot(done, head, on_done))

    def compact(self, head: Head, version: int) -> None:
        """Move old changes of a long record into a snapshot."""
        if self.configuration.revision != head.revision:
            return
        payload = encode_snapshot(self.configuration)
        key = snapshot_key(head.revision)

        def on_saved(done: Result[int, StoreFailure]) -> None:
            # A conflict means that the same snapshot is there already.
            if isinstance(done, Ok) or done.err_value.is_conflict:
                compacted = head.compact().encode()
                self.store.put(HEAD_KEY, compacted, version, _ignore)

        self.store.put(key, payload, 0, on_saved)

    def _on_snapshot(
        self,
        done: Result[Versioned, StoreFailure],
        head: Head,
        on_done: Callable[[bool], None],
    ) -> None:
        if isinstance(done, Err) or not done.ok_value.version:
            on_done(False)  # noqa: FBT003
            return
        self.configuration.apply_snapshot(
            decode_snapshot(done.ok_value.payload),
        )
        on_done(self._apply(head))

    def _apply(self, head: Head) -> bool:
        self.configuration.apply_changes(head.changes)
        return self.configuration.revision >= head.revision


class Write:
    """One change on its way to the store."""

    def __init__(
        self,
        writer: ConfigurationWriter,
        draft: Draft,
        on_done: OnWritten,
    ) -> None:
        """Prepare a write; ``start`` begins it."""
        self._writer = writer
        self._draft = draft
        self._on_done = on_done
        self._conflicts = 0
        self._resolve_until: float | None = None

    def start(self) -> None:
        """Read the record, which tells whether the draft may follow."""
        self._writer.store.get(HEAD_KEY, self._on_head)

    def _on_head(self, done: Result[Versioned, StoreFailure]) -> None:
        if isinstance(done, Err):
            self._on_read_failed(done.err_value.reason)
            return
        record = done.ok_value
        try:
            head = Head.decode(record.payload) if record.version else Head()
        except ConfigurationError as error:
            self._fail(ErrorKind.INTERNAL, str(error))
            return
        if head.revision < self._writer.configuration.revision:
            message = (
                f'store is at revision {head.revision}, behind'
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
            self._on_read_failed('snapshot could not be read')
            return
        written = head.find(self._draft.token)
        if written is not None:
            self._on_done(Ok(written))
            return
        # Nobody else writes this token, and a write whose answer was lost
        # cannot take effect any more once the version has moved on.
        self._append(head, version)

    def _append(self, head: Head, version: int) -> None:
        checked = self._writer.configuration.check(self._draft)
        if isinstance(checked, Err):
            self._on_done(checked)
            return
        appended = head.append(self._draft)
        self._writer.store.put(
            HEAD_KEY,
            appended.encode(),
            version,
            lambda done: self._on_put(done, appended),
        )

    def _on_put(self, done: Result[int, StoreFailure], head: Head) -> None:
        if isinstance(done, Ok):
            self._writer.configuration.apply_changes(head.changes)
            if head.wants_compaction:
                self._writer.compact(head, done.ok_value)
            self._on_done(Ok(head.changes[-1]))
            return
        failure = done.err_value
        if failure.is_conflict:
            self._on_conflict()
        elif failure.is_unknown or self._resolve_until is not None:
            # An earlier put of this write may still take effect.
            self._resolve()
        else:
            self._fail(ErrorKind.STORE_UNAVAILABLE, failure.reason)

    def _on_conflict(self) -> None:
        self._conflicts += 1
        if self._conflicts > _MAX_CONFLICTS:
            message = f'{_MAX_CONFLICTS} other writers came first'
            self._fail(ErrorKind.STORE_UNAVAILABLE, message)
            return
        self.start()

    def _resolve(self) -> None:
        """Read back whether the write took effect."""
        now = self._writer.timers.clock.now()
        if self._resolve_until is None:
            self._resolve_until = now + _RESOLVE_SECONDS
        if now >= self._resolve_until:
            message = (
                f'write {self._draft.token} may have taken effect; ask for'
                f' /v1/writes/{self._draft.token} later'
            )
            self._fail(ErrorKind.WRITE_UNRESOLVED, message)
            return
        self._writer.timers.after(_RESOLVE_PERIOD, self.start)

    def _on_read_failed(self, reason: str) -> None:
        if self._resolve_until is None:
            self._fail(ErrorKind.STORE_UNAVAILABLE, reason)
        else:
            self._resolve()

    def _fail(self, kind: ErrorKind, message: str) -> None:
        if self._resolve_until is not None:
            kind = ErrorKind.WRITE_UNRESOLVED
        self._on_done(Err(Problem(kind, message)))


def encode_snapshot(configuration: Configuration) -> bytes:
    """Return the bytes of a snapshot of a configuration."""
    return json.encode(configuration.snapshot())


def _ignore(done: Result[int, StoreFailure]) -> None:
    """Leave a failed compaction to the next writer."""
