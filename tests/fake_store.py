"""A store in memory whose calls go wrong as a script says."""

from __future__ import annotations

from typing import TYPE_CHECKING

from result import Err, Ok, Result

from bluebellsill.store import StoreFailure, Versioned

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.timers import TimerService

_LATE = 0.3  # seconds


class FakeStore:
    """Takes one word of the script for each call.

    Words: ``ok``; ``down`` (nothing happens, and the caller knows it);
    ``lost`` (it happens, the answer is lost); ``late`` (the answer is lost
    and it happens later, if it still can); ``never`` (the answer is lost
    and nothing happens); ``race`` (another writer comes first).
    """

    def __init__(self, timers: TimerService, script: list[str]) -> None:
        self.records_by_key: dict[str, Versioned] = {}
        self.race: Callable[[], None] | None = None
        self._timers = timers
        self._script = list(script)

    def get(
        self,
        key: str,
        on_done: Callable[[Result[Versioned, StoreFailure]], None],
    ) -> None:
        if self._word() in {'ok', 'race'}:
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
        word = self._word()
        if word == 'race' and self.race is not None:
            self.race()
        if word == 'down':
            on_done(Err(StoreFailure('refused')))
            return
        if word == 'late':
            self._timers.after(
                _LATE,
                lambda: self._swap(key, payload, version) and None,
            )
        is_swapped = word in {'ok', 'race', 'lost'} and self._swap(
            key,
            payload,
            version,
        )
        if word in {'lost', 'late', 'never'}:
            on_done(Err(StoreFailure('no answer', is_unknown=True)))
        elif is_swapped:
            on_done(Ok(version + 1))
        else:
            on_done(Err(StoreFailure('conflict', is_conflict=True)))

    def watch(
        self,
        key: str,
        version: int,
        wait: float,
        on_done: Callable[[Result[Versioned, StoreFailure]], None],
    ) -> None:
        raise AssertionError('writers do not watch')

    def _word(self) -> str:
        return self._script.pop(0) if self._script else 'ok'

    def _record(self, key: str) -> Versioned:
        return self.records_by_key.get(key, Versioned(b'', 0))

    def _swap(self, key: str, payload: bytes, version: int) -> bool:
        if self._record(key).version != version:
            return False
        self.records_by_key[key] = Versioned(payload, version + 1)
        return True
