"""The network between the processes of a soak test, through a proxy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.soak.proxy import NetworkFault, Proxy, ProxyPath

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Added to the last octet of a VM's loopback address. The paths to the store have
# hosts of their own: all have its port, which a listener of a VM may have too.
_PROXY_OFFSET = 90
_STORE_OFFSET = 180
_PROXIED = ('peers', 'store', 'target')


class Network:
    """Allocates proxy addresses and injects network faults."""

    def __init__(self) -> None:
        self._proxy = Proxy()
        self._paths: dict[tuple[str, str], tuple[ProxyPath, str]] = {}

    def reach(self, vm: str, listener: str, address: str) -> str:
        """Return the address by which others reach a listener of a VM.

        Each VM reaches the store over a path of its own.
        """
        key = (vm, listener)
        if listener not in _PROXIED:
            return address
        if key not in self._paths:
            outside = (
                self._store(vm, address)
                if listener == 'store'
                else _shifted(address, _PROXY_OFFSET)
            )
            is_udp = listener == 'peers'
            path = self._proxy.open(outside, address, udp=is_udp)
            self._paths[key] = (path, outside)
        return self._paths[key][1]

    def inject(
        self, vm: str, listeners: Iterable[str], fault: NetworkFault
    ) -> None:
        """Inject a fault into the paths to some listeners of a VM."""
        self._each(vm, listeners, lambda path: path.set_fault(fault))

    def heal(self, vm: str, listeners: Iterable[str]) -> None:
        """Remove the fault."""
        self.inject(vm, listeners, NetworkFault())

    def reset(self, vm: str, listeners: Iterable[str]) -> None:
        """Reset the open connections to some listeners of a VM."""
        self._each(vm, listeners, lambda path: path.reset())

    def silence(self, vm: str, listeners: Iterable[str]) -> None:
        """Stop all traffic on the open connections to some listeners."""
        self._each(vm, listeners, lambda path: path.silence())

    def close(self) -> None:
        """Stop the proxy."""
        self._proxy.close()

    def _each(
        self,
        vm: str,
        listeners: Iterable[str],
        action: Callable[[ProxyPath], None],
    ) -> None:
        paths = [self._paths[vm, listener][0] for listener in listeners]

        def act() -> None:
            for path in paths:
                action(path)

        self._proxy.do(act)

    def _store(self, vm: str, address: str) -> str:
        """Return the store's port at a loopback address of a VM's own."""
        peers = self._paths[vm, 'peers'][1]
        host = peers.rpartition(':')[0]
        port = address.rpartition(':')[2]
        return _shifted(f'{host}:{port}', _STORE_OFFSET - _PROXY_OFFSET)


def _shifted(address: str, offset: int) -> str:
    """Add to the last octet of an address."""
    host, _, port = address.rpartition(':')
    net, _, last = host.rpartition('.')
    return f'{net}.{int(last) + offset}:{port}'
