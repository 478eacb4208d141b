"""The ``bluebellsill-standin`` program, for tests and the demo."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from msgspec import ValidationError, json

from bluebellsill import __version__
from bluebellsill._signals import handle_signals
from bluebellsill.standins.behaviour import Behaviour
from bluebellsill.standins.kv_store import SimulatedKvStore
from bluebellsill.standins.mesh_target import (
    SimulatedMeshTarget,
    SimulatedMeshTargetSettings,
)
from bluebellsill.standins.store import SimulatedStore
from bluebellsill.standins.target import SimulatedTarget
from bluebellsill.streams import Address

if TYPE_CHECKING:
    from collections.abc import Callable

    from circuits import BaseComponent

    from bluebellsill.reactor import Reactor

__all__ = ('main',)

_LOOPBACK = '127.0.0.1:0'


class _StoreCommand(Command):
    name = 'store'
    description = "Simulate the platform's key-value store."
    options = [
        option(
            'listen',
            None,
            'The address to listen on.',
            flag=False,
            default=_LOOPBACK,
        ),
    ]

    def handle(self) -> int:
        """Run the store until a signal stops it."""
        store = SimulatedStore(Address.parse(self.option('listen')))
        _announce(store.address)
        _run(store, store.reactor, store.stop)
        return 0


class _TargetCommand(Command):
    name = 'target'
    description = 'Simulate one target.'
    options = [
        option(
            'listen',
            None,
            'The address to listen on.',
            flag=False,
            default=_LOOPBACK,
        ),
        option('node', None, 'The target listener of its node.', flag=False),
        option('service', None, 'The service of the target.', flag=False),
        option(
            'seed',
            None,
            'The random seed of the service times.',
            flag=False,
            default='1',
        ),
        option(
            'behaviour',
            None,
            'The behaviour as a JSON object, see the documentation.',
            flag=False,
            default='{}',
        ),
    ]

    def handle(self) -> int:
        """Run the target until a signal stops it."""
        try:
            behaviour = json.decode(self.option('behaviour'), type=Behaviour)
        except ValidationError as error:
            self.line_error(f'--behaviour: {error}')
            return 2
        node = self.option('node')
        target = SimulatedTarget(
            Address.parse(self.option('listen')),
            Address.parse(node) if node else None,
            self.option('service') or '',
            behaviour,
            int(self.option('seed')),
        )
        _announce(target.address)
        on_stop = target.leave if node else target.stop
        _run(target, target.reactor, on_stop)
        return 0


class _KvStoreCommand(Command):
    name = 'kv-store'
    description = "Simulate the platform's metadata store."
    options = [
        option(
            'listen',
            None,
            'The address to listen on.',
            flag=False,
            default=_LOOPBACK,
        ),
    ]

    def handle(self) -> int:
        """Run the store until a signal stops it."""
        store = SimulatedKvStore(Address.parse(self.option('listen')))
        _announce(store.address)
        _run(store, store.reactor, store.stop)
        return 0


class _MeshTargetCommand(Command):
    name = 'mesh-target'
    description = 'Simulate one target of the platform.'
    options = [
        option(
            'listen',
            None,
            'The address to listen on.',
            flag=False,
            default=_LOOPBACK,
        ),
        option('settings', None, 'The settings as a JSON object.', flag=False),
    ]

    def handle(self) -> int:
        """Run the target until a signal stops it."""
        text = self.option('settings') or '{}'
        try:
            settings = json.decode(text, type=SimulatedMeshTargetSettings)
        except ValidationError as error:
            self.line_error(f'--settings: {error}')
            return 2
        address = Address.parse(self.option('listen'))
        target = SimulatedMeshTarget(address, settings)
        _announce(target.address)
        _run(target, target.reactor, target.leave)
        return 0


def _announce(address: Address) -> None:
    line = json.encode({'listening': str(address)}).decode()
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


def _run(
    component: BaseComponent,
    reactor: Reactor,
    on_stop: Callable[[], None],
) -> None:
    # Deferred: circuits installs its own signal handlers on start and would
    # replace these.
    reactor.timers.after(0, lambda: handle_signals(reactor, on_stop))
    component.run()


def main() -> None:
    """Run the program."""
    application = Application('bluebellsill-standin', __version__)
    application.add(_StoreCommand())
    application.add(_TargetCommand())
    application.add(_KvStoreCommand())
    application.add(_MeshTargetCommand())
    application.run()
