"""What every node has towards its peers, put together."""

from __future__ import annotations

from time import time
from typing import TYPE_CHECKING

from bluebellsill._binding import bind_peers
from bluebellsill.gossip_messages import Member
from bluebellsill.gossip_task import GossipTask
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import Hello, RevisionRequest
from bluebellsill.peers import PeerLinks
from bluebellsill.revision_replication import RevisionReplicator
from bluebellsill.swim import Swim

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bluebellsill.gossip_task import ObservableReplica
    from bluebellsill.reactor import Reactor
    from bluebellsill.rollout import Rollout
    from bluebellsill.streams import Address

__all__ = ('PeerStack',)

_MILLISECONDS = 1000  # in a second


class PeerStack:
    """The membership, the links and the spread of one replica.

    Attributes:
        server: Accepts connections of other nodes.
        gossip: The datagrams.
        members: Every node that this one knows of.
        swim: Finds failed members and spreads news.
        gossip_task: Drives it.
        links: Connections to other nodes.
    """

    def __init__(
        self,
        reactor: Reactor,
        address: Address,
        zone: str,
        random: Random,
        replica: ObservableReplica,
        load: Callable[[], int],
        rollout: Rollout | None = None,
        advertised: str = '',
    ) -> None:
        """Bind the port that names the node.

        Args:
            reactor: Waits for the sockets.
            address: Where the node listens for its peers.
            zone: Its availability zone.
            random: Picks whom to ask.
            replica: What all nodes have a copy of.
            load: Returns the calls in flight at the target.
            rollout: Notes which nodes have a revision in force; None where
                nobody asks.
            advertised: Where others reach the node, empty for ``address``.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server, self.gossip = bind_peers(reactor, address)
        own = Member(
            advertised or str(self.server.address),
            int(time() * _MILLISECONDS),
            0,
            int(MemberState.JOINING),
            zone,
            '',
        )
        self.members = Members(own)
        self.swim = Swim(self.members, random, lambda: replica.revision)
        self.gossip_task = GossipTask(
            self.swim,
            self.gossip,
            replica,
            rollout,
            reactor.timers,
            load,
        )
        self.gossip.on_message = self.gossip_task.on_message
        self.links = PeerLinks(
            reactor,
            self._hello,
            self.gossip_task.verify,
        )
        spread = RevisionReplicator(replica, self.links)
        self.gossip_task.on_revision = spread.on_peer_revision
        self.server.on(RevisionRequest, spread.on_request)

    def _hello(self, peer: str) -> Hello:
        own = self.members.own
        known = self.members.by_id.get(peer)
        # Bytes cost something between zones only.
        is_far = known is not None and known.zone != own.zone
        return Hello(own.id, own.incarnation, is_far)
