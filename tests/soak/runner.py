"""Runs a soak with a seed and checks what callers and targets have seen."""

from __future__ import annotations

import json
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from threading import Event, Thread
from typing import TYPE_CHECKING, Any

from demo.mesh_harness import MeshDeployment, running, wait_until
from tests.soak.faults import Faults

if TYPE_CHECKING:
    from pathlib import Path

_CALLERS = 6
_PAUSE = 0.02  # seconds between the calls of one caller
_HEAL = 15.0  # seconds, the platform's bound for a recovery
# Seconds from an evacuation until its zone gets nothing: the bound for a
# stable store is 5; here no machine is slow, and two rounds of gossip do.
_EVACUATED = 2.0
_PROMISES = frozenset((408, 421, 429, 503))  # not run, and never will


@dataclass
class Outcome:
    """What a soak has seen; ``faults`` are broken promises."""

    seed: int
    statuses: Counter[int] = field(default_factory=Counter)
    injected: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


@dataclass(frozen=True)
class _Seen:
    name: str
    method: str
    status: int
    body: bytes


class Soak:
    """One deployment under load and faults."""

    def __init__(self, deployment: MeshDeployment, seed: int) -> None:
        self._deployment = deployment
        self._seed = seed
        self._random = Random(seed)
        self._seen: list[_Seen] = []
        self._is_over = Event()
        self._versions = 0
        self._faults = Faults(deployment, self._random, self._declare)

    def run(self, seconds: float) -> Outcome:
        """Inject faults for some seconds, heal, and check."""
        for zone in 'abc':
            self._deployment.add(zone, 'shop')
            self._deployment.add(zone, 'pay')
        self._declare()
        wait_until(self._is_serving, 'all nodes serve')
        threads = [
            Thread(target=self._call, args=(index,))
            for index in range(_CALLERS)
        ]
        for thread in threads:
            thread.start()
        outcome = Outcome(self._seed)
        try:
            self._inject(seconds, outcome)
        finally:
            self._is_over.set()
            for thread in threads:
                thread.join()
        self._check(outcome)
        return outcome

    def _inject(self, seconds: float, outcome: Outcome) -> None:
        ends_at = time.monotonic() + seconds
        try:
            while time.monotonic() < ends_at:
                self._faults.inject()
                time.sleep(self._random.uniform(0, 1))
            wait_until(self._is_serving, 'all nodes serve again', _HEAL)
        except (AssertionError, TimeoutError) as error:
            outcome.faults.append(f'{type(error).__name__}: {error}')
        outcome.injected = self._faults.log

    def _declare(self) -> None:
        self._versions += 1
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
        extra = {**routes[0], 'name': 'r-v', 'prefix': f'/v{self._versions}/'}
        self._deployment.declare([*routes, extra])

    def _is_serving(self) -> bool:
        newest = f'/v{self._versions}/x'
        return all(
            self._deployment.is_ready(vm)
            and self._deployment.call(vm, path).status == 200
            for vm in self._deployment.vms
            for path in ('/shop/x', newest)
        )

    def _call(self, index: int) -> None:
        random = Random(self._seed * _CALLERS + index)
        count = 0
        while not self._is_over.is_set():
            count += 1
            vm = random.choice(self._deployment.vms)
            is_pay = random.random() < 0.5
            method = 'POST' if is_pay else 'GET'
            service = 'pay' if is_pay else 'shop'
            name = f's{self._seed}c{index}n{count}'
            path = f'/{service}/x?work={random.choice([1, 20, 100])}'
            reply = self._deployment.call(vm, path, method=method, name=name)
            seen = _Seen(name, method, reply.status, reply.body)
            self._seen.append(seen)
            time.sleep(_PAUSE)

    def _check(self, outcome: Outcome) -> None:
        runs = [
            json.loads(line)
            for line in self._deployment.ledger.read_text().splitlines()
        ]
        times = Counter(run['id'] for run in runs)
        for seen in self._seen:
            outcome.statuses[seen.status] += 1
            outcome.faults += _broken_promises(seen, times[seen.name])
        outcome.faults += self._late_runs(runs)

    def _late_runs(self, runs: list[dict[str, Any]]) -> list[str]:
        return [
            f'{run["id"]} ran in {zone} {run["at"] - began:.2f} s after it was out'
            for zone, began, ended in self._faults.evacuations
            for run in runs
            if run['zone'] == zone and began + _EVACUATED < run['at'] < ended
        ]


def _broken_promises(seen: _Seen, runs: int) -> list[str]:
    broken = []
    if seen.method == 'POST' and runs > 1:
        broken.append(f'{seen.name} ran {runs} times')
    if seen.method == 'POST' and seen.status in _PROMISES and runs:
        broken.append(f'{seen.name} got {seen.status} and ran')
    if seen.status == 200:
        if not runs:
            broken.append(f'{seen.name} got 200 and never ran')
        if json.loads(seen.body)['id'] != seen.name:
            broken.append(f'{seen.name} got the answer {seen.body!r}')
    return broken


def soak(folder: Path, seed: int, seconds: float) -> Outcome:
    """Run one soak in a folder that is empty."""
    with running(folder) as deployment:
        return Soak(deployment, seed).run(seconds)
