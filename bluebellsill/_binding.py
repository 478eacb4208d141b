"""Binds the port that identifies a node, for both TCP and UDP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.gossip import Gossip
from bluebellsill.peers import PeerServer

if TYPE_CHECKING:
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

_MAX_ATTEMPTS = 16  # to find a port that is free for both TCP and UDP


def bind_peers(
    reactor: Reactor,
    address: Address,
) -> tuple[PeerServer, Gossip]:
    """Bind the same port for TCP and UDP; port 0 selects a free one.

    Raises:
        OSError: The address cannot be bound.
    """
    for _ in range(_MAX_ATTEMPTS):
        server = PeerServer(reactor, address)
        try:
            return server, Gossip(reactor, server.address)
        except OSError:
            # Another process uses the UDP port of this number.
            server.close()
            if address.port:
                raise
    raise OSError(f'no port on {address.host} is free for both TCP and UDP')
