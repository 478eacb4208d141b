"""Callers that reuse their connections until the peer closes them."""

from __future__ import annotations

import http.client
import time
from contextlib import suppress
from dataclasses import dataclass
from http.client import HTTPMessage
from random import Random
from threading import Event, Thread
from typing import TYPE_CHECKING

from bluebellsill.platform.headers import (
    DEADLINE,
    LEAVING,
    RATE_LIMIT,
    REQUEST_ID,
    STAMP,
    TEAM,
)
from demo.mesh_harness import HOST
from tests.soak.teams import Key

if TYPE_CHECKING:
    from collections.abc import Callable

    from demo.mesh_harness import MeshDeployment, Vm

_PAUSE = 0.02  # seconds between the calls of one caller
_DEADLINE = 2.0  # seconds, sent with every request
_UPLOADS = 0.15  # share of the payments that are uploads
_UPLOAD_SIZES = (60_000, 360_000)  # bytes, as measured at the platform
_MAX_CALLS = 20  # on one connection
_FORGED_TEAM = 'forged'  # callers may not state their team
_CONNECTION_ERRORS = (ConnectionError, http.client.HTTPException, OSError)


@dataclass(frozen=True)
class CallRecord:
    """One call and its response; status 0 without a response.

    Attributes:
        by: The target that responded, empty for the node's own responses.
        states_rate: Whether the target stated a rate limit.
        states_leaving: Whether the target stated that it leaves.
        key: The key that was sent.
        size: Bytes of the body that was sent.
    """

    name: str
    vm: str
    method: str
    status: int
    body: bytes
    sent_at: float
    ended_at: float
    by: str = ''
    states_rate: bool = False
    states_leaving: bool = False
    key: Key = Key()
    size: int = 0


class Caller:
    """Calls random nodes, with several calls per connection."""

    def __init__(
        self,
        deployment: MeshDeployment,
        prefix: str,
        seed: int,
        is_over: Event,
        pick_key: Callable[[Random], Key],
        pause: Callable[[], float] = lambda: _PAUSE,
    ) -> None:
        self.calls: list[CallRecord] = []
        self._deployment = deployment
        self._prefix = prefix
        self._random = Random(seed)
        # Separate, so that they leave the calls of a seed as they were.
        self._key_random = Random(seed)
        self._size_random = Random(seed)
        self._pick_key = pick_key
        self._pause = pause
        self._is_over = is_over
        self._thread = Thread(target=self._run)

    def start(self) -> None:
        """Start the calls."""
        self._thread.start()

    def join(self) -> None:
        """Wait until the last call has ended."""
        self._thread.join()

    def _run(self) -> None:
        while not self._is_over.is_set():
            self._use_connection(self._random.choice(self._deployment.vms))

    def _use_connection(self, vm: Vm) -> None:
        connection = http.client.HTTPConnection(
            vm.ports['callers'],
            timeout=_DEADLINE + 1,
        )
        try:
            connection.connect()
        except OSError:
            # The node is not running; nothing was sent.
            time.sleep(_PAUSE)
            return
        for _ in range(_MAX_CALLS):
            if self._is_over.is_set() or not self._call(vm, connection):
                break
            time.sleep(self._pause())
        connection.close()

    def _call(self, vm: Vm, connection: http.client.HTTPConnection) -> bool:
        """Make one call; return whether the connection can be reused."""
        is_payment = self._random.random() < 0.5
        method = 'POST' if is_payment else 'GET'
        service = 'pay' if is_payment else 'shop'
        name = f'{self._prefix}n{len(self.calls)}'
        work = self._random.choice([1, 20, 100])
        key = self._pick_key(self._key_random)
        headers = {
            **key.headers,
            TEAM: _FORGED_TEAM,
            'Host': HOST,
            REQUEST_ID: name,
            DEADLINE: str(int(_DEADLINE * 1000)),
        }
        size = self._size() if is_payment else 0
        sent_at = time.time()
        status, body, is_reusable = 0, b'', False
        stated = HTTPMessage()
        try:
            # A node may answer and close before it has read the whole body.
            with suppress(BrokenPipeError, ConnectionResetError):
                connection.request(
                    method,
                    f'/{service}/x?work={work}',
                    bytes(size) or None,
                    headers,
                )
            response = connection.getresponse()
            body = response.read()
            status = response.status
            stated = response.headers
            is_reusable = response.getheader('connection') != 'close'
        except _CONNECTION_ERRORS:
            is_reusable = False
        self.calls.append(
            CallRecord(
                name,
                vm.name,
                method,
                status,
                body,
                sent_at,
                time.time(),
                stated.get(STAMP, ''),
                RATE_LIMIT in stated,
                LEAVING in stated,
                key,
                size,
            ),
        )
        return is_reusable

    def _size(self) -> int:
        """Return the size of the body of a payment, 0 for most."""
        is_upload = self._size_random.random() < _UPLOADS
        return self._size_random.randint(*_UPLOAD_SIZES) if is_upload else 0
