"""Callers that go on calling while things fail."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from http.client import HTTPConnection, HTTPException
from threading import Event, Lock, Thread
from time import monotonic, time
from typing import TYPE_CHECKING
from uuid import UUID, uuid4

if TYPE_CHECKING:
    from collections.abc import Sequence

_TIMEOUT = 10.0  # seconds


@dataclass
class Outcome:
    """What one call came to."""

    status: int
    kind: str = ''
    run: str = ''
    is_whole: bool = False
    seconds: float = 0


def new_key() -> str:
    """Return a version 7 UUID of now."""
    low = uuid4().int & ((1 << 62) - 1)
    return str(UUID(int=int(time() * 1000) << 80 | 7 << 76 | 2 << 62 | low))


def call(
    address: str,
    path: str,
    *,
    method: str = 'GET',
    key: str = '',
    order: str = '',
    deadline_ms: int = 0,
    size: int = 0,
) -> Outcome:
    """Make one call and check that the answer is its own and whole."""
    nonce = uuid4().hex
    headers = {'x-nonce': nonce}
    if key:
        headers['idempotency-key'] = key
    if order:
        headers['x-order'] = order
    if deadline_ms:
        headers['bluebellsill-deadline-ms'] = str(deadline_ms)
    host, _, port = address.partition(':')
    connection = HTTPConnection(host, int(port), timeout=_TIMEOUT)
    started_at = monotonic()
    try:
        connection.request(method, path, order.encode() or None, headers)
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException) as error:
        return Outcome(0, type(error).__name__)
    finally:
        connection.close()
    # A replayed answer carries the nonce of the call that ran.
    is_replayed = response.getheader('idempotency-replayed') == 'true'
    is_own = is_replayed or body.startswith(f'{nonce}\n'.encode())
    return Outcome(
        response.status,
        response.getheader('bluebellsill-error', ''),
        response.getheader('bluebellsill-run', ''),
        is_own and len(body) == len(nonce) + 1 + size,
        monotonic() - started_at,
    )


class Callers:
    """Threads that call entry nodes in turn until they are stopped."""

    def __init__(
        self,
        entries: Sequence[str],
        path: str,
        *,
        threads: int = 4,
        posts: bool = False,
        size: int = 0,
    ) -> None:
        """Start to call."""
        self.entries = list(entries)
        self.outcomes: list[Outcome] = []
        self.keys: list[str] = []
        self._path = path
        self._posts = posts
        self._size = size
        self._lock = Lock()
        self._stopped = Event()
        self._threads = [
            Thread(target=self._run, args=(index,), daemon=True)
            for index in range(threads)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> Counter[str]:
        """Stop and return how often each kind of outcome was seen."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * _TIMEOUT)
        return self.kinds()

    def kinds(self) -> Counter[str]:
        """Return how often each kind of outcome was seen so far."""
        with self._lock:
            return Counter(
                one.kind or ('whole' if one.is_whole else 'wrong')
                for one in self.outcomes
            )

    def _run(self, index: int) -> None:
        while not self._stopped.wait(0.01):
            index += 1
            with self._lock:
                entry = self.entries[index % len(self.entries)]
            if self._posts:
                outcome = self._post(entry)
            else:
                outcome = call(entry, self._path, size=self._size)
            with self._lock:
                self.outcomes.append(outcome)

    def _post(self, entry: str) -> Outcome:
        """Send a request with a key, again until its outcome is known."""
        key = new_key()
        with self._lock:
            self.keys.append(key)
        outcome = Outcome(0)
        for attempt in range(4):
            with self._lock:
                entries = list(self.entries)
            where = entry if not attempt else entries[attempt % len(entries)]
            outcome = call(
                where,
                self._path,
                method='POST',
                key=key,
                order=key,
            )
            if outcome.status == 200:
                break
            self._stopped.wait(0.2)
        return outcome
