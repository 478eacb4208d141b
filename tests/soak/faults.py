"""The faults that a soak test injects and then removes."""

from __future__ import annotations

import signal
import time
from contextlib import contextmanager
from dataclasses import dataclass
from threading import Lock
from typing import TYPE_CHECKING, Any

from demo.mesh_harness import wait_until
from demo.program import BIN
from tests.soak.proxy import NetworkFault

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from random import Random

    from demo.mesh_harness import MeshDeployment, Vm
    from tests.soak.network import Network

_SHORT = 0.6  # seconds; below the peers' failure detection timeout
_LONG = 3.0  # seconds; above that timeout
_COLD = 2.5  # seconds for which a target stays cold
_STOP_TIMEOUT = 7.0  # seconds for the graceful stop of a node or target
_STATED = 8.0  # seconds for which a target states a rate limit
_STATED_RATES = (0.0, 1.0, 4.0)  # requests a second
_SKEWS = (-3600.0, -5.0, 5.0, 3600.0)  # seconds, offsets of a clock
_STORE = 'store'
_ALL_PATHS = ('peers', 'store', 'target')


@dataclass(frozen=True)
class Disturbance:
    """The period of a fault of a VM or the store, unplanned by operators."""

    subject: str
    started_at: float
    ended_at: float


class Faults:
    """Injects random faults; several threads may inject at once."""

    def __init__(
        self,
        deployment: MeshDeployment,
        network: Network,
        change_routes: Callable[[], None],
    ) -> None:
        self.log: list[str] = []
        self.evacuations: list[tuple[str, float, float]] = []
        self.disturbances: list[Disturbance] = []
        self.restarts: list[Disturbance] = []
        self._deployment = deployment
        self._network = network
        self._change_routes = change_routes
        self._locks = {vm.name: Lock() for vm in deployment.vms}
        self._locks[_STORE] = Lock()
        self._locks.update({zone: Lock() for zone in 'abc'})
        # Faults of a VM's processes overlap with what its target states.
        self._locks.update({_stated(vm): Lock() for vm in deployment.vms})
        self._kinds: list[Callable[[Random], None]] = [
            self.kill_node,
            self.pause_node,
            self.stop_node,
            self.kill_target,
            self.replace_target,
            self.slow_target,
            self.limit_target,
            self.state_departure,
            self.disrupt_store,
            self.forget_history,
            self.forget_nodes,
            self.restore_store,
            self.evacuate,
            self.change_configuration,
            self.partition_node,
            self.delay_node,
            self.reset_connections,
            self.silence_connections,
            self.step_clock,
        ]

    def inject(self, random: Random) -> None:
        """Inject one random fault and remove it again."""
        kind = random.choice(self._kinds)
        kind(random)

    def is_undisturbed(
        self, vm: str, started_at: float, ended_at: float
    ) -> bool:
        """Return whether a VM and the store had no unplanned fault."""
        return not any(
            one.started_at < ended_at and one.ended_at > started_at
            for one in self.disturbances
            if one.subject in {vm, _STORE}
        )

    def has_kept_state(
        self, vm: str, started_at: float, ended_at: float
    ) -> bool:
        """Return whether a VM's node had no fault and was not restarted."""
        return not any(
            one.started_at < ended_at and one.ended_at > started_at
            for one in (*self.disturbances, *self.restarts)
            if one.subject == vm
        )

    def kill_node(self, random: Random) -> None:
        """Kill a node and restart it."""
        with self._disturbed_vm(random, 'kill_node') as vm:
            self._deployment.restart_node(vm)

    def pause_node(self, random: Random) -> None:
        """Suspend the process of a node for a while."""
        with self._disturbed_vm(random, 'pause_node') as vm:
            if vm.node is not None:
                vm.node.send(signal.SIGSTOP)
                time.sleep(random.choice([_SHORT, _LONG]))
                vm.node.send(signal.SIGCONT)

    def stop_node(self, random: Random) -> None:
        """Stop a node gracefully and restart it."""
        with self._locked_vm(random, 'stop_node') as vm:
            self._restart(vm)

    def step_clock(self, random: Random) -> None:
        """Restart a node with a wrong clock."""
        skew = random.choice(_SKEWS)
        with self._locked_vm(random, f'step_clock {skew}') as vm:
            python = str(BIN / 'python')
            vm.command = [python, '-m', 'tests.soak.skewed', str(skew)]
            self._restart(vm)

    def kill_target(self, random: Random) -> None:
        """Kill a target and restart it."""
        with self._disturbed_vm(random, 'kill_target') as vm:
            if vm.target is not None:
                vm.target.kill()
            self._deployment.start_target(vm)

    def replace_target(self, random: Random) -> None:
        """Stop a target gracefully; start another one at its address."""
        with self._locked_vm(random, 'replace_target') as vm:
            if vm.target is not None:
                vm.target.send(signal.SIGTERM)
                vm.target.wait(_STOP_TIMEOUT)
            self._deployment.start_target(vm)

    def slow_target(self, random: Random) -> None:
        """Slow a target down for a while, as a cold or a warm one."""
        with self._locked_vm(random, 'slow_target') as vm:
            cold = random.choice([0, _COLD])
            self._deployment.change_target(vm, slowness=5, cold_seconds=cold)
            time.sleep(cold or _SHORT)
            self._deployment.change_target(vm)

    def limit_target(self, random: Random) -> None:
        """Let a target state a rate limit for a while."""
        vm = random.choice(self._deployment.vms)
        rate = random.choice(_STATED_RATES)
        is_probed = random.choice([False, True])
        with self._locks[_stated(vm)]:
            self._note(f'limit_target {rate} {is_probed} {vm.name}')
            self._deployment.change_target(
                vm, rate_limit=rate, probes_state_load_only=is_probed
            )
            time.sleep(_STATED)
            self._deployment.change_target(vm)

    def state_departure(self, random: Random) -> None:
        """Let a target state that it leaves, then replace it."""
        with self._locked_vm(random, 'state_departure') as vm:
            self._deployment.change_target(
                vm, states_leaving=True, probes_state_load_only=True
            )
            time.sleep(_LONG)
            if vm.target is not None:
                vm.target.send(signal.SIGTERM)
                vm.target.wait(_STOP_TIMEOUT)
            self._deployment.start_target(vm)

    def disrupt_store(self, random: Random) -> None:
        """Make the store fail or respond late for a while."""
        behaviour: dict[str, Any] = random.choice(
            [
                {'refuses': True},
                {'is_silent': True},
                {'delay_ms': 300},
                {'loses_writes': True, 'late_ms': 700},
            ],
        )
        with self._disturbed_store(_STORE, f'disrupt_store {behaviour}'):
            self._deployment.set_store_faults(**behaviour)
            time.sleep(random.choice([_SHORT, _LONG]))
            self._deployment.set_store_faults()

    def forget_history(self, _: Random) -> None:
        """Make the store compact its history."""
        with self._disturbed_store(_STORE, 'forget_history'):
            self._deployment.drop_store_history()

    def forget_nodes(self, _: Random) -> None:
        """Delete the store entries by which nodes discover each other."""
        with self._disturbed_store(_STORE, 'forget_nodes'):
            self._deployment.delete_node_entries()

    def restore_store(self, random: Random) -> None:
        """Restore the store from a copy, after an outage; at times twice."""
        age, down = random.uniform(0, _LONG), random.choice([0.1, _SHORT, 2.0])
        rewrite_ms = random.choice([0, 300, 1500])
        restores = random.choice([1, 1, 2])
        behaviour = random.choice([{'refuses': True}, {'is_silent': True}])
        what = f'{restores} x, {age:.1f} s old, {down} s, {rewrite_ms} ms'
        self._deployment.copy_store()
        time.sleep(age)
        with self._disturbed_store(_STORE, f'restore_store {what}'):
            for _ in range(restores):
                self._deployment.set_store_faults(**behaviour)
                time.sleep(down)
                self._deployment.restore_store(rewrite_ms)
                self._deployment.set_store_faults()

    def evacuate(self, random: Random) -> None:
        """Evacuate a zone for longer than the bound, then restore it."""
        zone = random.choice('abc')
        with self._locks[zone]:
            self._note(f'evacuate {zone}')
            self._deployment.set_zone_out(zone, is_out=True)
            started_at = time.time()
            time.sleep(_LONG)
            self.evacuations.append((zone, started_at, time.time()))
            self._deployment.set_zone_out(zone, is_out=False)

    def change_configuration(self, random: Random) -> None:
        """Write several configuration versions in quick succession."""
        self._note('change_configuration')
        for _ in range(random.randrange(1, 4)):
            self._change_routes()

    def partition_node(self, random: Random) -> None:
        """Partition a node from its peers or the store, or in one direction."""
        listeners = random.choice([('peers',), ('store',), ('peers', 'store')])
        fault = random.choice(
            [
                NetworkFault(holds_to=True, holds_from=True),
                NetworkFault(holds_to=True),
                NetworkFault(holds_from=True),
                NetworkFault(resets=True),
            ]
        )
        with self._disturbed_vm(
            random, f'partition_node {listeners} {fault}'
        ) as vm:
            self._network.inject(vm.name, listeners, fault)
            time.sleep(random.choice([_SHORT, _LONG]))
            self._network.heal(vm.name, listeners)

    def delay_node(self, random: Random) -> None:
        """Delay all traffic of a node for a while."""
        fault = NetworkFault(delay=random.choice([0.02, 0.3]))
        with self._disturbed_vm(random, f'delay_node {fault}') as vm:
            self._network.inject(vm.name, _ALL_PATHS, fault)
            time.sleep(_LONG)
            self._network.heal(vm.name, _ALL_PATHS)

    def reset_connections(self, random: Random) -> None:
        """Reset every connection of a node."""
        with self._disturbed_vm(random, 'reset_connections') as vm:
            self._network.reset(vm.name, _ALL_PATHS)

    def silence_connections(self, random: Random) -> None:
        """Stop all traffic on the open connections of a node, for good."""
        listener = random.choice(_ALL_PATHS)
        with self._disturbed_vm(random, f'silence {listener}') as vm:
            self._network.silence(vm.name, [listener])

    def _restart(self, vm: Vm) -> None:
        started_at = time.time()
        self._stop(vm)
        self._deployment.restart_node(vm)
        self.restarts.append(Disturbance(vm.name, started_at, time.time()))

    def _stop(self, vm: Vm) -> None:
        # A newly started process has not installed its signal handlers yet.
        wait_until(
            lambda: self._deployment.is_listening(vm),
            f'{vm.name} has started',
        )
        self._deployment.stop_node(vm)
        if vm.node is not None:
            code = vm.node.wait(_STOP_TIMEOUT)
            if code:
                raise AssertionError(f'{vm.name} exited with code {code}')

    def _note(self, what: str) -> None:
        self.log.append(f'{time.time():.2f} {what}')

    @contextmanager
    def _locked_vm(self, random: Random, what: str) -> Iterator[Vm]:
        """Lock a random VM: one fault at a time controls its processes."""
        vm = random.choice(self._deployment.vms)
        with self._locks[vm.name]:
            self._note(f'{what} {vm.name}')
            yield vm

    @contextmanager
    def _disturbed_vm(self, random: Random, what: str) -> Iterator[Vm]:
        with self._locked_vm(random, what) as vm:
            started_at = time.time()
            try:
                yield vm
            finally:
                self.disturbances.append(
                    Disturbance(vm.name, started_at, time.time()),
                )

    @contextmanager
    def _disturbed_store(self, subject: str, what: str) -> Iterator[None]:
        with self._locks[subject]:
            self._note(what)
            started_at = time.time()
            yield
            self.disturbances.append(
                Disturbance(subject, started_at, time.time()),
            )


def _stated(vm: Vm) -> str:
    """Return the name of the lock of what a VM's target states."""
    return f'{vm.name}/stated'
