"""LOST: a planned stop cuts off answers while clients send requests ahead.

A node is asked to stop with SIGTERM. Clients on its machine send idempotent
requests ahead on their channels. The link between clients and node has the
delay of the site and a window of ten packets, so an answer of 30,000 bytes
takes some round trips. The rule is broken if a channel of that node ends in
the middle of an answer to a request that a server has run.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter, deque
from pathlib import Path

import world as w

TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ANSWER = 30000  # bytes; the longest answer in the site files
DELAY = 0.001  # seconds, one way between a requester and its machine
SEGMENT = 1460
WINDOW = 10 * SEGMENT
CHANNELS = 6
GAP = 0.05  # seconds between two requests of a channel
AHEAD = 4  # requests of a channel without an answer, at most
WORK = 0.1  # seconds
BEFORE = 2.0  # seconds of traffic before the stop
AFTER = w.GRACE_S + 1  # seconds after SIGTERM that the rule counts
ENDED = (OSError, asyncio.IncompleteReadError)


class Link:
    """The network between clients and the node: a delay and a small window."""

    def __init__(self, target):
        self.target = w.split(target)
        self.ends = Counter()  # how the node ended its channels

    async def open(self, address):
        await asyncio.start_server(self.on_channel, *w.split(address))

    async def on_channel(self, reader, writer):
        try:
            await self.relay(reader, writer)
        except asyncio.CancelledError:
            pass  # the case has ended

    async def relay(self, reader, writer):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW // 2)
        try:
            await loop.sock_connect(sock, self.target)
        except OSError:
            writer.transport.abort()
            sock.close()
            return

        async def pass_on(piece):
            try:
                await loop.sock_sendall(sock, piece)
            except OSError:
                pass

        async def to_node():
            try:
                while piece := await reader.read(65536):
                    loop.call_later(
                        DELAY, lambda p=piece: asyncio.ensure_future(pass_on(p)))
            except OSError:
                pass

        async def to_client():
            try:
                while piece := await loop.sock_recv(sock, WINDOW):
                    loop.call_later(DELAY, writer.write, piece)
                    await asyncio.sleep(2 * DELAY * len(piece) / WINDOW)
            except OSError as error:
                self.ends[type(error).__name__] += 1
                loop.call_later(DELAY, writer.transport.abort)
            else:
                self.ends['end of channel'] += 1
                loop.call_later(DELAY, writer.close)

        task = asyncio.ensure_future(to_node())
        await to_client()
        await asyncio.sleep(3 * DELAY)
        task.cancel()
        sock.close()


class Client:
    """Sends requests ahead on one channel after another."""

    def __init__(self, case, number):
        self.case, self.number, self.sent = case, number, 0

    async def run(self):
        while not self.case.is_over:
            try:
                reader, writer = await asyncio.open_connection(
                    *w.split(self.case.address))
            except OSError:
                return  # the node has ended
            await self.use(reader, writer)
            await asyncio.sleep(0.1)

    async def use(self, reader, writer):
        waiting = deque()
        sender = asyncio.ensure_future(self.send(writer, waiting))
        try:
            while await self.read_answer(reader, waiting):
                pass
        except ENDED as error:
            self.case.on_end(waiting, repr(error))
        sender.cancel()
        writer.close()

    async def send(self, writer, waiting):
        while not self.case.is_over:
            if len(waiting) < AHEAD:
                self.sent += 1
                request = {'id': f'c{self.number}-{self.sent}',
                           'sent_at': time.time(), 'status': 0, 'received': 0}
                waiting.append(request)
                self.case.requests.append(request)
                writer.write(
                    f'GET /catalogue/mats HTTP/1.1\r\nHost: {w.HOST}\r\n'
                    f'Bluebellsill-Request-Id: {request["id"]}\r\n'
                    'Bluebellsill-Deadline-Ms: 3000\r\n\r\n'.encode())
            await asyncio.sleep(GAP)

    async def read_answer(self, reader, waiting):
        """Read one answer; return whether the channel goes on."""
        head = await w.read_head(reader)
        if head is None:
            raise asyncio.IncompleteReadError(b'', None)
        (_, status, *_), headers = head
        request = waiting[0]
        request['status'] = int(status)
        request['length'] = int(headers['content-length'])
        while request['received'] < request['length']:
            piece = await reader.read(request['length'] - request['received'])
            if not piece:
                raise asyncio.IncompleteReadError(b'', None)
            request['received'] += len(piece)
        request['done_at'] = time.time()
        waiting.popleft()
        return headers.get('connection', '') != 'close'


class Case:
    def __init__(self, world):
        self.world = world
        self.requests = []
        self.cut = []
        self.stopped_at = 0.0
        self.is_over = False

    def on_end(self, waiting, reason):
        if not self.is_over:
            self.cut += [
                {**one, 'ended_at': time.time(), 'reason': reason}
                for one in waiting]

    async def run(self):
        world = self.world
        world.start_store()
        for zone in 'abc':
            world.add(zone, 'catalogue')
        for vm in world.vms:
            world.start_node(vm)
        await world.declare([w.route('/catalogue/', 'catalogue')])
        world.work = self.work
        for vm in world.vms:
            vm.server = w.Server(world, vm)
            await vm.server.start()
        await world.ready()
        await asyncio.sleep(3)
        vm = world.vms[0]
        self.address = w.free_addresses(100)['callers']
        self.link = Link(vm.ports['callers'])
        await self.link.open(self.address)
        clients = [
            asyncio.ensure_future(Client(self, number).run())
            for number in range(CHANNELS)]
        await asyncio.sleep(BEFORE)
        self.stopped_at = time.time()
        if TROUBLE:
            vm.node.send_signal(signal.SIGTERM)
            while vm.node.poll() is None and time.time() < self.stopped_at + AFTER:
                await asyncio.sleep(0.05)
        else:
            await asyncio.sleep(3)
        self.ended_at = time.time()
        await asyncio.sleep(0.2)
        self.is_over = True
        for one in clients:
            one.cancel()
        return self.judge()

    async def work(self, server, method, path, headers, body):
        await asyncio.sleep(WORK)
        return 200, b'x' * ANSWER

    def judge(self):
        by_id = {run['id']: run for run in self.world.runs}
        lost = [
            {**one, 'ran_at': by_id[one['id']]['at'], 'by': by_id[one['id']]['by'],
             'after_sigterm_s': round(one['ended_at'] - self.stopped_at, 3)}
            for one in self.cut if one['id'] in by_id]
        served = Counter(one['status'] for one in self.requests if 'done_at' in one)
        summary = {
            'trouble': TROUBLE, 'requests': len(self.requests),
            'answered whole, by status': dict(served),
            'node ended after SIGTERM, s': round(self.ended_at - self.stopped_at, 2),
            'cut and not run (not counted)': len(self.cut) - len(lost),
            'run and cut off (LOST)': len(lost),
            'how the node ended channels': dict(self.link.ends)}
        with (Path(__file__).parent / 'record.txt').open('w') as record:
            record.write(json.dumps(summary) + '\n')
            for kind, rows in (('lost', lost), ('sent', self.requests),
                               ('run', self.world.runs)):
                for row in rows:
                    record.write(f'{kind} {json.dumps(row)}\n')
        print(json.dumps(summary))
        if not served.get(200):
            return 2
        return 1 if lost else 0


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
