"""HTTP clients that keep sending requests while faults are injected."""

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

_TIMEOUT = 10.0  # seconds, of each socket operation


@dataclass
class Outcome:
    """The result of one call.

    Attributes:
        status: The HTTP status; 0 if no complete response arrived.
        kind: The error kind of the response, or the name of the exception.
        run: Whether the request was executed, as the error response says.
        is_complete: Whether the body is complete and belongs to this call.
        seconds: How long the call took.
        key: The idempotency key of the call.
    """

    status: int
    kind: str = ''
    run: str = ''
    is_complete: bool = False
    seconds: float = 0
    key: str = ''


def new_key() -> str:
    """Return a version 7 UUID with the current time."""
    random_bits = uuid4().int & ((1 << 62) - 1)
    return str(
        UUID(int=int(time() * 1000) << 80 | 7 << 76 | 2 << 62 | random_bits)
    )


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
    """Make one call; check that the body is complete and its own."""
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
        return Outcome(0, type(error).__name__, key=key)
    finally:
        connection.close()
    # A replayed response carries the nonce of the call that was executed.
    is_replayed = response.getheader('idempotency-replayed') == 'true'
    is_own = is_replayed or body.startswith(f'{nonce}\n'.encode())
    return Outcome(
        response.status,
        response.getheader('bluebellsill-error', ''),
        response.getheader('bluebellsill-run', ''),
        is_own and len(body) == len(nonce) + 1 + size,
        monotonic() - started_at,
        key,
    )


class Callers:
    """Threads that call the entry nodes round-robin until stopped."""

    def __init__(
        self,
        entries: Sequence[str],
        path: str,
        *,
        threads: int = 4,
        posts: bool = False,
        size: int = 0,
    ) -> None:
        """Start the threads."""
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
        """Stop the threads and return the outcomes counted by kind."""
        self._stopped.set()
        for thread in self._threads:
            thread.join(2 * _TIMEOUT)
        return self.kinds()

    def kinds(self) -> Counter[str]:
        """Return the outcomes so far, counted by kind."""
        with self._lock:
            return Counter(
                outcome.kind or ('whole' if outcome.is_complete else 'wrong')
                for outcome in self.outcomes
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
        """Send a request with a key, up to four times until status 200."""
        key = new_key()
        with self._lock:
            self.keys.append(key)
        outcome = Outcome(0)
        for attempt in range(4):
            with self._lock:
                entries = list(self.entries)
            address = entry if not attempt else entries[attempt % len(entries)]
            outcome = call(
                address,
                self._path,
                method='POST',
                key=key,
                order=key,
            )
            if outcome.status == 200:
                break
            self._stopped.wait(0.2)
        return outcome
