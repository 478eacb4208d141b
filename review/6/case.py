"""Bytes behind a complete answer get into the answer to the next request."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))
from mesh import Channel, Server, ask, call, new_id, rule, run_case  # noqa: E402

CLIENTS = 12
SECONDS = 5.5
PERIOD = 50  # answers for each one with additional bytes
# What a server's error handler writes when it breaks off: the beginning of
# another answer. It belongs to no request.
EXTRA = (
    b'HTTP/1.1 500 Internal Server Error\r\n'
    b'Content-Type: text/html\r\nContent-Length: 400\r\n\r\n'
    b'<html><body>internal error, please'
)


class FaultyServer(Server):
    """Sends additional bytes after one in fifty of its complete answers."""

    def __init__(self, machine, record, bodies, *, is_faulty: bool) -> None:
        super().__init__(machine)
        self.work_s = 0.078
        self._record = record
        self._bodies = bodies
        self._is_faulty = is_faulty
        self._count = 0

    async def answer(self, request, reader, writer) -> None:
        request_id = request.header('bluebellsill-request-id')
        await asyncio.sleep(self.work_s)
        body = f'{{"order":"{request_id}","state":"placed"}}'.encode()
        self._bodies[request_id] = body
        self._count += 1
        extra = b''
        if self._is_faulty and self._count % PERIOD == 0:
            extra = EXTRA
        writer.write(self.success(request, body) + extra)
        self._record.add(
            'run', id=request_id, by=self.name, extra_bytes=len(extra)
        )


async def play(deployment, record, troubled) -> bool:
    await deployment.start(
        [('zone-a', 'orders'), ('zone-b', 'catalog'), ('zone-c', 'pledges')]
    )
    orders, entry, _ = deployment.machines
    bodies: dict[str, bytes] = {}
    orders.server = FaultyServer(orders, record, bodies, is_faulty=troubled)
    await deployment.start_servers()
    deployment.declare([rule('/orders/', 'orders')])
    await deployment.wait_ready()
    while (
        found := await call(
            entry.address('outbound'), 'POST', '/orders/x', ask(new_id()), b'{}'
        )
    ) is None or found.status != 200:
        await asyncio.sleep(0.1)
    mixed = 0
    statuses: dict[int, int] = {}
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + SECONDS

    async def requester() -> None:
        nonlocal mixed
        channel = await Channel.open(entry.address('outbound'))
        while loop.time() < ends_at:
            request_id = new_id()
            found = await channel.request(
                'POST', f'/orders/{request_id}', ask(request_id), b'{"n":1}'
            )
            if found is None:
                channel = await Channel.open(entry.address('outbound'))
                continue
            statuses[found.status] = statuses.get(found.status, 0) + 1
            whole = bodies.get(request_id)
            is_mixed = found.status == 200 and found.body != whole
            if is_mixed:
                mixed += 1
            record.add(
                'answer',
                id=request_id,
                status=found.status,
                stamp=found.header('bluebellsill-server-stamp') or '-',
                mixed=is_mixed,
                body=found.body,
            )
            if found.status != 200:
                await asyncio.sleep(0.02)
        channel.close()

    await asyncio.gather(*(requester() for _ in range(CLIENTS)))
    record.add('count', statuses=statuses, mixed=mixed)
    print(f'statuses {statuses}, successes with another body: {mixed}')
    return mixed > 0


run_case(HERE, play)
