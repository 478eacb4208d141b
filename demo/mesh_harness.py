"""Runs a platform deployment as local processes on loopback."""

from __future__ import annotations

import http.client
import json
import os
import signal
import time
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from socket import create_server
from typing import TYPE_CHECKING, Any

from bluebellsill.platform.headers import DEADLINE, REQUEST_ID
from bluebellsill.platform.node_keys import NODE_PREFIX
from bluebellsill.platform.operator_keys import DOCUMENT_KEY, ZONE_PREFIX
from bluebellsill.platform.routing_document import HOSTS_FIELD, RULES_FIELD
from demo.program import Process

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator
    from pathlib import Path

_WAIT = 20.0  # seconds, the default timeout of a condition
_POLL = 0.05  # seconds between two checks of a condition
_HTTP_TIMEOUT = 5.0  # seconds
HOST = 'shop.example'
_LISTENERS = ('peers', 'callers', 'reports', 'ready', 'metrics', 'target')
_HOSTS = 250  # values of an octet in use, without the lowest and highest
_NETWORKS = _HOSTS * _HOSTS  # loopback networks, one per process


@dataclass
class Reply:
    """The response to a request; status 0 without a response."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


@dataclass
class Vm:
    """One VM, which runs a node and its target."""

    name: str
    zone: str
    service: str
    ports: dict[str, str]
    settings: Path
    command: list[str] = field(default_factory=list)
    version: str = 'v1'
    limits: dict[str, int] = field(default_factory=dict)
    node: Process | None = None
    target: Process | None = None


def wait_until(
    condition: Callable[[], bool], description: str, seconds: float = _WAIT
) -> None:
    """Wait until a condition holds, or raise an error that names it."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if condition():
            return
        time.sleep(_POLL)
    raise TimeoutError(f'{description}: did not hold within {seconds} s')


def fetch(
    address: str,
    method: str,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout: float = _HTTP_TIMEOUT,
) -> Reply:
    """Make one request on a new connection."""
    connection = http.client.HTTPConnection(address, timeout=timeout)
    try:
        connection.request(method, path, body or None, headers or {})
        response = connection.getresponse()
        lowered = {name.lower(): text for name, text in response.getheaders()}
        return Reply(response.status, lowered, response.read())
    except (OSError, http.client.HTTPException):
        return Reply(0)
    finally:
        connection.close()


class MeshDeployment:
    """A stand-in store, and VMs with a node and a stand-in target each."""

    def __init__(
        self,
        folder: Path,
        reach: Callable[[str, str, str], str] | None = None,
    ) -> None:
        """Start the store; logs and settings go to ``folder``.

        Args:
            folder: An empty folder.
            reach: Maps the name of a VM, the name of a listener and its
                address to the address that others connect to; None if they
                connect directly.
        """
        self.folder = folder
        self._reach = reach or _directly
        self.ledger = folder / 'ledger.jsonl'
        self.vms: list[Vm] = []
        self.version = 0
        self.linger = 1.0
        command = ['bluebellsill-standin', 'kv-store']
        self.store = Process(command, folder / 'store.log')
        self.store.read_listening()

    def add(
        self,
        zone: str,
        service: str,
        *,
        is_first: bool = True,
        limits: dict[str, int] | None = None,
        version: str = 'v1',
    ) -> Vm:
        """Start the node and the target of a new VM.

        Args:
            zone: The availability zone of the VM.
            service: The service of the target.
            is_first: Whether the whole deployment starts for the first time.
            limits: The limits of the VM that the settings of the node state.
            version: The version of the target's program.
        """
        index = len(self.vms) + 1
        ports = _free_addresses(index)
        vm = Vm(
            f'vm-{index}',
            zone,
            service,
            ports,
            self.folder / f'vm-{index}.toml',
            version=version,
            limits=limits or {},
        )
        self._write_settings(vm, is_first=is_first)
        self.vms.append(vm)
        self.start_node(vm)
        self.start_target(vm)
        return vm

    def start_node(self, vm: Vm) -> None:
        """Start the node of a VM."""
        command = vm.command or ['bluebellsill-mesh']
        command = [*command, str(vm.settings)]
        log = self.folder / f'{vm.name}.log'
        vm.node = Process(command, log, output_to_log=True)

    def restart_node(self, vm: Vm) -> None:
        """Kill the node of a VM and restart it."""
        if vm.node is not None:
            vm.node.kill()
        self._write_settings(vm, is_first=False)
        self.start_node(vm)

    def start_target(self, vm: Vm) -> None:
        """Start the target of a VM."""
        settings = json.dumps(
            {
                'service': vm.service,
                'zone': vm.zone,
                'reports': self._address(vm, 'reports'),
                'callers': vm.ports['callers'],
                'ledger': str(self.ledger),
                'advertised': self._address(vm, 'target'),
                'linger': self.linger,
                'version': vm.version,
            },
        )
        command = [
            'bluebellsill-standin',
            'mesh-target',
            f'--listen={vm.ports["target"]}',
            f'--settings={settings}',
        ]
        vm.target = Process(command, self.folder / f'{vm.name}-target.log')
        vm.target.read_listening()

    def declare(
        self,
        routes: list[dict[str, Any]],
        limits: dict[str, int] | None = None,
        **fields: Any,
    ) -> None:
        """Write the next version of the routing document.

        Args:
            routes: The routes.
            limits: The limits on requests, None to state none.
            fields: Further fields of the document.
        """
        self.version += 1
        services = {route.get('service', '') for route in routes}
        document: dict[str, Any] = {
            'version': f'r{self.version}',
            'services': [
                {'name': name, 'health_path': '/healthz', 'cold_per_s': 8}
                for name in sorted(services - {''})
            ],
            HOSTS_FIELD: [{'hostname': HOST, RULES_FIELD: routes}],
            **fields,
        }
        if limits is not None:
            document['limits'] = limits
        self.operate('PUT', DOCUMENT_KEY, json.dumps(document).encode())

    def operate(self, method: str, key: str, body: bytes = b'') -> None:
        """Write or remove a key as an operator."""
        reply = fetch(self.store.listening, method, f'/_keys/{key}', body)
        assert reply.status == http.client.OK, reply

    def set_zone_out(self, zone: str, *, is_out: bool) -> None:
        """Take a zone out of service, or back into service, as an operator."""
        method = 'PUT' if is_out else 'DELETE'
        self.operate(method, f'{ZONE_PREFIX}{zone}', b'{}')

    def set_store_faults(self, **behaviour: Any) -> None:
        """Set the faults of the store toward nodes; no argument clears them."""
        body = json.dumps(behaviour).encode()
        reply = fetch(self.store.listening, 'PUT', '/_behaviour', body)
        assert reply.status == http.client.OK, reply

    def copy_store(self) -> None:
        """Make a copy from which the store can be restored."""
        reply = fetch(self.store.listening, 'PUT', '/_copy')
        assert reply.status == http.client.OK, reply

    def restore_store(self, rewrite_ms: float = 0) -> None:
        """Restore the store from the copy.

        Args:
            rewrite_ms: Milliseconds until the operators have repeated what
                they had written since the copy was made.
        """
        body = json.dumps({'rewrite_ms': rewrite_ms}).encode()
        reply = fetch(self.store.listening, 'POST', '/_copy', body)
        assert reply.status == http.client.OK, reply

    def drop_store_history(self) -> None:
        """Make the store drop its history and end its watches."""
        fetch(self.store.listening, 'DELETE', '/_history')

    def store_keys(self) -> dict[str, str]:
        """Return the contents of the store by key."""
        reply = fetch(self.store.listening, 'GET', '/_stats')
        found: dict[str, str] = json.loads(reply.body)['contents']
        return found

    def delete_node_entries(self) -> None:
        """Delete the entries of all nodes from the store."""
        for key in self.store_keys():
            if key.startswith(NODE_PREFIX):
                self.operate('DELETE', key)

    def change_target(self, vm: Vm, **behaviour: Any) -> None:
        """Set the faults of the target of a VM; no argument clears them."""
        body = json.dumps(behaviour).encode()
        fetch(vm.ports['target'], 'PUT', '/_behaviour', body)

    def stats(self, vm: Vm) -> dict[str, Any]:
        """Return the statistics of the target of a VM."""
        reply = fetch(vm.ports['target'], 'GET', '/_stats')
        found: dict[str, Any] = json.loads(reply.body)
        return found

    def runs(self) -> dict[str, int]:
        """Return how often each request was executed, over all targets."""
        runs: dict[str, int] = {}
        for vm in self.vms:
            if vm.target is None or vm.target.has_ended:
                continue
            for name, times in self.stats(vm)['runs'].items():
                runs[name] = runs.get(name, 0) + times
        return runs

    def is_ready(self, vm: Vm) -> bool:
        """Return whether the node of a VM is ready for callers."""
        return fetch(vm.ports['ready'], 'GET', '/ready').status == (
            http.client.OK
        )

    def is_listening(self, vm: Vm) -> bool:
        """Return whether the node of a VM responds to readiness checks."""
        return bool(fetch(vm.ports['ready'], 'GET', '/ready').status)

    def call(
        self,
        vm: Vm,
        path: str,
        *,
        method: str = 'GET',
        name: str = '',
        deadline_ms: int = 2000,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> Reply:
        """Send a request to the node of a VM, as a caller."""
        all_headers = {
            'Host': HOST,
            REQUEST_ID: name or f'{time.monotonic_ns():x}',
            DEADLINE: str(deadline_ms),
            **(headers or {}),
        }
        return fetch(
            vm.ports['callers'],
            method,
            path,
            body,
            all_headers,
            deadline_ms / 1000 + 1,
        )

    def close(self) -> None:
        """Kill all processes."""
        for vm in self.vms:
            for process in (vm.node, vm.target):
                if process is not None:
                    process.kill()
        self.store.kill()

    def stop_node(self, vm: Vm) -> None:
        """Ask the node of a VM to stop."""
        if vm.node is not None:
            vm.node.send(signal.SIGTERM)

    def _address(self, vm: Vm, listener: str) -> str:
        known = {**vm.ports, 'store': str(self.store.listening)}
        return self._reach(vm.name, listener, known[listener])

    def _write_settings(self, vm: Vm, *, is_first: bool) -> None:
        ports = vm.ports
        vm.settings.write_text(
            '\n'.join(
                (
                    '[node]',
                    f'name = "{vm.name}"',
                    f'availability_zone = "{vm.zone}"',
                    f'is_first_start = {str(is_first).lower()}',
                    '[listen]',
                    *(
                        f'{name} = "{ports[name]}"'
                        for name in ports
                        if name != 'target'
                    ),
                    f'advertised_peers = "{self._address(vm, "peers")}"',
                    '[target]',
                    f'service = "{vm.service}"',
                    f'address = "{self._address(vm, "target")}"',
                    'report_period_ms = 500',
                    '[store]',
                    f'address = "{self._address(vm, "store")}"',
                    '[bounds]',
                    'grace_s = 6',
                    '[limits]',
                    *(f'{name} = {vm.limits[name]}' for name in vm.limits),
                ),
            ),
            encoding='utf-8',
        )


def _directly(vm: str, listener: str, address: str) -> str:
    return address


@contextmanager
def running(
    folder: Path,
    reach: Callable[[str, str, str], str] | None = None,
) -> Iterator[MeshDeployment]:
    """Run a deployment and kill its processes at the end."""
    deployment = MeshDeployment(folder, reach)
    try:
        yield deployment
    finally:
        deployment.close()


def _free_addresses(index: int) -> dict[str, str]:
    """Return a free address per listener, on a loopback host of the VM.

    Outgoing connections do not use such hosts and cannot take these ports.
    """
    first, second = divmod(os.getpid() % _NETWORKS, _HOSTS)
    host = f'127.{1 + first}.{1 + second}.{index}'
    with ExitStack() as stack:
        servers = {
            name: stack.enter_context(create_server((host, 0)))
            for name in _LISTENERS
        }
        return {
            name: f'{host}:{server.getsockname()[1]}'
            for name, server in servers.items()
        }
