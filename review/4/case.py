"""The nodes that read the store for their zones are cut off from it."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from world import BROKEN, HELD, TROUBLE, CannotRun, Channel, new_id, run_case

APPLY = 2.0  # config_apply_ms
CUT = 5.5  # seconds
LIMIT_MS = 3000
ZONES = ('zone-a', 'zone-b', 'zone-c')


def route(service, timeout_ms):
    return {
        'name': 'r-view',
        'prefix': '/view/',
        'route_type': 'idempotent',
        'timeout_ms': timeout_ms,
        'target_latency_ms': 500,
        'priority': 2,
        'service': service,
        'max_attempts': 2,
    }


def ask(world, node, asked):
    """Send one short request on a new channel."""
    request_id = new_id()
    sent_at = time.time()
    world.record(node.name, f'sent {request_id}')
    channel = Channel(node)
    try:
        channel.send('GET', '/view/1?work=10', request_id, LIMIT_MS)
        answer = channel.receive(LIMIT_MS / 1000)
    except TimeoutError:
        answer = None
    finally:
        channel.close()
    status = answer[0] if answer else 0
    world.record(node.name, f'answered {request_id} {status}')
    asked.append((request_id, node.name, sent_at, status))


def readers_of(world):
    """Return the node of each zone that waits for changes of the store."""
    readers = [node for node in world.nodes if node.store_proxy.watching]
    if sorted(node.zone for node in readers) != sorted(ZONES):
        raise CannotRun(f'readers: {[node.name for node in readers]}')
    return readers


def body(world):
    for zone in ZONES:
        world.add(zone, 'catalogue', proxies_store=True)
        world.add(zone, 'payments', proxies_store=True)
    world.declare(1, [route('catalogue', 1500)])
    world.wait_ready()
    time.sleep(6)
    world.declare(2, [route('catalogue', 1600)])
    time.sleep(0.3)
    readers = readers_of(world)
    calm = [node for node in world.nodes if node not in readers]
    if TROUBLE:
        for node in readers:
            node.store_proxy.is_silent = True
        names = [node.name for node in readers]
        world.record('platform', f'{names} partitioned from the store')
    cut_at = time.monotonic()
    world.declare(3, [route('payments', 1600)])
    acked_at = time.time()
    asked = []
    while time.monotonic() < cut_at + CUT:
        threads = [
            threading.Thread(target=ask, args=(world, node, asked))
            for node in calm
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        time.sleep(0.1)
    for node in readers:
        node.store_proxy.is_silent = False
    world.record_runs()
    services = {
        row['id']: row['service']
        for row in world.runs()
        if row['event'] == 'run'
    }
    late = [
        (round(sent_at - acked_at, 2), name, services.get(request_id))
        for request_id, name, sent_at, _ in asked
        if sent_at > acked_at + APPLY
    ]
    old = [one for one in late if one[2] == 'catalogue']
    result = (
        f'cut off: {[node.name for node in readers] if TROUBLE else []};'
        f' {len(late)} requests at the other nodes over {APPLY} s after the'
        f' acknowledgement, {len(old)} run by the old service; the last'
        f' {max(old)[0] if old else 0} s after'
    )
    world.record('check', result)
    print(result)
    return BROKEN if old else HELD


run_case(Path(__file__).parent, body)
