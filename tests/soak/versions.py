"""Checks that no node reverts to an older version of the routes."""

from __future__ import annotations

import time
from threading import Event, Lock, Thread
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from demo.mesh_harness import MeshDeployment
    from tests.soak.teams import Teams

_PERIOD = 0.05  # seconds between two polls of all nodes
_NOT_FOUND = 404


class Versions:
    """Declares route versions, each with a route of its own, and polls them."""

    def __init__(
        self, deployment: MeshDeployment, teams: Teams, is_over: Event
    ) -> None:
        self.newest = 0
        self.violations: list[str] = []
        self._deployment = deployment
        self._teams = teams
        self._is_over = is_over
        self._lock = Lock()
        self._thread = Thread(target=self._run)

    def start(self) -> None:
        """Start to poll."""
        self._thread.start()

    def join(self) -> None:
        """Wait for the last poll."""
        self._thread.join()

    def declare(self) -> None:
        """Declare the next version."""
        with self._lock:
            self._write(self.newest + 1)
            self.newest += 1

    def rewrite(self) -> None:
        """Write the same routes again, with the keys that are due now."""
        with self._lock:
            self._write(self.newest)

    def _write(self, version: int) -> None:
        rule = {
            'timeout_ms': 1500,
            'target_latency_ms': 500,
            'priority': 1,
            'max_attempts': 2,
        }
        kinds = {'shop': 'idempotent', 'pay': 'non_idempotent'}
        routes = [
            {
                **rule,
                'name': f'r-{service}',
                'prefix': f'/{service}/',
                'route_type': kind,
                'service': service,
            }
            for service, kind in kinds.items()
        ]
        extra = {**routes[0], 'name': 'r-v', 'prefix': f'/v{version}/'}
        self._deployment.declare([*routes, extra], **self._teams.fields())

    def _run(self) -> None:
        """Report nodes that had a version in force and then dropped it."""
        confirmed: dict[str, tuple[int, int]] = {}
        headers = self._teams.steady_key().headers
        while not self._is_over.is_set():
            for vm in self._deployment.vms:
                pid = vm.node.pid if vm.node else 0
                version = self.newest
                status = self._deployment.call(
                    vm, f'/v{version}/x', headers=headers
                ).status
                process_version = (pid, version)
                if version != self.newest or vm.node is None:
                    continue
                if status not in {0, _NOT_FOUND, 503} and vm.node.pid == pid:
                    confirmed[vm.name] = process_version
                elif (
                    status == _NOT_FOUND
                    and confirmed.get(vm.name) == process_version
                ):
                    self.violations.append(
                        f'{vm.name} reverted from version {version}'
                    )
            time.sleep(_PERIOD)
