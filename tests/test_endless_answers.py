"""Tests with real processes that bytes without end do not fill a node.

An operator of a similar system reported it: a faulty server sent bytes that
were no answer, the node beside it kept them all until it ran out of memory,
and the requests of other clients of that node ended with it.
"""

from __future__ import annotations

import json
import socket
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager
from pathlib import Path
from threading import Event, Thread

import pytest

from demo.mesh_harness import MeshDeployment, Vm, fetch, running, wait_until
from tests.path_rules import path_rule

_MEMORY_MB = 300  # of a VM, as the deployments in force state it
_SLOTS = 128  # of the faulty target
_CALLERS = 128
_SECONDS = 3.0
_PAUSE = 0.05  # seconds between two blocks
_CHUNK = b'10000\r\n' + b'x' * 65536 + b'\r\n'
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
# The start of what the target sends, and the block that it repeats: at once,
# or with pauses, so that what it has sent is held for long.
_KINDS = {
    'head': (_HEAD, b'x: ' + b'y' * 1000 + b'\r\n', 0),
    'header value': (_HEAD + b'x: ', b'y' * 65536, 0),
    'body until close': (_HEAD + b'\r\n', b'y' * 65536, 0),
    'body in chunks': (_CHUNKED, _CHUNK, 0),
    'slow head': (_HEAD + b'x: ' + b'y' * 60000, b'y', _PAUSE),
    'slow body': (_HEAD + b'\r\n' + b'y' * 4100000, b'y', _PAUSE),
    'slow chunks': (_CHUNKED + _CHUNK * 62, b'1\r\ny\r\n', _PAUSE),
}


class _FaultyTarget:
    """Reports to its node that it is well, and answers without end."""

    def __init__(
        self, vm: Vm, start: bytes, block: bytes, pause: float
    ) -> None:
        host, _, port = vm.ports['target'].rpartition(':')
        self._listener = socket.create_server((host, int(port)), backlog=512)
        self._vm = vm
        self._start = start
        self._block = block
        self._pause = pause
        self._is_stopped = Event()
        for work in (self._accept, self._report):
            Thread(target=work, daemon=True).start()

    def stop(self) -> None:
        self._is_stopped.set()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        with connection:
            try:
                self._answer(connection)
            except OSError:
                return

    def _answer(self, connection: socket.socket) -> None:
        while request := connection.recv(65536):
            if request.startswith(b'GET /healthz'):
                connection.sendall(
                    _HEAD + b'bluebellsill-instance-id: i-faulty\r\n'
                    b'content-length: 0\r\n\r\n'
                )
                continue
            connection.sendall(self._start)
            while not self._is_stopped.is_set():
                connection.sendall(self._block)
                time.sleep(self._pause)

    def _report(self) -> None:
        sequence = 0
        while not self._is_stopped.is_set():
            sequence += 1
            report = {
                'address': self._vm.ports['target'],
                'info': {
                    'service': self._vm.service,
                    'version': 'v1',
                    'zone': self._vm.zone,
                    'slots': _SLOTS,
                },
                'status': {
                    'state': 'ready',
                    'sequence': sequence,
                    'cold_left_ms': 0,
                },
            }
            fetch(
                self._vm.ports['reports'],
                'PUT',
                '/instances/i-faulty',
                json.dumps(report).encode(),
                {'content-type': 'application/json'},
            )
            time.sleep(0.3)


@contextmanager
def _deployment(
    folder: Path, kind: str
) -> Iterator[tuple[MeshDeployment, Vm, Vm]]:
    with running(folder) as found:
        limits = {'memory_mb': _MEMORY_MB, 'max_descriptors': 4100}
        faulty = found.add('a', 'faulty', limits=limits)
        sound = found.add('b', 'sound', limits=limits)
        assert faulty.target is not None
        faulty.target.kill()
        target = _FaultyTarget(faulty, *_KINDS[kind])
        found.declare(
            [path_rule('/faulty/', 'faulty'), path_rule('/sound/', 'sound')]
        )
        try:
            wait_until(
                lambda: found.call(faulty, '/sound/x').status == 200,
                'the sound target is served',
            )
            wait_until(
                lambda: found.call(faulty, '/faulty/x').status in {502, 504},
                'the faulty target is called',
            )
            yield found, faulty, sound
        finally:
            target.stop()


def _peak_mb(vm: Vm) -> float:
    assert vm.node is not None
    status = Path(f'/proc/{vm.node.pid}/status').read_text(encoding='utf-8')
    line = next(one for one in status.splitlines() if 'VmHWM' in one)
    return int(line.split()[1]) / 1024


@pytest.mark.parametrize('kind', _KINDS)
def test_endless_answers_at_all_slots_leave_room_for_others(
    tmp_path: Path, kind: str
) -> None:
    with _deployment(tmp_path, kind) as (found, faulty, sound):
        ends_at = time.monotonic() + _SECONDS

        def call_faulty(_: int) -> set[int]:
            statuses: set[int] = set()
            while time.monotonic() < ends_at:
                reply = found.call(sound, '/faulty/x', deadline_ms=4000)
                statuses.add(reply.status)
            return statuses

        with ThreadPoolExecutor(_CALLERS) as pool:
            calls = pool.map(call_faulty, range(_CALLERS))
            replies = []
            while time.monotonic() < ends_at:
                replies.append(found.call(faulty, '/sound/x').status)
                time.sleep(_PAUSE)
            statuses = set().union(*calls)
        peak = _peak_mb(faulty)
        print(f'{kind}: peak {peak:.0f} MB, statuses {sorted(statuses)}')
        assert set(replies) == {200}
        assert 200 not in statuses
        assert peak < _MEMORY_MB
