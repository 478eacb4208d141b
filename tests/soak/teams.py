"""The teams of a run, and the keys that are added and removed meanwhile."""

from __future__ import annotations

import time
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass
from random import Random
from threading import Event, Lock
from typing import TYPE_CHECKING, Any

from bluebellsill.platform.headers import CREDENTIALS

if TYPE_CHECKING:
    from collections.abc import Callable

_PERIOD = (0.3, 1.5)  # seconds between two changes of the keys
_MAX_ADDED = 4  # added keys in force at a time
# How often callers use the kept keys, the added, the removed and the unknown
# one. Nodes hold the last two for up to 1 s, so more of them cost many calls.
_SHARES = (8, 6, 2, 1)
_RECENT = 3  # removed keys that callers still use
_STEADY = ('club', 'den')  # teams without an allowance
_LIMITED = 'surge'
_ALLOWANCES = ((5, 0), (10, 10), (20, 20))  # rate and burst
SURGE_CALLERS = 6  # callers of the limited team
_SURGE_PERIOD = 9.0  # seconds from one surge of the limited team to the next
_SURGE_SECONDS = 6.0  # seconds; longer than the window of the allowance
_SURGE_PAUSE = 0.02  # seconds between the calls of a caller in a surge
_USUAL_PAUSE = 0.6  # seconds between its calls otherwise


@dataclass(eq=False)
class Key:
    """A key, the team it belongs to, and when it was removed.

    Attributes:
        text: What callers send; empty for no key.
        team: The team's name, empty for none.
        is_kept: Whether all versions of the document have the key.
        is_known: Whether any version has the key.
        removed_at: When the store acknowledged its removal, 0 before.
    """

    text: str = ''
    team: str = ''
    is_kept: bool = True
    is_known: bool = True
    removed_at: float = 0

    @property
    def headers(self) -> dict[str, str]:
        """The headers that carry the key."""
        return {CREDENTIALS: f'Token {self.text}'} if self.text else {}


class Teams:
    """Chooses the keys of callers and changes those in force.

    Two of three seeds have teams; the others keep the path without them in the
    soak test.

    Attributes:
        exist: Whether the routing document has teams.
        rate: The requests a second that the limited team may send.
        burst: Its requests beyond that.
    """

    def __init__(self, seed: int, is_over: Event) -> None:
        self.exist = seed % 3 != 0
        self._seed = seed
        self._is_over = is_over
        self._random = Random(seed)
        self.rate, self.burst = self._random.choice(_ALLOWANCES)
        self.limited = self._kept(_LIMITED)
        self._first_surge_at = time.monotonic() + self._random.uniform(2, 4)
        self._steady = [self._kept(team) for team in _STEADY]
        self._unknown = Key(
            f'key-unknown-{seed}', is_kept=False, is_known=False
        )
        self._lock = Lock()
        self._added: list[Key] = []
        self._removed: list[Key] = []
        self._changes: Future[None] | None = None

    def start(self, write: Callable[[], None]) -> None:
        """Start to change the keys.

        Args:
            write: Writes the document, and returns when the store has
                acknowledged it.
        """
        if self.exist:
            self._changes = ThreadPoolExecutor(1).submit(self._run, write)

    def join(self) -> None:
        """Wait for the last change, and raise the error of a failed one."""
        if self._changes is not None:
            self._changes.result()

    def fields(self) -> dict[str, Any]:
        """Return the fields of the document that declare the teams."""
        if not self.exist:
            return {}
        with self._lock:
            keys = [self.limited, *self._steady, *self._added]
        allowance = {'rate_per_s': self.rate, 'burst': self.burst}
        return {
            'tenants': [
                {
                    'name': team,
                    'api_keys': [key.text for key in keys if key.team == team],
                    **(allowance if team == _LIMITED else {}),
                }
                for team in (*_STEADY, _LIMITED)
            ]
        }

    def steady_key(self) -> Key:
        """Return a key that all versions of the document have."""
        return self._steady[0] if self.exist else Key()

    def pick(self, random: Random) -> Key:
        """Return a key in force, a removed one or an unknown one."""
        if not self.exist:
            return Key()
        with self._lock:
            kinds = (
                self._steady,
                self._added,
                self._removed[-_RECENT:],
                [self._unknown],
            )
            (keys,) = random.choices(kinds, _SHARES)
            return random.choice(keys or self._steady)

    def surge_pause(self) -> float:
        """Return the pause between calls of a caller of the limited team.

        In a surge the team sends several times its allowance.
        """
        since = time.monotonic() - self._first_surge_at
        is_surge = since >= 0 and since % _SURGE_PERIOD < _SURGE_SECONDS
        return _SURGE_PAUSE if is_surge else _USUAL_PAUSE

    def _kept(self, team: str) -> Key:
        return Key(f'key-of-{team}-{self._seed}', team)

    def _run(self, write: Callable[[], None]) -> None:
        count = 0
        while not self._is_over.wait(self._random.uniform(*_PERIOD)):
            is_full = len(self._added) >= _MAX_ADDED
            if self._added and (is_full or self._random.random() < 0.5):
                self._remove(write)
            else:
                count += 1
                team = self._random.choice(_STEADY)
                text = f'key-added-{self._seed}-{count}'
                with self._lock:
                    self._added.append(Key(text, team, is_kept=False))
                write()

    def _remove(self, write: Callable[[], None]) -> None:
        with self._lock:
            key = self._random.choice(self._added)
            self._added.remove(key)
        write()
        key.removed_at = time.time()
        with self._lock:
            self._removed.append(key)
