"""A route is split by weights whose sum is large."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from world import BROKEN, HELD, TROUBLE, CannotRun, Channel, new_id, run_case

TIMEOUT_MS = 1000  # of the route
LIMIT_MS = 3000  # time limit of the requesters
HALF_SECOND = 0.5
SECONDS = 12  # of traffic after the change
GAP = 0.5  # seconds between two requests of one requester
REQUESTERS = 4  # on each machine
# The same proportions, 70 to 30.
WEIGHTS = (7_000_000, 3_000_000) if TROUBLE else (7, 3)


def route(**services):
    return {
        'name': 'r-view',
        'prefix': '/view/',
        'route_type': 'idempotent',
        'timeout_ms': TIMEOUT_MS,
        'target_latency_ms': 500,
        'priority': 2,
        'max_attempts': 2,
        **services,
    }


class Requester:
    """Sends short requests to the node of its machine, one at a time."""

    def __init__(self, world, node):
        self.world = world
        self.node = node
        self.seconds = []  # until the answer, None without one
        self.channel = None

    def run(self, ends_at):
        while time.monotonic() < ends_at:
            started_at = time.monotonic()
            status = self.ask()
            taken = time.monotonic() - started_at
            self.seconds.append(taken if status else None)
            time.sleep(max(0, GAP - taken))

    def ask(self):
        request_id = new_id()
        self.world.record(self.node.name, f'sent {request_id}')
        try:
            if self.channel is None:
                self.channel = Channel(self.node)
            self.channel.send('GET', '/view/1?work=20', request_id, LIMIT_MS)
            answer = self.channel.receive(LIMIT_MS / 1000)
            status = answer[0] if answer else 0
            if answer:
                self.channel.receive_body(answer[1], 1)
        except OSError as error:
            self.world.record(self.node.name, f'{request_id}: {error!r}')
            status = 0
        self.world.record(self.node.name, f'answered {request_id} {status}')
        if not status:
            self.close()
        return status

    def close(self):
        if self.channel is not None:
            self.channel.close()
            self.channel = None


def play(world, seconds):
    requesters = [
        Requester(world, node)
        for node in world.nodes
        for _ in range(REQUESTERS)
    ]
    ends_at = time.monotonic() + seconds
    threads = [
        threading.Thread(target=one.run, args=(ends_at,)) for one in requesters
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for one in requesters:
        one.close()
    return [taken for one in requesters for taken in one.seconds]


def body(world):
    for zone in ('zone-a', 'zone-b', 'zone-c'):
        world.add(zone, 'catalogue')
        world.add(zone, 'payments')
    world.declare(1, [route(service='catalogue')])
    world.wait_ready()
    time.sleep(3)
    before = play(world, 4)
    if any(taken is None or taken > 1 for taken in before):
        raise CannotRun(f'requests fail before the change: {before}')
    names = ('catalogue', 'payments')
    parts = [
        {'service': name, 'weight': weight}
        for name, weight in zip(names, WEIGHTS, strict=True)
    ]
    world.declare(2, [route(weighted_services=parts)])
    after = play(world, SECONDS)
    hung = [node.name for node in world.nodes if not world.is_ready(node, 2)]
    world.record_runs()
    timeout = TIMEOUT_MS / 1000
    longer = [one for one in after if one is None or one > timeout]
    late = [
        one for one in longer if one is None or one > timeout + HALF_SECOND
    ]
    result = (
        f'{len(after)} requests after the change, {len(longer)} without an'
        f' answer at the timeout of {timeout} s, {len(late)} of these without'
        f' one {HALF_SECOND} s later; nodes that do not answer at the end:'
        f' {hung}'
    )
    world.record('check', result)
    print(result)
    is_broken = len(late) >= 8 and len(late) > len(longer) / 2
    return BROKEN if is_broken else HELD


run_case(Path(__file__).parent, body)
