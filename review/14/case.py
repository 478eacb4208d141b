"""QUOTA: a node that restarts while it is cut off grants the whole allowance.

One machine is partitioned from the other machines and its process is killed; the
platform starts it again. Clients on all machines send more than the allowance of
their tenant. The rule is broken if more of the tenant's requests run in some
window than the rule allows.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import world as w

TROUBLE = os.environ.get('TROUBLE', '1')
IS_CUT = TROUBLE in {'1', 'cut'}
IS_KILLED = TROUBLE in {'1', 'kill'}
NODES = 6
RATE, BURST = 40, 40  # of the tenant
WINDOW, EXCESS, SLACK = 5, 0.1, 20  # quota_window_s, quota_excess, quota_slack
OFFERED = 60  # requests a second on the machine, and on all others together
WORK = 0.03  # seconds
BEFORE = 8.0  # seconds of traffic before the cut
CUT = 12.0  # seconds, the longest node_cut in the site files
KILLED_AFTER = 1.0  # seconds after the beginning of the cut
RESTARTED_AFTER = 1.0  # seconds after the kill
AFTER = 4.0  # seconds of traffic after the cut
KEY = 'k-5f1c2d'
ENDED = (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError)


class Network:
    """Forwards between the peers' addresses of the nodes, and cuts one off."""

    def __init__(self):
        self.cut = None  # the advertised address of a node, None for none
        self.healed = asyncio.Event()
        self.healed.set()
        self.advertised_by_real = {}

    async def add(self, real, advertised):
        self.advertised_by_real[w.split(real)] = advertised
        host, port = w.split(advertised)
        await asyncio.start_server(
            lambda r, wr: self.on_channel(r, wr, advertised, real), host, port)
        network = self

        class Datagrams(asyncio.DatagramProtocol):
            def connection_made(self, transport):
                self.transport = transport

            def datagram_received(self, payload, source):
                sender = network.advertised_by_real.get(source[:2])
                if not network.is_cut(sender, advertised):
                    self.transport.sendto(payload, w.split(real))

        await asyncio.get_running_loop().create_datagram_endpoint(
            Datagrams, local_addr=(host, port))

    def is_cut(self, one, other):
        return self.cut is not None and self.cut in {one, other}

    def begin(self, advertised):
        self.cut = advertised
        self.healed.clear()

    def end(self):
        self.cut = None
        self.healed.set()

    async def on_channel(self, reader, writer, advertised, real):
        try:
            # The first message names the sender.
            first = await reader.read(65536)
            sender = next(
                (one for one in self.advertised_by_real.values()
                 if one.encode() in first), None)
            if self.is_cut(sender, advertised):
                await self.healed.wait()
            node_reader, node_writer = await asyncio.open_connection(*w.split(real))
            node_writer.write(first)

            async def pump(source, sink):
                try:
                    while piece := await source.read(65536):
                        while self.is_cut(sender, advertised):
                            await self.healed.wait()
                        sink.write(piece)
                        await sink.drain()
                    while self.is_cut(sender, advertised):
                        await self.healed.wait()
                except OSError:
                    pass
                sink.close()

            await asyncio.gather(
                pump(reader, node_writer), pump(node_reader, writer))
        except OSError:
            writer.close()
        except asyncio.CancelledError:
            pass  # the case has ended


class Case:
    def __init__(self, world):
        self.world = world
        self.requests = {}
        self.is_over = False

    async def run(self):
        world = self.world
        world.start_store()
        self.network = Network()
        for index in range(NODES):
            vm = world.add('abc'[index % 3], 'catalogue')
            vm.advertised = w.free_addresses(100 + index)['peers']
            await self.network.add(vm.ports['peers'], vm.advertised)
        for vm in world.vms:
            self.start_node(vm, is_first=True)
        await world.declare(
            [w.route('/catalogue/', 'catalogue')],
            tenants=[{'name': 'club', 'api_keys': [KEY], 'priority': 1,
                      'rate_per_s': RATE, 'burst': BURST}])
        world.work = self.work
        for vm in world.vms:
            vm.server = w.Server(world, vm)
            await vm.server.start()
        await world.ready()
        await asyncio.sleep(5)
        cut, *others = world.vms
        clients = [asyncio.ensure_future(self.client(cut, OFFERED))] + [
            asyncio.ensure_future(self.client(vm, OFFERED / len(others)))
            for vm in others]
        await asyncio.sleep(BEFORE)
        self.cut_at = time.time()
        if IS_CUT:
            self.network.begin(cut.advertised)
        await asyncio.sleep(KILLED_AFTER)
        if IS_KILLED:
            cut.node.kill()
        await asyncio.sleep(RESTARTED_AFTER)
        if IS_KILLED:
            self.start_node(cut, is_first=False)
        await asyncio.sleep(CUT - KILLED_AFTER - RESTARTED_AFTER)
        self.network.end()
        await asyncio.sleep(AFTER)
        self.is_over = True
        await asyncio.gather(*clients)
        return self.judge()

    def start_node(self, vm, is_first):
        self.world.start_node(
            vm, is_first, extra=f'advertised_peers = "{vm.advertised}"')

    async def work(self, server, method, path, headers, body):
        request = self.requests.get(headers.get(w.ID))
        if request is not None:
            request['ran_at'] = time.time()
            request['tenant'] = headers.get('bluebellsill-tenant-id')
        await asyncio.sleep(WORK)
        return 200, b'ok'

    async def client(self, vm, rate):
        """Send requests at a rate, each on a new channel."""
        pending = set()
        started_at, count = time.time(), 0
        while not self.is_over:
            count += 1
            task = asyncio.ensure_future(self.ask(vm, f'{vm.name}-{count}'))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(max(0, started_at + count / rate - time.time()))
        await asyncio.gather(*pending)

    async def ask(self, vm, name):
        request = {'id': name, 'machine': vm.name, 'sent_at': time.time(),
                   'status': 0}
        self.requests[name] = request
        try:
            status, *_ = await asyncio.wait_for(w.call(
                vm.ports['callers'], 'GET', '/catalogue/mats',
                {'Bluebellsill-Request-Id': name, 'Authorization': f'Token {KEY}',
                 'Bluebellsill-Deadline-Ms': '1500'}), 2)
            request['status'] = status
        except ENDED:
            pass

    def judge(self):
        allowed = (RATE * WINDOW + BURST) * (1 + EXCESS) + SLACK
        ran = sorted(
            (one for one in self.requests.values()
             if one.get('tenant') == 'club'), key=lambda one: one['ran_at'])
        most, begin = 0, 0.0
        for one in ran:
            start = one['sent_at']
            inside = sum(
                start <= other['sent_at'] and other['ran_at'] <= start + WINDOW
                for other in ran)
            if inside > most:
                most, begin = inside, start
        by_machine = Counter(
            other['machine'] for other in ran
            if begin <= other['sent_at'] and other['ran_at'] <= begin + WINDOW)
        summary = {
            'trouble': TROUBLE, 'allowed in a window': allowed,
            'run in the busiest window': most,
            'that window begins after the cut, s': round(begin - self.cut_at, 2),
            'its requests by machine': dict(by_machine),
            'requests, by status': dict(Counter(
                one['status'] for one in self.requests.values()))}
        with (Path(__file__).parent / 'record.txt').open('w') as record:
            record.write(json.dumps(summary) + '\n')
            for one in self.requests.values():
                record.write(f'request {json.dumps(one)}\n')
        print(json.dumps(summary))
        if not ran:
            return 2
        return 1 if most > allowed else 0


async def main():
    with tempfile.TemporaryDirectory() as folder:
        world = w.World(folder)
        try:
            return await asyncio.wait_for(Case(world).run(), 110)
        except Exception as error:
            print(f'the case cannot run: {error!r}')
            return 2
        finally:
            world.close()


async def run():
    code = await main()
    sys.stdout.flush()
    # All processes have ended; nothing else that is left has to be waited for.
    os._exit(code)


if __name__ == '__main__':
    asyncio.run(run())
