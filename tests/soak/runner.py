"""Runs a soak test from a seed and checks the guarantees."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from threading import Event, Thread
from typing import TYPE_CHECKING

from demo.mesh_harness import MeshDeployment, running, wait_until
from tests.soak.callers import Caller
from tests.soak.checks import violations
from tests.soak.faults import Faults
from tests.soak.network import Network
from tests.soak.teams import SURGE_CALLERS, Teams
from tests.soak.versions import Versions

if TYPE_CHECKING:
    from pathlib import Path

_CALLERS = 6
_INJECTORS = 2  # threads that inject faults
_MAX_PAUSE = 1.0  # seconds between two faults of a thread
_LINGER = 3.5  # seconds for which a departing target still serves
_RECOVERY_BOUND = 15.0  # seconds, as the platform's


@dataclass
class Outcome:
    """The result of a soak test.

    Attributes:
        seed: The seed of the run.
        statuses: How often callers got each status.
        injected: The faults that were injected.
        violations: The guarantees that were violated.
    """

    seed: int
    statuses: Counter[int] = field(default_factory=Counter)
    injected: list[str] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)


class Soak:
    """One deployment under load and faults."""

    def __init__(
        self,
        deployment: MeshDeployment,
        network: Network,
        seed: int,
        targets: int,
    ) -> None:
        self._deployment = deployment
        self._seed = seed
        self._is_over = Event()
        deployment.linger = _LINGER
        for _ in range(targets):
            for zone in 'abc':
                deployment.add(zone, 'shop')
                deployment.add(zone, 'pay')
        self._teams = Teams(seed, self._is_over)
        self._versions = Versions(deployment, self._teams, self._is_over)
        self._faults = Faults(deployment, network, self._versions.declare)
        self._callers = [
            Caller(
                deployment,
                f's{seed}c{index}',
                seed + index,
                self._is_over,
                self._teams.pick,
            )
            for index in range(_CALLERS)
        ]
        if self._teams.exist:
            self._callers += [
                Caller(
                    deployment,
                    f's{seed}l{index}',
                    -seed - index,
                    self._is_over,
                    lambda _: self._teams.limited,
                    self._teams.surge_pause,
                )
                for index in range(SURGE_CALLERS)
            ]

    def run(self, seconds: float) -> Outcome:
        """Inject faults for some seconds, wait for recovery, and check."""
        self._versions.declare()
        wait_until(self._is_serving, 'all nodes serve')
        workers = [self._versions, *self._callers]
        for one in workers:
            one.start()
        self._teams.start(self._versions.rewrite)
        outcome = Outcome(self._seed)
        try:
            self._inject(seconds, outcome)
        finally:
            self._is_over.set()
            for one in (*workers, self._teams):
                one.join()
        calls = [call for caller in self._callers for call in caller.calls]
        outcome.statuses = Counter(call.status for call in calls)
        outcome.injected = self._faults.log
        outcome.violations += self._versions.violations
        outcome.violations += violations(
            self._deployment, self._faults, calls, self._teams
        )
        return outcome

    def _inject(self, seconds: float, outcome: Outcome) -> None:
        ends_at = time.monotonic() + seconds

        def inject(index: int) -> None:
            random = Random(self._seed * _INJECTORS + index)
            while time.monotonic() < ends_at:
                try:
                    self._faults.inject(random)
                except Exception as error:  # noqa: BLE001
                    outcome.violations.append(
                        f'{type(error).__name__}: {error}'
                    )
                time.sleep(random.uniform(0, _MAX_PAUSE))

        threads = [
            Thread(target=inject, args=(index,)) for index in range(_INJECTORS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        try:
            wait_until(
                self._is_serving, 'all nodes serve again', _RECOVERY_BOUND
            )
        except TimeoutError as error:
            outcome.violations.append(str(error))

    def _is_serving(self) -> bool:
        newest = f'/v{self._versions.newest}/x'
        headers = self._teams.steady_key().headers
        return all(
            self._deployment.is_ready(vm)
            and self._deployment.call(vm, path, headers=headers).status == 200
            for vm in self._deployment.vms
            for path in ('/shop/x', newest)
        )


def soak(
    folder: Path, seed: int, seconds: float, *, targets: int = 1
) -> Outcome:
    """Run one soak test in an empty folder.

    Args:
        folder: Where settings and logs are written.
        seed: Seeds the random faults and calls.
        seconds: How long faults are injected.
        targets: How many targets each service has in each zone.
    """
    network = Network()
    try:
        with running(folder, network.reach) as deployment:
            return Soak(deployment, network, seed, targets).run(seconds)
    finally:
        network.close()
