"""A request that crashes servers crashes more of them in a rolling restart."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'common-2'))
from mesh import (  # noqa: E402
    CannotRunError, Server, ask, call, new_id, rule, run_case,
)

CONTACT_S = 3.0
BACK_AFTER_S = 1.5  # a crashed server is back
GAP_S = 4.5  # between two passes of the request over all machines
PASSES = 3  # of them after each restart of a node


class CrashingServer(Server):
    """Crashes when it begins to run the request, and comes back."""

    def __init__(self, machine, record, crashes) -> None:
        super().__init__(machine)
        self._record = record
        self._crashes = crashes

    async def answer(self, request, reader, writer) -> None:
        if request.path != '/catalog/poison':
            await super().answer(request, reader, writer)
            return
        now = asyncio.get_running_loop().time()
        self._crashes.append((now, self.machine.index))
        self._record.add('crash', by=self.name, machine=self.machine.index)
        asyncio.get_running_loop().create_task(self._crash())
        await asyncio.sleep(5)

    async def _crash(self) -> None:
        await self.stop()
        await asyncio.sleep(BACK_AFTER_S)
        fresh = CrashingServer(self.machine, self._record, self._crashes)
        self.machine.server = fresh
        await fresh.start()


async def play(deployment, record, troubled) -> bool:
    loop = asyncio.get_running_loop()
    zones = ('zone-a', 'zone-b', 'zone-c')
    await deployment.start([(zone, 'catalog') for zone in zones])
    crashes: list[tuple[float, int]] = []
    for machine in deployment.machines:
        machine.server = CrashingServer(machine, record, crashes)
    await deployment.start_servers()
    deployment.declare([rule('/catalog/', 'catalog', 'idempotent')])
    await deployment.wait_ready()
    await asyncio.sleep(CONTACT_S + 1)

    async def send_everywhere() -> None:
        for machine in deployment.machines:
            found = await call(
                machine.address('outbound'),
                'GET', '/catalog/poison', ask(new_id()), timeout=2,
            )
            status = found.status if found else 0
            record.add('answer', machine=machine.index, status=status)
            await asyncio.sleep(0.1)

    for _ in range(PASSES):
        await send_everywhere()
        await asyncio.sleep(GAP_S)
    print(f'crashes before any restart: {len(crashes)}')
    for machine in deployment.machines:
        if troubled:
            machine.signal(signal.SIGTERM)
            record.add('SIGTERM', machine=machine.index)
            try:
                await asyncio.wait_for(machine.process.wait(), 7)
            except TimeoutError:
                raise CannotRunError('node did not stop') from None
            await machine.start_node(is_first=False)
            record.add('started again', machine=machine.index)
        await asyncio.sleep(GAP_S)
        for _ in range(PASSES):
            await send_everywhere()
            await asyncio.sleep(GAP_S)
    third_at = crashes[2][0] if len(crashes) > 2 else loop.time()
    later = [one for one in crashes if one[0] > third_at + CONTACT_S]
    record.add('count', crashes=len(crashes), later_than_contact=len(later))
    print(f'crashes: {len(crashes)}, after contact_ms past the third: {len(later)}')
    return len(later) > 3


run_case(HERE, play)
