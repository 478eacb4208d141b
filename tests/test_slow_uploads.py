"""Uploads and small calls share a slow path to a node, with real processes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from demo.mesh_harness import MeshDeployment, Vm, fetch, running, wait_until
from tests.path_rules import path_rule
from tests.soak.network import Network
from tests.soak.proxy import NetworkFault

_BYTES_PER_SECOND = 250_000
_BODY = bytes(240_000)  # of a size that takes a second on the slow path
_UPLOADERS = 4
_UPLOADS = 2  # of each of them
_SMALL_CALLERS = 2
_SMALL_CALLS = 20  # of each of them
# Far more than what the uploads take together: the test is not about time.
_DEADLINE_MS = 30000


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[MeshDeployment]:
    """An entry node, and a node that is reached over a slow path."""
    network = Network()
    with running(tmp_path, network.reach) as found:
        entry = found.add('a', 'other')
        files = found.add('a', 'files')
        rule = {'timeout_ms': _DEADLINE_MS, 'target_latency_ms': _DEADLINE_MS}
        found.declare(
            [
                path_rule(
                    '/upload/', 'files', route_type='non_idempotent', **rule
                ),
                path_rule('/find/', 'files', **rule),
            ]
        )
        wait_until(lambda: found.call(entry, '/find/x').status == 200, 'served')
        fault = NetworkFault(bytes_per_second=_BYTES_PER_SECOND)
        network.inject(files.name, ['peers'], fault)
        network.reset(files.name, ['peers'])
        yield found
    network.close()


def _state(vm: Vm, name: str) -> float:
    text = fetch(vm.ports['metrics'], 'GET', '/metrics').body.decode()
    label = f'bluebellsill_state{{of="{name}"}} '
    return float(text.partition(label)[2].partition('\n')[0])


def test_uploads_do_not_fail_or_end_the_link_of_small_calls(
    deployment: MeshDeployment,
) -> None:
    """Heartbeats waited behind bodies; the link was closed as silent."""
    entry, files = deployment.vms

    def send(path: str, body: bytes, times: int) -> Counter[int]:
        return Counter(
            deployment.call(
                entry,
                path,
                method='POST' if body else 'GET',
                body=body,
                deadline_ms=_DEADLINE_MS,
            ).status
            for _ in range(times)
        )

    jobs = [('/upload/x', _BODY, _UPLOADS)] * _UPLOADERS
    jobs += [('/find/x', b'', _SMALL_CALLS)] * _SMALL_CALLERS
    with ThreadPoolExecutor(len(jobs)) as pool:
        statuses = list(pool.map(lambda job: send(*job), jobs))
    uploads = sum(statuses[:_UPLOADERS], Counter())
    small_calls = sum(statuses[_UPLOADERS:], Counter())
    assert uploads == {200: _UPLOADERS * _UPLOADS}
    assert small_calls == {200: _SMALL_CALLERS * _SMALL_CALLS}
    assert _state(entry, 'bodies_sent') == _UPLOADERS * _UPLOADS
    assert _state(entry, 'bodies_given_up') == 0
    assert _state(entry, 'body_bytes_held') == 0
    assert _state(files, 'body_bytes_held') == 0
    log = (deployment.folder / f'{entry.name}.log').read_text(encoding='utf-8')
    assert 'silent' not in log
