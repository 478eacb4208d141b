"""Binds the one port that names a node, for TCP and UDP."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.gossip import Gossip
from bluebellsill.peers import PeerServer

if TYPE_CHECKING:
    from bluebellsill.reactor import Reactor
    from bluebellsill.streams import Address

_TRIES = 16  # attempts to find a port that is free for both


def bind_peers(
    reactor: Reactor,
    address: Address,
) -> tuple[PeerServer, Gossip]:
    """Bind the same port for TCP and UDP; port 0 takes a free one.

    Raises:
        OSError: The address cannot be bound.
    """
    for _ in range(_TRIES):
        server = PeerServer(reactor, address)
        try:
            return server, Gossip(reactor, server.address)
        except OSError:
            # Somebody else has the UDP port of the number that TCP got.
            server.close()
            if address.port:
                raise
    raise OSError(f'no port of {address.host} is free for TCP and UDP')
