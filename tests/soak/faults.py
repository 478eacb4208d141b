"""The faults that a soak injects, each of which it ends again."""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from demo.mesh_harness import MeshDeployment, Vm

_SHORT = 0.6  # seconds; below the time in which peers give a node up
_LONG = 3.0  # seconds; beyond it
_GRACE = 7.0  # seconds until a node that was asked to stop has ended


class Faults:
    """Draws faults and injects one at a time; series may overlap."""

    def __init__(
        self,
        deployment: MeshDeployment,
        random: Random,
        change_routes: Callable[[], None],
    ) -> None:
        self.log: list[str] = []
        self.evacuations: list[tuple[str, float, float]] = []
        self._deployment = deployment
        self._random = random
        self._change_routes = change_routes
        self._kinds: list[Callable[[], None]] = [
            self.kill_node,
            self.pause_node,
            self.stop_node,
            self.kill_target,
            self.replace_target,
            self.slow_target,
            self.harm_store,
            self.forget_history,
            self.evacuate,
            self.change_configuration,
        ]

    def inject(self) -> None:
        """Inject one fault and end it."""
        kind = self._random.choice(self._kinds)
        self.log.append(f'{time.time():.2f} {kind.__name__}')
        kind()

    def kill_node(self) -> None:
        """Kill a node and start it again."""
        self._deployment.restart_node(self._vm())

    def pause_node(self) -> None:
        """Stop a node's process for a while."""
        vm = self._vm()
        if vm.node is not None:
            vm.node.send(signal.SIGSTOP)
            time.sleep(self._random.choice([_SHORT, _LONG]))
            vm.node.send(signal.SIGCONT)

    def stop_node(self) -> None:
        """Ask a node to stop, wait for its end and start it again."""
        vm = self._vm()
        self._deployment.stop_node(vm)
        if vm.node is not None:
            assert vm.node.wait(_GRACE) == 0, f'{vm.name} did not end well'
        self._deployment.restart_node(vm)

    def kill_target(self) -> None:
        """Kill a target and start it again."""
        vm = self._vm()
        if vm.target is not None:
            vm.target.kill()
        self._deployment.start_target(vm)

    def replace_target(self) -> None:
        """Let a target leave, and start another one at its address."""
        vm = self._vm()
        if vm.target is not None:
            vm.target.send(signal.SIGTERM)
            vm.target.wait(_GRACE)
        self._deployment.start_target(vm)

    def slow_target(self) -> None:
        """Slow a target, cold or not, for a while."""
        vm = self._vm()
        cold = self._random.choice([0, 2])
        self._deployment.change_target(vm, slowness=5, cold_seconds=cold)
        time.sleep(_SHORT)
        self._deployment.change_target(vm)

    def harm_store(self) -> None:
        """Let the store misbehave for a while."""
        behaviour: dict[str, Any] = self._random.choice(
            [
                {'refuses': True},
                {'is_silent': True},
                {'delay_ms': 300},
                {'loses_writes': True, 'late_ms': 700},
            ],
        )
        self._deployment.misbehave(**behaviour)
        time.sleep(self._random.choice([_SHORT, _LONG]))
        self._deployment.misbehave()

    def forget_history(self) -> None:
        """Let the store forget its history."""
        self._deployment.store_forgets()

    def evacuate(self) -> None:
        """Take a zone out, hold it out beyond the bound, and take it back."""
        zone = self._random.choice('abc')
        self._deployment.operate('PUT', f'op/evacuate/{zone}', b'{}')
        began = time.time()
        time.sleep(_LONG)
        self.evacuations.append((zone, began, time.time()))
        self._deployment.operate('DELETE', f'op/evacuate/{zone}')

    def change_configuration(self) -> None:
        """Write versions in quick succession."""
        for _ in range(self._random.randrange(1, 4)):
            self._change_routes()

    def _vm(self) -> Vm:
        return self._random.choice(self._deployment.vms)
