"""A request that has run is answered with 503, which promises that it has not."""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / 'common-2'))
from mesh import Channel, Server, ask, call, new_id, rule, run_case  # noqa: E402

CLIENTS = 24
SECONDS = 5.5
PERIOD = 50  # answers for each one with additional bytes
# The beginning of an answer that the server gives when it is full, broken off
# before the request id. It belongs to no request.
EXTRA = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'Bluebellsill-Not-Executed: 1\r\nBluebellsill-Serv'
)


class CountingServer(Server):
    """Counts the runs; may send additional bytes after some answers."""

    def __init__(self, machine, record, runs, *, is_faulty: bool) -> None:
        super().__init__(machine)
        self.work_s = 0.078
        self._record = record
        self._runs = runs
        self._is_faulty = is_faulty
        self._count = 0

    async def answer(self, request, reader, writer) -> None:
        request_id = request.header('bluebellsill-request-id')
        self._runs[request_id] += 1
        self._record.add('run', id=request_id, by=self.name)
        await asyncio.sleep(self.work_s)
        self._count += 1
        is_extra = self._is_faulty and self._count % PERIOD == 0
        body = f'{{"order":"{request_id}"}}'.encode()
        writer.write(self.success(request, body) + is_extra * EXTRA)
        if is_extra:
            self._record.add('additional bytes', after=request_id, by=self.name)


async def play(deployment, record, troubled) -> bool:
    await deployment.start(
        [('zone-a', 'orders'), ('zone-b', 'orders'), ('zone-c', 'catalog')]
    )
    first, second, entry = deployment.machines
    runs: Counter[str] = Counter()
    first.server = CountingServer(first, record, runs, is_faulty=troubled)
    second.server = CountingServer(second, record, runs, is_faulty=False)
    await deployment.start_servers()
    deployment.declare([rule('/orders/', 'orders')])
    await deployment.wait_ready()
    served = 0
    while served < 20:
        found = await call(
            entry.address('outbound'), 'POST', '/orders/x', ask(new_id()), b'{}'
        )
        served += found is not None and found.status == 200
        await asyncio.sleep(0.02)
    statuses: Counter[int] = Counter()
    refused: list[str] = []
    loop = asyncio.get_running_loop()
    ends_at = loop.time() + SECONDS

    async def requester() -> None:
        channel = await Channel.open(entry.address('outbound'))
        while loop.time() < ends_at:
            request_id = new_id()
            found = await channel.request(
                'POST', f'/orders/{request_id}', ask(request_id), b'{"n":1}'
            )
            if found is None:
                channel = await Channel.open(entry.address('outbound'))
                continue
            statuses[found.status] += 1
            record.add('answer', id=request_id, status=found.status)
            if found.status in (408, 421, 429, 503):
                refused.append(request_id)
                await asyncio.sleep(0.02)
        channel.close()

    await asyncio.gather(*(requester() for _ in range(CLIENTS)))
    twice = [one for one, count in runs.items() if count > 1]
    ran = [one for one in refused if runs[one]]
    record.add('count', statuses=dict(statuses), twice=twice, refused_but_ran=ran)
    print(
        f'statuses {dict(statuses)}, run twice: {len(twice)},'
        f' refused though they ran: {len(ran)}'
    )
    return bool(ran or twice)


run_case(HERE, play)
