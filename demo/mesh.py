"""Demo of the platform deployment: a zone leaves service and returns."""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
import time
import tomllib
from collections import Counter
from pathlib import Path
from threading import Event, Thread
from typing import Any

from demo.mesh_harness import MeshDeployment, running, wait_until

_PHASE = 5.0  # seconds of calls in each phase
_CALLERS = 8  # threads
_PAUSE = 0.01  # seconds between the calls of one caller
_WORK_MS = 40  # service time of each request


def main() -> int:
    """Run the demo and return 1 if a call failed."""
    parser = argparse.ArgumentParser(prog='demo.mesh')
    parser.add_argument('--deployment', type=Path, required=True)
    options = parser.parse_args()
    document = tomllib.loads(options.deployment.read_text(encoding='utf-8'))
    with tempfile.TemporaryDirectory() as folder:
        with running(Path(folder)) as deployment:
            statuses_by_phase = _run(deployment, document)
    for phase, statuses in statuses_by_phase.items():
        sys.stdout.write(f'{phase:24} {dict(sorted(statuses.items()))}\n')
    sys.stdout.write(f'{json.dumps(statuses_by_phase)}\n')
    return int(
        any(set(statuses) != {200} for statuses in statuses_by_phase.values())
    )


def _run(
    deployment: MeshDeployment,
    document: dict[str, Any],
) -> dict[str, Counter[int]]:
    zones = document['availability_zones']
    services = [one['name'] for one in document['services']]
    places = [
        one['name']
        for one in document['services']
        for _ in range(one['targets'])
    ]
    for index, service in enumerate(places):
        deployment.add(zones[index % len(zones)], service)
    deployment.declare([_route(service) for service in services])
    paths = [f'/{service}/x' for service in services]
    wait_until(lambda: _is_serving(deployment, paths), 'all nodes serve')
    statuses_by_phase: dict[str, Counter[int]] = {}
    statuses_by_phase['all zones'] = _call_for(deployment, paths)
    for phase in ('out', 'back'):
        deployment.set_zone_out(zones[0], is_out=phase == 'out')
        statuses_by_phase[f'{zones[0]} {phase}'] = _call_for(deployment, paths)
    return statuses_by_phase


def _route(service: str) -> dict[str, Any]:
    return {
        'name': f'r-{service}',
        'prefix': f'/{service}/',
        'route_type': 'idempotent',
        'timeout_ms': 2000,
        'target_latency_ms': 500,
        'service': service,
        'max_attempts': 2,
    }


def _is_serving(deployment: MeshDeployment, paths: list[str]) -> bool:
    return all(
        deployment.is_ready(vm) and deployment.call(vm, path).status == 200
        for vm in deployment.vms
        for path in paths
    )


def _call_for(
    deployment: MeshDeployment,
    paths: list[str],
) -> Counter[int]:
    statuses: Counter[int] = Counter()
    is_over = Event()

    def call(first: int) -> None:
        number = first
        while not is_over.is_set():
            vm = deployment.vms[number % len(deployment.vms)]
            path = f'{paths[number % len(paths)]}?work={_WORK_MS}'
            statuses[deployment.call(vm, path).status] += 1
            number += 1
            time.sleep(_PAUSE)

    threads = [Thread(target=call, args=(first,)) for first in range(_CALLERS)]
    for thread in threads:
        thread.start()
    time.sleep(_PHASE)
    is_over.set()
    for thread in threads:
        thread.join()
    return statuses


if __name__ == '__main__':
    sys.exit(main())
