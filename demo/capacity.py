"""Measures resource use by size, the input of docs/CAPACITY.md.

``python -m demo.capacity members`` loads the members and services of the
largest planned system into one process. ``python -m demo.capacity nodes 10 20
40 80`` runs that many real, idle nodes and measures the resource use of each.
"""

from __future__ import annotations

import argparse
import gc
import os
import sys
from functools import partial
from random import Random
from time import monotonic, perf_counter, sleep
from typing import TYPE_CHECKING

import msgspec

from bluebellsill import node as _node  # noqa: F401 (loads a node's modules)
from bluebellsill.change_records import (
    Snapshot,
    StoredResource,
    decode_snapshot,
)
from bluebellsill.configuration import Configuration
from bluebellsill.gossip_messages import Member, Sync
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import encode
from bluebellsill.resources import Kind
from bluebellsill.swim import Swim
from demo.processes import cpu_seconds, resident

if TYPE_CHECKING:
    from collections.abc import Callable

    from demo.harness import Deployment

_ZONES = 22
_SERVICES = 1600
_SIZES = (1000, 3000, 9000, 27000)  # members
_REPEATS = 20  # of each timed action
_SETTLE = 10.0  # seconds after the change, before the measurement
_WINDOW = 20.0  # seconds of measurement


def main() -> int:
    """Run the measurement that the command line names."""
    parser = argparse.ArgumentParser(prog='demo.capacity')
    parser.add_argument('what', choices=['members', 'nodes'])
    parser.add_argument('sizes', nargs='*', type=int)
    options = parser.parse_args()
    if options.what == 'members':
        _measure_members(options.sizes or list(_SIZES))
    else:
        for size in options.sizes:
            _measure_nodes(size)
    return 0


def _measure_members(sizes: list[int]) -> None:
    before = resident(os.getpid())
    _print('imports', f'{before:.1f} MB resident')
    members = Members(_member(0))
    swim = Swim(members, Random(1), _no_revision)
    for size in sizes:
        for index in range(len(members.by_id), size):
            record = _member(index)
            swim.handle(Sync(record, 0, [record]), 0)
        gc.collect()
        grown = resident(os.getpid()) - before
        datagram = max(len(encode(one.message)) for one in swim.push())
        _print(
            f'{size} members',
            f'{grown:.1f} MB,'
            f' tick {_milliseconds(partial(swim.tick, 0)):.2f} ms,'
            f' push {_milliseconds(swim.push):.2f} ms,'
            f' sync answer {_milliseconds(partial(_differing, members)):.2f} ms,'
            f' datagram {datagram} B',
        )
    payload = _snapshot()
    started_at = perf_counter()
    configuration = Configuration()
    configuration.apply_snapshot(decode_snapshot(payload))
    seconds = perf_counter() - started_at
    _print(
        f'{_SERVICES} services',
        f'snapshot {len(payload)} B, applied in {seconds:.2f} s',
    )
    grown = resident(os.getpid())
    _print('total', f'{grown:.1f} MB resident')


def _no_revision() -> int:
    return 0


def _member(index: int) -> Member:
    # Decoded as if received, so that records do not share string objects.
    member = Member(
        f'10.{index // 60000}.{index // 250 % 240}.{index % 250}:7000',
        1764831234000 + index,
        2,
        int(MemberState.READY),
        f'zone-{index % _ZONES}',
        f'service-{index % _SERVICES}',
    )
    return msgspec.msgpack.decode(encode(member), type=Member)


def _snapshot() -> bytes:
    spec = {'priority': 'critical', 'expected_targets': 17}
    stored = [
        StoredResource(index + 1, Kind.SERVICE, f'service-{index}', spec)
        for index in range(_SERVICES)
    ]
    return msgspec.json.encode(Snapshot(_SERVICES, stored))


def _differing(members: Members) -> int:
    return len(list(members.differing([0 for _ in members.hashes()])))


def _milliseconds(action: Callable[[], object]) -> float:
    started_at = perf_counter()
    for _ in range(_REPEATS):
        action()
    return (perf_counter() - started_at) / _REPEATS * 1000


def _measure_nodes(size: int) -> None:
    # Imported here, so that the memory of a node does not include it.
    from demo.harness import deployment, wait_until  # noqa: PLC0415

    with deployment() as running:
        for index in range(size):
            running.start_node('abc'[index % 3], '')
        for pair in running.pairs:
            pair.node.read_listening()
        wait_until(partial(_all_joined, running, size), 60)
        change = running.pairs[0].client().put('services', 'x', {})
        started_at = monotonic()
        running.pairs[-1].client().wait(change['revision'], 30)
        in_force = monotonic() - started_at
        sleep(_SETTLE)
        _measure_window(running, size, in_force)


def _all_joined(running: Deployment, size: int) -> bool:
    return all(
        pair.client().get('node')['members'] == size for pair in running.pairs
    )


def _measure_window(running: Deployment, size: int, in_force: float) -> None:
    calls_before = running.store_stats()['calls']
    bytes_before = _gossip_bytes(running)
    seconds_before = _cpu_seconds(running)
    sleep(_WINDOW)
    calls = running.store_stats()['calls']
    called = sum(calls.values()) - sum(calls_before.values())
    sent = (_gossip_bytes(running) - bytes_before) / size / _WINDOW
    spent = (_cpu_seconds(running) - seconds_before) / size / _WINDOW
    largest = max(resident(pair.node.pid) for pair in running.pairs)
    _print(
        f'{size} nodes',
        f'{called / _WINDOW:.2f} store calls a second,'
        f' {running.store_stats()["watches"]} open watches,'
        f' {sent:.0f} B/s gossip sent a node,'
        f' {spent * 100:.2f}% of a core a node,'
        f' {largest:.1f} MB resident at most,'
        f' change in force after {in_force:.2f} s',
    )


def _gossip_bytes(running: Deployment) -> int:
    return sum(
        pair.client().get('node')['gossip_bytes_sent'] for pair in running.pairs
    )


def _cpu_seconds(running: Deployment) -> float:
    return sum(cpu_seconds(pair.node.pid) for pair in running.pairs)


def _print(label: str, result: str) -> None:
    sys.stdout.write(f'{label}: {result}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
