"""A proxy on loopback that harms what goes through it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from threading import Thread
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_CHUNK = 65536  # bytes read at a time
_START_WAIT = 5.0  # seconds


@dataclass(frozen=True)
class Harm:
    """What happens to a path.

    Attributes:
        delay: Seconds by which everything is late.
        holds_to: Whether what goes to the server is held until it heals;
            datagrams are lost.
        holds_from: The same for what comes from the server.
        resets: Whether new connections are reset.
    """

    delay: float = 0
    holds_to: bool = False
    holds_from: bool = False
    resets: bool = False


_HEALTHY = Harm()


class Path:
    """One address of a server, reached through the proxy."""

    def __init__(self, server: str) -> None:
        self._server = _pair(server)
        self._harm = _HEALTHY
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._datagrams: asyncio.DatagramTransport | None = None

    async def open(self, address: str, *, udp: bool) -> None:
        """Listen at an address."""
        host, port = _pair(address)
        await asyncio.start_server(self._on_connection, host, port)
        if udp:
            loop = asyncio.get_running_loop()
            self._datagrams, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self),
                local_addr=(host, port),
            )

    def harm(self, harm: Harm) -> None:
        """Change what happens from now on."""
        self._harm = harm
        if harm.holds_to or harm.holds_from:
            self._healed.clear()
        else:
            self._healed.set()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Let open connections go silent for good; new ones work."""
        self._silent |= self._writers

    def forward(self, payload: bytes) -> None:
        """Pass a datagram on, late or not at all."""
        if self._harm.holds_to:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._harm.delay, self._send, payload)

    def _send(self, payload: bytes) -> None:
        if self._datagrams is not None:
            self._datagrams.sendto(payload, self._server)

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._harm.resets:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self._server
            )
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self._writers.update(pair)
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, lambda: self._harm.holds_to),
                self._pump(far_reader, writer, lambda: self._harm.holds_from),
            )
        finally:
            self._writers.difference_update(pair)
            self._silent.difference_update(pair)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_held: Callable[[], bool],
    ) -> None:
        try:
            while chunk := await reader.read(_CHUNK):
                if self._harm.delay:
                    await asyncio.sleep(self._harm.delay)
                while is_held():
                    await self._healed.wait()
                if writer not in self._silent:
                    writer.write(chunk)
                    await writer.drain()
            if writer not in self._silent:
                writer.close()
        except OSError:
            writer.transport.abort()


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, path: Path) -> None:
        self._path = path

    def datagram_received(self, payload: bytes, _: Any) -> None:
        self._path.forward(payload)


class Proxy:
    """Runs the paths of a deployment in a thread of its own."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def open(self, address: str, server: str, *, udp: bool = False) -> Path:
        """Return a path to a server that is reached at an address."""

        async def start() -> Path:
            path = Path(server)
            await path.open(address, udp=udp)
            return path

        return self._run(start())

    def do(self, action: Callable[[], None]) -> None:
        """Do something to paths, in their thread."""

        async def act() -> None:
            action()

        self._run(act())

    def close(self) -> None:
        """Stop; every connection ends with the process."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_START_WAIT)

    def _run(self, work: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_START_WAIT)


def _pair(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
