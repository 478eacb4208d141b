"""A loopback proxy that injects network faults."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from socket import SO_RCVBUF, SOL_SOCKET
from threading import Thread
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_CHUNK = 65536  # bytes read at a time
_SLOW_CHUNK = 4096  # bytes read at a time at a limited rate
# Bytes of the receive buffer at a limited rate. A larger one hides the limit
# from the sender; one below the segment size of loopback delays each segment.
_SLOW_BUFFER = 65536
_TIMEOUT = 5.0  # seconds to run an action or to stop


@dataclass(frozen=True)
class NetworkFault:
    """A network fault on a path.

    Attributes:
        delay: Seconds by which all traffic is delayed.
        holds_to: Whether traffic to the server is held until the fault is
            removed; datagrams are dropped.
        holds_from: Whether traffic from the server is held.
        resets: Whether new connections are reset.
        bytes_per_second: The rate that all connections share in each
            direction, 0 for no limit. Datagrams are not limited.
    """

    delay: float = 0
    holds_to: bool = False
    holds_from: bool = False
    resets: bool = False
    bytes_per_second: float = 0


_NO_FAULT = NetworkFault()


class ProxyPath:
    """Forwards the traffic between one proxy address and a server."""

    def __init__(self, server: str) -> None:
        self._server = _split_address(server)
        self._fault = _NO_FAULT
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers: set[asyncio.StreamWriter] = set()
        self._silent: set[asyncio.StreamWriter] = set()
        self._datagrams: asyncio.DatagramTransport | None = None
        # When the chunks sent so far have passed, to and from the server.
        self._free_at = {True: 0.0, False: 0.0}

    async def open(self, address: str, *, udp: bool) -> None:
        """Listen at an address."""
        host, port = _split_address(address)
        await asyncio.start_server(self._on_connection, host, port)
        if udp:
            loop = asyncio.get_running_loop()
            self._datagrams, _ = await loop.create_datagram_endpoint(
                lambda: _Datagrams(self),
                local_addr=(host, port),
            )

    def set_fault(self, fault: NetworkFault) -> None:
        """Replace the current fault."""
        self._fault = fault
        if fault.holds_to or fault.holds_from:
            self._healed.clear()
        else:
            self._healed.set()

    def reset(self) -> None:
        """Reset every open connection."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    def silence(self) -> None:
        """Stop all traffic on the open connections; new ones work."""
        self._silent |= self._writers

    def forward(self, payload: bytes) -> None:
        """Forward a datagram, unless the current fault delays or drops it."""
        if self._fault.holds_to:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self._fault.delay, self._send, payload)

    def _send(self, payload: bytes) -> None:
        if self._datagrams is not None:
            self._datagrams.sendto(payload, self._server)

    async def _on_connection(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if self._fault.resets:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection(
                *self._server
            )
        except OSError:
            writer.transport.abort()
            return
        if self._fault.bytes_per_second:
            for one in (writer, server_writer):
                sock = one.get_extra_info('socket')
                sock.setsockopt(SOL_SOCKET, SO_RCVBUF, _SLOW_BUFFER)
        pair = (writer, server_writer)
        self._writers.update(pair)
        try:
            await asyncio.gather(
                self._pump(reader, server_writer, is_to_server=True),
                self._pump(server_reader, writer, is_to_server=False),
            )
        finally:
            self._writers.difference_update(pair)
            self._silent.difference_update(pair)

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_to_server: bool,
    ) -> None:
        try:
            while chunk := await reader.read(self._chunk_size()):
                if self._fault.delay:
                    await asyncio.sleep(self._fault.delay)
                await self._pace(len(chunk), is_to_server=is_to_server)
                while self._is_held(is_to_server=is_to_server):
                    await self._healed.wait()
                if writer not in self._silent:
                    writer.write(chunk)
                    await writer.drain()
            if writer not in self._silent:
                writer.close()
        except OSError:
            writer.transport.abort()

    def _is_held(self, *, is_to_server: bool) -> bool:
        fault = self._fault
        return fault.holds_to if is_to_server else fault.holds_from

    def _chunk_size(self) -> int:
        return _SLOW_CHUNK if self._fault.bytes_per_second else _CHUNK

    async def _pace(self, size: int, *, is_to_server: bool) -> None:
        """Wait until a chunk has passed at the limited rate, if any."""
        rate = self._fault.bytes_per_second
        if rate:
            now = asyncio.get_running_loop().time()
            free_at = max(now, self._free_at[is_to_server]) + size / rate
            self._free_at[is_to_server] = free_at
            await asyncio.sleep(free_at - now)


class _Datagrams(asyncio.DatagramProtocol):
    def __init__(self, path: ProxyPath) -> None:
        self._path = path

    def datagram_received(self, payload: bytes, _: Any) -> None:
        self._path.forward(payload)


class Proxy:
    """Runs the paths of a deployment on an event loop in its own thread."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def open(
        self, address: str, server: str, *, udp: bool = False
    ) -> ProxyPath:
        """Listen at an address and return the path from it to a server."""

        async def start() -> ProxyPath:
            path = ProxyPath(server)
            await path.open(address, udp=udp)
            return path

        return self._run(start())

    def do(self, action: Callable[[], None]) -> None:
        """Run an action on the event loop thread."""

        async def act() -> None:
            action()

        self._run(act())

    def close(self) -> None:
        """Stop the event loop; connections are closed at process exit."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_TIMEOUT)

    def _run(self, work: Coroutine[Any, Any, Any]) -> Any:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_TIMEOUT)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)
