"""Nodes that reach the store follow it although no reader does."""

from __future__ import annotations

import json
import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from bluebellsill.rendezvous import rank
from demo.mesh_harness import MeshDeployment, Vm, running, wait_until
from tests.path_rules import path_rule
from tests.soak.network import Network
from tests.soak.proxy import NetworkFault

_IN_FORCE_SECONDS = 2.0  # of the pages, from the acknowledgement of a change
_EVACUATED_SECONDS = 5.0  # likewise, for a zone that is taken out
_ZONES = ('a', 'b', 'c')
_HELD = NetworkFault(holds_to=True, holds_from=True)
_ONE_WAY = NetworkFault(holds_from=True)
_SLOW = NetworkFault(delay=4)
_FAULTS = ('cut', 'answers lost', 'slow', 'turned away', 'frozen')


@pytest.fixture
def network() -> Iterator[Network]:
    found = Network()
    yield found
    found.close()


@pytest.fixture
def deployment(tmp_path: Path, network: Network) -> Iterator[MeshDeployment]:
    with running(tmp_path, network.reach) as found:
        for zone in _ZONES:
            found.add(zone, 'shop')
            found.add(zone, 'shop')
        found.declare([path_rule('/first/')])
        wait_until(lambda: _serve(found, found.vms, 'first'), 'all nodes serve')
        time.sleep(3)
        yield found
        for vm in found.vms:
            network.heal(vm.name, ['store'])


def _serve(found: MeshDeployment, vms: list[Vm], prefix: str) -> bool:
    return all(found.call(vm, f'/{prefix}/x').status == 200 for vm in vms)


def _arrivals(found: MeshDeployment, vm: Vm) -> int:
    return int(found.stats(vm)['counts'].get('arrivals', 0))


def _peer_id(found: MeshDeployment, vm: Vm) -> str:
    log = (found.folder / f'{vm.name}.log').read_text(encoding='utf-8')
    rows = (json.loads(line) for line in log.splitlines() if line[:1] == '{')
    return next(row['peers'] for row in rows if row['event'] == 'started')


def _readers(found: MeshDeployment) -> list[Vm]:
    """Return the node of each zone that watches the store."""
    readers = []
    for zone in _ZONES:
        by_id = {_peer_id(found, vm): vm for vm in found.vms if vm.zone == zone}
        readers.append(by_id[rank(zone, by_id, 1)[0]])
    return readers


def _disturb(network: Network, vm: Vm, fault: str) -> None:
    if fault == 'frozen':
        vm.node.send(signal.SIGSTOP)
    elif fault == 'turned away':
        network.inject(vm.name, ['store'], NetworkFault(resets=True))
        network.reset(vm.name, ['store'])
    else:
        faults = {'cut': _HELD, 'answers lost': _ONE_WAY, 'slow': _SLOW}
        network.inject(vm.name, ['store'], faults[fault])


@pytest.mark.parametrize('fault', _FAULTS)
def test_change_is_in_force_in_time_although_all_readers_lose_the_store(
    deployment: MeshDeployment, network: Network, fault: str
) -> None:
    """The other nodes waited for a reader to notice and to tell them."""
    readers = _readers(deployment)
    calm = [vm for vm in deployment.vms if vm not in readers]
    for vm in readers:
        _disturb(network, vm, fault)
    deployment.declare([path_rule('/first/'), path_rule('/second/')])
    # A route that a node does not know is refused with 404 at once.
    wait_until(
        lambda: _serve(deployment, calm, 'second'),
        f'the change is in force at the nodes that are not {fault}',
        _IN_FORCE_SECONDS,
    )
    for vm in readers:
        vm.node.send(signal.SIGCONT)


def test_zone_is_out_in_time_although_all_readers_lose_the_store(
    deployment: MeshDeployment, network: Network
) -> None:
    readers = _readers(deployment)
    calm = [vm for vm in deployment.vms if vm not in readers]
    for vm in readers:
        _disturb(network, vm, 'cut')
    deployment.set_zone_out('a', is_out=True)
    time.sleep(_EVACUATED_SECONDS)
    leaving = [vm for vm in deployment.vms if vm.zone == 'a']
    before = [_arrivals(deployment, vm) for vm in leaving]
    for vm in calm * 5:
        assert deployment.call(vm, '/first/x').status == 200
    assert [_arrivals(deployment, vm) for vm in leaving] == before
