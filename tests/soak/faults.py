"""The faults that a soak injects, each of which it ends again."""

from __future__ import annotations

import signal
import time
from contextlib import contextmanager
from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING, Any

from demo.mesh_harness import wait_until
from demo.program import BIN
from tests.soak.proxy import Harm

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from demo.mesh_harness import MeshDeployment, Vm
    from tests.soak.network import Network

_SHORT = 0.6  # seconds; below the time in which peers give a node up
_LONG = 3.0  # seconds; beyond it
_COLD = 2.5  # seconds for which a target stays cold
_GRACE = 7.0  # seconds until a node that was asked to stop has ended
_SKEWS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds that a clock is off
_STORE = 'store'
_ALL_PATHS = ('peers', 'store', 'target')


@dataclass(frozen=True)
class Disturbance:
    """When a VM or the store was harmed, by no plan of the operators."""

    subject: str
    began: float
    ended: float


class Faults:
    """Draws faults and injects one at a time; several may run at once."""

    def __init__(
        self,
        deployment: MeshDeployment,
        network: Network,
        change_routes: Callable[[], None],
    ) -> None:
        self.log: list[str] = []
        self.evacuations: list[tuple[str, float, float]] = []
        self.disturbances: list[Disturbance] = []
        self._deployment = deployment
        self._network = network
        self._change_routes = change_routes
        self._locks = {vm.name: Lock() for vm in deployment.vms}
        self._locks[_STORE] = Lock()
        self._locks.update({zone: Lock() for zone in 'abc'})
        self._kinds: list[Callable[[Random], None]] = [
            self.kill_node,
            self.pause_node,
            self.stop_node,
            self.kill_target,
            self.replace_target,
            self.slow_target,
            self.harm_store,
            self.forget_history,
            self.forget_nodes,
            self.evacuate,
            self.change_configuration,
            self.cut_node,
            self.delay_node,
            self.reset_connections,
            self.silence_connections,
            self.step_clock,
        ]

    def inject(self, random: Random) -> None:
        """Inject one fault and end it."""
        kind = random.choice(self._kinds)
        kind(random)

    def is_calm(self, vm: str, began: float, ended: float) -> bool:
        """Return whether nothing unplanned harmed a VM or the store."""
        return not any(
            one.began < ended and one.ended > began
            for one in self.disturbances
            if one.subject in {vm, _STORE}
        )

    def kill_node(self, random: Random) -> None:
        """Kill a node and start it again."""
        with self._disturbed(random, 'kill_node') as vm:
            self._deployment.restart_node(vm)

    def pause_node(self, random: Random) -> None:
        """Stop a node's process for a while."""
        with self._disturbed(random, 'pause_node') as vm:
            if vm.node is not None:
                vm.node.send(signal.SIGSTOP)
                time.sleep(random.choice([_SHORT, _LONG]))
                vm.node.send(signal.SIGCONT)

    def stop_node(self, random: Random) -> None:
        """Ask a node to stop, wait for its end and start it again."""
        with self._one(random, 'stop_node') as vm:
            self._stop(vm)
            self._deployment.restart_node(vm)

    def step_clock(self, random: Random) -> None:
        """Start a node again with a clock that is off."""
        skew = random.choice(_SKEWS)
        with self._one(random, f'step_clock {skew}') as vm:
            self._stop(vm)
            python = str(BIN / 'python')
            vm.command = [python, '-m', 'tests.soak.skewed', str(skew)]
            self._deployment.restart_node(vm)

    def kill_target(self, random: Random) -> None:
        """Kill a target and start it again."""
        with self._disturbed(random, 'kill_target') as vm:
            if vm.target is not None:
                vm.target.kill()
            self._deployment.start_target(vm)

    def replace_target(self, random: Random) -> None:
        """Let a target leave, and start another one at its address."""
        with self._one(random, 'replace_target') as vm:
            if vm.target is not None:
                vm.target.send(signal.SIGTERM)
                vm.target.wait(_GRACE)
            self._deployment.start_target(vm)

    def slow_target(self, random: Random) -> None:
        """Slow a target, cold or not, for a while."""
        with self._one(random, 'slow_target') as vm:
            cold = random.choice([0, _COLD])
            self._deployment.change_target(vm, slowness=5, cold_seconds=cold)
            time.sleep(cold or _SHORT)
            self._deployment.change_target(vm)

    def harm_store(self, random: Random) -> None:
        """Let the store misbehave for a while."""
        behaviour: dict[str, Any] = random.choice(
            [
                {'refuses': True},
                {'is_silent': True},
                {'delay_ms': 300},
                {'loses_writes': True, 'late_ms': 700},
            ],
        )
        with self._noted(_STORE, f'harm_store {behaviour}'):
            self._deployment.misbehave(**behaviour)
            time.sleep(random.choice([_SHORT, _LONG]))
            self._deployment.misbehave()

    def forget_history(self, _: Random) -> None:
        """Let the store forget its history."""
        with self._noted(_STORE, 'forget_history'):
            self._deployment.store_forgets()

    def forget_nodes(self, _: Random) -> None:
        """Let the store lose the entries by which nodes find each other."""
        with self._noted(_STORE, 'forget_nodes'):
            self._deployment.store_forgets_nodes()

    def evacuate(self, random: Random) -> None:
        """Take a zone out, hold it out beyond the bound, and take it back."""
        zone = random.choice('abc')
        with self._locks[zone]:
            self._note(f'evacuate {zone}')
            self._deployment.set_zone_out(zone, is_out=True)
            began = time.time()
            time.sleep(_LONG)
            self.evacuations.append((zone, began, time.time()))
            self._deployment.set_zone_out(zone, is_out=False)

    def change_configuration(self, random: Random) -> None:
        """Write versions in quick succession."""
        self._note('change_configuration')
        for _ in range(random.randrange(1, 4)):
            self._change_routes()

    def cut_node(self, random: Random) -> None:
        """Cut a node from its peers, from the store, or one way only."""
        listeners = random.choice([('peers',), ('store',), ('peers', 'store')])
        harm = random.choice(
            [
                Harm(holds_to=True, holds_from=True),
                Harm(holds_to=True),
                Harm(holds_from=True),
                Harm(resets=True),
            ]
        )
        with self._disturbed(random, f'cut_node {listeners} {harm}') as vm:
            self._network.harm(vm.name, listeners, harm)
            time.sleep(random.choice([_SHORT, _LONG]))
            self._network.heal(vm.name, listeners)

    def delay_node(self, random: Random) -> None:
        """Let what goes to and from a node be late for a while."""
        harm = Harm(delay=random.choice([0.02, 0.3]))
        with self._disturbed(random, f'delay_node {harm}') as vm:
            self._network.harm(vm.name, _ALL_PATHS, harm)
            time.sleep(_LONG)
            self._network.heal(vm.name, _ALL_PATHS)

    def reset_connections(self, random: Random) -> None:
        """Reset every connection of a node."""
        with self._disturbed(random, 'reset_connections') as vm:
            self._network.reset(vm.name, _ALL_PATHS)

    def silence_connections(self, random: Random) -> None:
        """Let the open connections of a node go silent for good."""
        listener = random.choice(_ALL_PATHS)
        with self._disturbed(random, f'silence {listener}') as vm:
            self._network.silence(vm.name, [listener])

    def _stop(self, vm: Vm) -> None:
        # A process that has just been started has no signal handlers yet.
        wait_until(
            lambda: self._deployment.is_listening(vm),
            f'{vm.name} has started',
        )
        self._deployment.stop_node(vm)
        if vm.node is not None:
            code = vm.node.wait(_GRACE)
            if code:
                raise AssertionError(f'{vm.name} ended with {code}')

    def _note(self, what: str) -> None:
        self.log.append(f'{time.time():.2f} {what}')

    @contextmanager
    def _one(self, random: Random, what: str) -> Iterator[Vm]:
        """Hold one VM, so that no two faults start or stop its processes."""
        vm = random.choice(self._deployment.vms)
        with self._locks[vm.name]:
            self._note(f'{what} {vm.name}')
            yield vm

    @contextmanager
    def _disturbed(self, random: Random, what: str) -> Iterator[Vm]:
        with self._one(random, what) as vm:
            began = time.time()
            try:
                yield vm
            finally:
                self.disturbances.append(
                    Disturbance(vm.name, began, time.time()),
                )

    @contextmanager
    def _noted(self, subject: str, what: str) -> Iterator[None]:
        with self._locks[subject]:
            self._note(what)
            began = time.time()
            yield
            self.disturbances.append(
                Disturbance(subject, began, time.time()),
            )
