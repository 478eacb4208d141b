"""Assembles the peer-to-peer components that every node has."""

from __future__ import annotations

from time import time
from typing import TYPE_CHECKING

from bluebellsill._binding import bind_peers
from bluebellsill.body_transfer import CallLinks
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
    from bluebellsill.rollout import RolloutTracker
    from bluebellsill.streams import Address

__all__ = ('PeerStack',)

_MILLISECONDS_PER_SECOND = 1000


class PeerStack:
    """Membership, peer links and the replication of one replica.

    Attributes:
        server: Accepts connections of other nodes.
        gossip: Sends and receives datagrams.
        members: The nodes known to this one.
        swim: Detects failed members and disseminates membership updates.
        gossip_task: Runs ``swim`` periodically and on received datagrams.
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
        rollout: RolloutTracker | None = None,
        advertised: str = '',
    ) -> None:
        """Bind the port that identifies the node.

        Args:
            reactor: Polls the sockets.
            address: Where the node listens for its peers.
            zone: Its availability zone.
            random: Selects the members to contact.
            replica: The configuration that is replicated to all nodes.
            load: Returns the number of calls in flight at the target.
            rollout: Collects the reports that this node receives as a reader;
                None in deployments without rollout status.
            advertised: The address at which other nodes reach this one,
                empty for ``address``.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server, self.gossip = bind_peers(reactor, address)
        own = Member(
            advertised or str(self.server.address),
            int(time() * _MILLISECONDS_PER_SECOND),
            0,
            int(MemberState.JOINING),
            zone,
            '',
        )
        self.members = Members(own)
        self.swim = Swim(self.members, random, lambda: replica.version)
        self.gossip_task = GossipTask(
            self.swim,
            self.gossip,
            replica,
            rollout,
            reactor.timers,
            load,
        )
        self.gossip.on_message = self.gossip_task.on_message
        self.server.hello = lambda: self._hello('')
        verify = self.gossip_task.verify
        self.links = PeerLinks(reactor, self._hello, verify)
        self._call_links = CallLinks(
            self.links,
            PeerLinks(reactor, lambda _: self._hello(''), verify),
        )
        replicator = RevisionReplicator(replica, self.links)
        self.gossip_task.on_version = replicator.on_peer_version
        self.server.on(RevisionRequest, replicator.on_request)

    @property
    def call_links(self) -> CallLinks:
        """Sends calls to other nodes, with further links for large bodies."""
        return self._call_links

    def _hello(self, peer: str) -> Hello:
        """Return the first message to a peer, the empty string for any."""
        own = self.members.own
        known = self.members.by_id.get(peer)
        # Traffic is charged for between zones only, so only there is it worth
        # compressing.
        is_in_other_zone = known is not None and known.zone != own.zone
        return Hello(
            own.id,
            own.incarnation,
            is_in_other_zone,
            transfers_bodies=True,
        )
