"""An in-memory store whose calls fail according to a script."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.store import StoreFailure, VersionedRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.timers import TimerService

_LATE_WRITE_DELAY = 0.3  # seconds


class FakeStore:
    """Takes the outcome of each call from a script.

    Outcomes: ``ok``; ``down`` (the call fails without any effect);
    ``lost`` (the write takes effect, but its response is lost); ``late``
    (the response is lost, and the write is attempted after a delay);
    ``never`` (the response is lost, and the write has no effect);
    ``race`` (another writer changes the record first).
    """

    def __init__(self, timers: TimerService, script: list[str]) -> None:
        self.records_by_key: dict[str, VersionedRecord] = {}
        self.on_race: Callable[[], None] | None = None
        self._timers = timers
        self._script = list(script)

    def get(
        self,
        key: str,
        on_done: Callable[[Result[VersionedRecord, StoreFailure]], None],
    ) -> None:
        if self._next_outcome() in {'ok', 'race'}:
            on_done(Ok(self._record(key)))
        else:
            on_done(Err(StoreFailure('down')))

    def put(
        self,
        key: str,
        payload: bytes,
        version: int,
        on_done: Callable[[Result[int, StoreFailure]], None],
    ) -> None:
        outcome = self._next_outcome()
        if outcome == 'race' and self.on_race is not None:
            self.on_race()
        if outcome == 'down':
            on_done(Err(StoreFailure('refused')))
            return
        if outcome == 'late':
            self._timers.after(
                _LATE_WRITE_DELAY,
                lambda: self._try_write(key, payload, version) and None,
            )
        is_written = outcome in {'ok', 'race', 'lost'} and self._try_write(
            key,
            payload,
            version,
        )
        if outcome in {'lost', 'late', 'never'}:
            on_done(Err(StoreFailure('no answer', is_outcome_unknown=True)))
        elif is_written:
            on_done(Ok(version + 1))
        else:
            on_done(Err(StoreFailure('conflict', is_conflict=True)))

    def watch(
        self,
        key: str,
        version: int,
        wait: float,
        on_done: Callable[[Result[VersionedRecord, StoreFailure]], None],
    ) -> None:
        raise AssertionError('unexpected watch: a writer only reads and writes')

    def _next_outcome(self) -> str:
        return self._script.pop(0) if self._script else 'ok'

    def _record(self, key: str) -> VersionedRecord:
        return self.records_by_key.get(key, VersionedRecord(b'', 0))

    def _try_write(self, key: str, payload: bytes, version: int) -> bool:
        if self._record(key).version != version:
            return False
        self.records_by_key[key] = VersionedRecord(payload, version + 1)
        return True
