"""Starts and stops the processes of a deployment."""

from __future__ import annotations

import json
import signal
import subprocess
import tempfile
import urllib.request
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, sleep
from typing import TYPE_CHECKING, Any

from bluebellsill.operator_client import OperatorClient
from demo.program import BIN, Process

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator, Sequence

TOKEN = 'demo-token'

_SETTINGS = """\
[node]
availability_zone = "{zone}"
drain_seconds = 10
[listen]
peers = "127.0.0.1:{port}"
callers = "127.0.0.1:0"
target = "127.0.0.1:0"
operators = "127.0.0.1:0"
[store]
address = "{store}"
[operators]
token = "{token}"
[membership]
seeds = {seeds}
[routing]
choice = "{choice}"
"""


@dataclass(eq=False)
class Pair:
    """A node and its target, if it has one."""

    zone: str
    service: str
    node: Process
    target: Process | None = None

    @property
    def id(self) -> str:
        """The node's id."""
        return str(self.node.listening['peers'])

    @property
    def callers(self) -> str:
        """The address at which the node serves external callers."""
        return str(self.node.listening['callers'])

    def client(self) -> OperatorClient:
        """Return a client of the operators' API of the node."""
        return OperatorClient(self.node.listening['operators'], TOKEN)

    def target_stats(self) -> dict[str, Any]:
        """Return the statistics of the target."""
        assert self.target is not None
        return fetch(f'http://{self.target.listening}/_stats')

    def change_target(self, **changes: Any) -> dict[str, Any]:
        """Change the behaviour of the target."""
        assert self.target is not None
        return fetch(f'http://{self.target.listening}/_behaviour', changes)


@dataclass(eq=False)
class Deployment:
    """The processes of one deployment."""

    directory: Path
    store: Process
    pairs: list[Pair] = field(default_factory=list)
    started: int = 0
    choice: str = 'two_choices'

    def add(
        self,
        zone: str,
        service: str,
        *,
        behaviour: dict[str, Any] | None = None,
        seeds: Sequence[str] = (),
        port: int = 0,
    ) -> Pair:
        """Start a node and, if a service is given, its target."""
        pair = self.start_node(zone, service, seeds=seeds, port=port)
        pair.node.read_listening()
        if service:
            self.start_target(pair, behaviour)
            assert pair.target is not None
            pair.target.read_listening()
        return pair

    def start_node(
        self,
        zone: str,
        service: str,
        *,
        seeds: Sequence[str] = (),
        port: int = 0,
    ) -> Pair:
        """Start a node without waiting for it."""
        self.started += 1
        settings = self.directory / f'node-{self.started}.toml'
        settings.write_text(
            _SETTINGS.format(
                zone=zone,
                port=port,
                store=self.store.listening,
                token=TOKEN,
                seeds=json.dumps(list(seeds)),
                choice=self.choice,
            ),
        )
        log = self.directory / f'node-{self.started}.log'
        node = Process(['bluebellsill-node', str(settings)], log)
        pair = Pair(zone, service, node)
        self.pairs.append(pair)
        return pair

    def start_target(
        self,
        pair: Pair,
        behaviour: dict[str, Any] | None = None,
    ) -> None:
        """Start the target of a node that is already listening."""
        self.started += 1
        arguments = [
            'bluebellsill-standin',
            'target',
            f'--node={pair.node.listening["target"]}',
            f'--service={pair.service}',
            f'--seed={self.started}',
            f'--behaviour={json.dumps(behaviour or {})}',
        ]
        log = self.directory / f'target-{self.started}.log'
        pair.target = Process(arguments, log)

    def start_pairs(
        self,
        places: Iterable[tuple[str, str]],
        behaviour: dict[str, Any] | None = None,
    ) -> None:
        """Start a node and a target per place and wait until all are ready."""
        for zone, service in places:
            self.start_node(zone, service)
        for pair in self.pairs:
            pair.node.read_listening()
            self.start_target(pair, behaviour)
        for pair in self.pairs:
            assert pair.target is not None
            pair.target.read_listening()
        self.wait_ready()

    def start_load(
        self,
        seconds: float,
        streams: Iterable[dict[str, Any]],
        seed: int = 1,
    ) -> subprocess.Popen[bytes]:
        """Start load on all nodes; wait until the load generator is running."""
        self.started += 1
        entries = json.dumps([pair.callers for pair in self.pairs])
        lines = [
            f'seconds = {seconds}',
            f'seed = {seed}',
            f'entries = {entries}',
        ]
        for stream in streams:
            lines.append('[[streams]]')
            lines.extend(
                f'{key} = {json.dumps(value)}' for key, value in stream.items()
            )
        path = self.directory / f'load-{self.started}.toml'
        path.write_text('\n'.join(lines), encoding='utf-8')
        load = subprocess.Popen(
            [str(BIN / 'bluebellsill-load'), 'play', '--json', str(path)],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        assert load.stderr is not None
        load.stderr.readline()
        return load

    def of_service(self, service: str) -> list[Pair]:
        """Return the pairs of a service."""
        return [pair for pair in self.pairs if pair.service == service]

    def of_zone(self, zone: str) -> list[Pair]:
        """Return the pairs of an availability zone."""
        return [pair for pair in self.pairs if pair.zone == zone]

    def switch_store(self, mode: str) -> None:
        """Change the behaviour of the store."""
        fetch(f'http://{self.store.listening}/_mode', {'mode': mode})

    def store_stats(self) -> dict[str, Any]:
        """Return the statistics of the store."""
        return fetch(f'http://{self.store.listening}/_stats')

    def declare(self, services: dict[str, dict[str, Any]]) -> int:
        """Declare services and wait until they are in force."""
        client = self.pairs[0].client()
        revision = 0
        for name, spec in services.items():
            revision = client.put('services', name, spec)['revision']
        client.wait(revision, 15)
        return revision

    def wait_ready(self, seconds: float = 15) -> None:
        """Wait until every node sees every target ready."""
        expected = sum(1 for pair in self.pairs if pair.target)
        for pair in self.pairs:
            client = pair.client()
            wait_until(lambda: _count_ready(client) >= expected, seconds)  # noqa: B023

    def stop(self) -> list[int]:
        """Stop everything gracefully and return the exit codes."""
        targets = [pair.target for pair in self.pairs if pair.target]
        nodes = [pair.node for pair in self.pairs]
        codes: list[int] = []
        for group in (targets, nodes, [self.store]):
            for process in group:
                process.send(signal.SIGTERM)
            codes.extend(process.wait() for process in group)
        return codes

    def kill(self) -> None:
        """Kill all remaining processes."""
        for pair in self.pairs:
            pair.node.kill()
            if pair.target:
                pair.target.kill()
        self.store.kill()


@contextmanager
def deployment() -> Iterator[Deployment]:
    """Run a store; kill it and all added processes at the end."""
    with tempfile.TemporaryDirectory(prefix='bluebellsill-') as directory:
        path = Path(directory)
        store = Process(['bluebellsill-standin', 'store'], path / 'store.log')
        running = Deployment(path, store)
        try:
            store.read_listening()
            yield running
        finally:
            running.kill()


def finish_load(
    load: subprocess.Popen[bytes], seconds: float
) -> dict[str, Any]:
    """Wait for the end of a load and return its report."""
    output, errors = load.communicate(timeout=seconds)
    if load.returncode:
        raise RuntimeError(f'load failed: {errors.decode()[-2000:]}')
    report: dict[str, Any] = json.loads(output)
    return report


def fetch(url: str, document: dict[str, Any] | None = None) -> dict[str, Any]:
    """Send a GET request, or a PUT of a document; return the JSON reply."""
    body = None if document is None else json.dumps(document).encode()
    method = 'GET' if body is None else 'PUT'
    request = urllib.request.Request(url, body, method=method)
    with urllib.request.urlopen(request, timeout=5) as response:
        found: dict[str, Any] = json.loads(response.read())
    return found


def wait_until(condition: Callable[[], bool], seconds: float) -> float:
    """Wait until a condition holds.

    Returns:
        The seconds that it took.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    started_at = monotonic()
    while not condition():
        if monotonic() - started_at > seconds:
            raise TimeoutError(f'condition did not hold within {seconds} s')
        sleep(0.05)
    return monotonic() - started_at


def _count_ready(client: OperatorClient) -> int:
    members = client.get('members')['items']
    return sum(1 for member in members if member['state'] == 'ready')
