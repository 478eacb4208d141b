"""A sound server of the platform: one application process on one machine.

Usage: server.py SETTINGS, a JSON object with ``service``, ``zone``, ``listen``,
``control`` (where it sends its liveness reports), ``slots``, ``queue``,
``ledger`` (a file to which each run is appended) and ``heartbeat_ms``.

The query of a request says how it is served: ``work`` is the milliseconds of
work, ``size`` the bytes of the answer.
"""

import asyncio
import hashlib
import json
import os
import sys
import time
from urllib.parse import parse_qs

CLOSE_CHECK_SECONDS = 0.02


class Server:
    """Runs up to ``slots`` requests and queues a few more."""

    def __init__(self, settings):
        self.settings = settings
        self.name = f'i-{os.getpid():08x}'
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(settings['slots'])
        self.ledger = open(settings['ledger'], 'a', buffering=1)

    def note(self, event, request_id, **fields):
        row = {
            'at': round(time.time(), 4),
            'event': event,
            'id': request_id,
            'service': self.settings['service'],
            'by': self.name,
            **fields,
        }
        self.ledger.write(json.dumps(row) + '\n')

    def common_headers(self):
        slots = self.settings['slots']
        load = f'{self.running},{self.waiting},{slots},100'
        return f'Bluebellsill-Server-Load: {load}\r\n'

    async def report(self):
        host, port = self.settings['control'].split(':')
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    'address': self.settings['listen'],
                    'born': self.born,
                    'info': {
                        'service': self.settings['service'],
                        'version': 'v1',
                        'zone': self.settings['zone'],
                        'slots': self.settings['slots'],
                    },
                    'status': {
                        'state': 'ready',
                        'sequence': self.sequence,
                        'cold_left_ms': 0,
                    },
                }
            )
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f'PUT /instances/{self.name} HTTP/1.1\r\nHost: {host}\r\n'
                    f'Content-Type: application/json\r\n'
                    f'Content-Length: {len(body)}\r\n\r\n{body}'.encode()
                )
                await asyncio.wait_for(reader.readuntil(b'\r\n\r\n'), 1)
                writer.close()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                await asyncio.sleep(0.1)
                continue
            await asyncio.sleep(self.settings['heartbeat_ms'] / 1000)

    async def serve(self, reader, writer):
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
        length = int(headers.get('content-length') or 0)
        body = await reader.readexactly(length)
        path, _, query = target.partition('?')
        if path == '/healthz':
            await self.answer_probe(writer)
            return True
        request_id = headers.get('bluebellsill-request-id', '')
        expected = headers.get('bluebellsill-expected-instance', self.name)
        if expected != self.name:
            await self.answer(writer, '421 Misdirected Request', request_id)
            return True
        if self.waiting >= self.settings['queue']:
            await self.answer(
                writer,
                '503 Service Unavailable',
                request_id,
                'Bluebellsill-Not-Executed: 1\r\n',
            )
            return True
        options = {name: found[0] for name, found in parse_qs(query).items()}
        sent = {
            'request': f'{method} {target}',
            'body_bytes': length,
            'body_digest': hashlib.sha256(body).hexdigest()[:16],
        }
        deadline_ms = float(headers.get('bluebellsill-deadline-ms') or 1e9)
        work = asyncio.ensure_future(
            self.work(request_id, options, deadline_ms / 1000, sent)
        )
        while not work.done():
            await asyncio.wait({work}, timeout=CLOSE_CHECK_SECONDS)
            is_closed = reader.at_eof() or reader.exception()
            if is_closed and not work.done():
                # A request is dropped when its channel closes.
                work.cancel()
                self.note('dropped', request_id)
                return False
        status = work.result()
        body = b'x' * int(options.get('size', 20))
        stamp = f'Bluebellsill-Server-Stamp: {self.name}.{request_id}\r\n'
        await self.answer(writer, status, request_id, stamp, body)
        self.note('answered', request_id)
        return True

    async def work(self, request_id, options, seconds_left, sent):
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.note('run', request_id, **sent)
        try:
            seconds = float(options.get('work', 10)) / 1000
            await asyncio.sleep(min(seconds, seconds_left))
            late = seconds > seconds_left
            return '504 Gateway Timeout' if late else '200 OK'
        finally:
            self.running -= 1
            self.slots.release()

    async def answer_probe(self, writer):
        writer.write(
            (
                'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                f'Bluebellsill-Instance-Id: {self.name}\r\n'
                'Bluebellsill-Cold-Ms: 0\r\n'
                f'{self.common_headers()}\r\n'
            ).encode()
        )
        await writer.drain()

    async def answer(self, writer, status, request_id, extra='', body=b''):
        writer.write(
            (
                f'HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n'
                f'Bluebellsill-Request-Id: {request_id}\r\n'
                f'{extra}{self.common_headers()}\r\n'
            ).encode()
            + body
        )
        await writer.drain()


async def main():
    settings = json.loads(sys.argv[1])
    server = Server(settings)
    host, port = settings['listen'].split(':')
    listener = await asyncio.start_server(server.serve, host, int(port))
    async with listener:
        await server.report()


asyncio.run(main())
