"""Requesters leave while their requests wait beside the only server."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'common'))

from world import BROKEN, HELD, TROUBLE, Channel, new_id, run_case

LIMIT_MS = 6000  # time limit of the requesters, and timeout of the route
WORK_MS = 1500
FIRST = 6  # requests that take all slots; their requesters stay
LEAVERS = 6  # requesters that come then
LEAVE_AFTER = 0.3  # seconds
HALF_SECOND = 0.5
FEW = 3


def route():
    return {
        'name': 'r-booking',
        'prefix': '/booking/',
        'route_type': 'non_idempotent',
        'timeout_ms': LIMIT_MS,
        'target_latency_ms': LIMIT_MS,
        'priority': 0,
        'max_attempts': 2,
        'service': 'bookings',
    }


class Requester(threading.Thread):
    def __init__(self, world, node, leave_after=None):
        super().__init__()
        self.world = world
        self.node = node
        self.leave_after = leave_after
        self.request_id = new_id()
        self.left_at = None
        self.outcome = ''

    def run(self):
        channel = Channel(self.node)
        path = f'/booking/1?work={WORK_MS}'
        self.world.record('requester', f'sent {self.request_id}')
        channel.send('PUT', path, self.request_id, LIMIT_MS, b'b' * 100)
        try:
            answer = channel.receive(self.leave_after or LIMIT_MS / 1000)
            self.outcome = answer[0] if answer else 'closed'
        except TimeoutError:
            self.outcome = 'left'
            self.left_at = time.time()
        channel.close()
        self.world.record('requester', f'{self.request_id}: {self.outcome}')


def body(world):
    # The only server of the service runs beside the node that is called.
    entry = world.add('zone-a', 'bookings')
    world.add('zone-b', 'catalogue')
    world.add('zone-c', 'catalogue')
    world.declare(1, [route()])
    world.wait_ready()
    time.sleep(3)
    leave_after = LEAVE_AFTER if TROUBLE else None
    requesters = [Requester(world, entry) for _ in range(FIRST)]
    requesters += [
        Requester(world, entry, leave_after) for _ in range(LEAVERS)
    ]
    for one in requesters[:FIRST]:
        one.start()
    time.sleep(0.3)
    for one in requesters[FIRST:]:
        one.start()
    for one in requesters:
        one.join()
    time.sleep(2 * WORK_MS / 1000 + 1)
    world.record_runs()
    run_at = {
        row['id']: row['at'] for row in world.runs() if row['event'] == 'run'
    }
    late = [
        round(run_at[one.request_id] - one.left_at, 2)
        for one in requesters
        if one.left_at
        and run_at.get(one.request_id, 0) > one.left_at + HALF_SECOND
    ]
    result = (
        f'outcomes {[one.outcome for one in requesters]}; reached the server'
        f' over {HALF_SECOND} s after their requester had left: {len(late)},'
        f' after {late} s'
    )
    world.record('check', result)
    print(result)
    return BROKEN if len(late) > FEW else HELD


run_case(Path(__file__).parent, body)
