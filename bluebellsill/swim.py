"""The SWIM failure detector and the dissemination of member records.

Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
process group membership protocol", 2002: in each period a member pings one
other member. Before it suspects a member that does not answer, it asks a
few others to ping that member too. Updates are piggybacked on the pings.
There is no leader, and the load of a member does not grow with the group.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from msgspec.structs import replace

from bluebellsill.dissemination import MAX_UPDATES, Dissemination
from bluebellsill.gossip_messages import (
    Ack,
    Member,
    Ping,
    PingRequest,
    Sync,
    SyncRequest,
)
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import Message
from bluebellsill.peer_sampling import PeerSampler

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bluebellsill.replica_version import ReplicaVersion

__all__ = ('PERIOD', 'Datagram', 'Swim')

PERIOD = 0.5  # seconds between the pings that a member sends
_DIRECT_TIMEOUT = 0.25  # seconds until other members are asked to ping too
_PROBE_TIMEOUT = 0.9  # seconds until the member is suspected
_SUSPICION_TIMEOUT = 2.5  # seconds until a suspected member is gone
_INDIRECT_PROBES = 2  # members asked to ping one that does not answer
_PUSH_FANOUT = 3  # members that an update is pushed to at once
_MAX_EXTRA_PINGS = 8  # pings in one period beyond the regular one
_SYNC_PERIODS = 10  # periods between syncs with a random member
_MAX_SYNC_RECORDS = 120  # records in the answer to one request
_MAX_SERVICE_RECORDS = 30  # of them that are of the requester's service
_REJOIN_PERIODS = 6  # periods between attempts to reach gone members


@dataclass(frozen=True, slots=True)
class Datagram:
    """A message and the address to which it is sent."""

    address: str
    message: Message


@dataclass(slots=True)
class _Probe:
    """A ping of this node that awaits its answer."""

    member: Member
    sent_at: float
    has_asked_others: bool = False


@dataclass(slots=True)
class _RelayedPing:
    """A ping sent on behalf of another member that awaits its answer."""

    requester: str
    sequence: int
    sent_at: float


class Swim:
    """The failure detector and update dissemination of one node.

    It does no I/O: methods return the datagrams to send.
    """

    def __init__(
        self,
        members: Members,
        random: Random,
        version: Callable[[], ReplicaVersion],
    ) -> None:
        """Create a detector.

        Args:
            members: The table to keep up to date.
            random: Selects the members to contact.
            version: Returns the version of this node's replica.
        """
        self.members = members
        self.seeds: list[str] = []
        self._random = random
        self._version = version
        self.next_sequence = 1
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _RelayedPing] = {}
        self._suspected_at_by_id: dict[str, float] = {}
        self._dissemination = Dissemination(members)
        self._probe_order: list[str] = []
        self._peers = PeerSampler(members, random)
        self._disseminates = True
        self._needs_sync = False
        self._periods = 0
        self._now: float = 0
        members.subscribe(self._on_change)

    def tick(self, now: float) -> list[Datagram]:
        """Run one protocol period.

        Args:
            now: The time of the local clock in seconds.

        Returns:
            The datagrams to send.
        """
        self._now = now
        self._periods += 1
        datagrams = self.check_timeouts(now)
        self._expire_suspects(now)
        self.members.purge_gone(now)
        member = self._next_to_probe()
        if member is not None:
            datagrams.append(self._probe(member, now))
        if self._needs_sync or self._periods % _SYNC_PERIODS == 1:
            self._needs_sync = False
            datagrams.extend(self._start_sync())
        datagrams.extend(self._push_backlog())
        if self._periods % _REJOIN_PERIODS == 0:
            datagrams.extend(self._contact_unreachable())
        return datagrams

    def check_timeouts(self, now: float) -> list[Datagram]:
        """Process the timeouts of pings that have not been answered.

        After the direct timeout other members are asked to ping, after the
        probe timeout the member is suspected.
        """
        self._now = now
        datagrams: list[Datagram] = []
        for sequence, probe in tuple(self._probes.items()):
            waited = now - probe.sent_at
            if waited >= _PROBE_TIMEOUT:
                del self._probes[sequence]
                self._suspect(probe.member, now)
            elif waited >= _DIRECT_TIMEOUT and not probe.has_asked_others:
                probe.has_asked_others = True
                datagrams.extend(self._request_pings(probe.member, sequence))
        for sequence, relay in tuple(self._relays.items()):
            if now - relay.sent_at > _PROBE_TIMEOUT:
                del self._relays[sequence]
        return datagrams

    def push(self) -> list[Datagram]:
        """Send pending updates to a few random members immediately."""
        return [
            self._ping(one) for one in self._peers.sample_near(_PUSH_FANOUT)
        ]

    def handle(self, message: Message, now: float) -> list[Datagram]:
        """Handle a datagram.

        Args:
            message: The decoded datagram.
            now: The time of the local clock in seconds.

        Returns:
            The datagrams to send.
        """
        self._now = now
        if isinstance(message, Ping):
            return self._on_ping(message, now)
        if isinstance(message, Ack):
            return self._on_ack(message, now)
        if isinstance(message, PingRequest):
            return self._on_ping_request(message, now)
        if isinstance(message, SyncRequest):
            self.members.merge(message.sender, now)
            return self._answer_sync(message)
        if isinstance(message, Sync):
            # The records of a sync have usually reached the other members
            # already, so they are not disseminated further.
            self._disseminates = False
            known = len(self.members.by_id)
            self._merge(message.sender, message.members, now)
            self._disseminates = True
            # Request another sync until one reveals no unknown member.
            self._needs_sync |= len(self.members.by_id) > known
        return []

    def verify(self, member_id: str, now: float) -> list[Datagram]:
        """Ping a member immediately because a connection to it failed."""
        member = self.members.by_id.get(member_id)
        if member is None or member.state >= MemberState.SUSPECT:
            return []
        if any(probe.member.id == member_id for probe in self._probes.values()):
            return []
        return [self._probe(member, now)]

    def sync_with(self, addresses: list[str]) -> list[Datagram]:
        """Request syncs from nodes, which need not be known members."""
        return [self._sync_request(address) for address in addresses]

    def _push_backlog(self) -> list[Datagram]:
        """Send extra pings while many updates are pending."""
        extra = min(self._dissemination.backlog, _MAX_EXTRA_PINGS)
        return [self._ping(one) for one in self._peers.sample_near(extra)]

    def _on_ping(self, ping: Ping, now: float) -> list[Datagram]:
        was_alone = len(self.members.by_id) == 1
        self._merge(ping.sender, ping.updates, now)
        version = self._version()
        ack = Ack(
            ping.sequence,
            self.members.own.id,
            self.members.own,
            version.position.revision,
            self._dissemination.take(receiver=ping.sender.id),
            version.position.epoch,
            version.document,
        )
        datagrams = [Datagram(ping.sender.id, ack)]
        if was_alone:
            # A node that knew no other member requests the whole table from
            # the first one that contacts it.
            datagrams.append(self._sync_request(ping.sender.id))
        return datagrams

    def _on_ack(self, ack: Ack, now: float) -> list[Datagram]:
        self._merge(ack.sender, ack.updates, now)
        self._probes.pop(ack.sequence, None)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [
            Datagram(relay.requester, replace(ack, sequence=relay.sequence))
        ]

    def _on_ping_request(
        self, request: PingRequest, now: float
    ) -> list[Datagram]:
        self.members.merge(request.sender, now)
        datagram = self._ping(request.target)
        if isinstance(datagram.message, Ping):
            relay = _RelayedPing(request.sender.id, request.sequence, now)
            self._relays[datagram.message.sequence] = relay
        return [datagram]

    def _merge(self, sender: Member, updates: list[Member], now: float) -> None:
        self.members.merge(sender, now)
        for record in updates:
            self.members.merge(record, now)

    def _on_change(self, known: Member | None, record: Member) -> None:
        if self._disseminates or record.id == self.members.own.id:
            self._dissemination.add(record.id)
        if record.state == MemberState.SUSPECT:
            self._suspected_at_by_id.setdefault(record.id, self._now)
        else:
            self._suspected_at_by_id.pop(record.id, None)

    def _suspect(self, member: Member, now: float) -> None:
        current = self.members.by_id.get(member.id)
        if current is None or current.state >= MemberState.SUSPECT:
            return
        suspected = replace(current, state=int(MemberState.SUSPECT))
        self.members.merge(suspected, now)

    def _expire_suspects(self, now: float) -> None:
        for member_id, since in tuple(self._suspected_at_by_id.items()):
            if now - since < _SUSPICION_TIMEOUT:
                continue
            record = self.members.by_id[member_id]
            gone = replace(record, state=int(MemberState.GONE))
            self.members.merge(gone, now)

    def _next_to_probe(self) -> Member | None:
        """Return the next member in a random order that covers them all."""
        while self._probe_order:
            record = self.members.by_id.get(self._probe_order.pop())
            if record is not None and record.state != MemberState.GONE:
                return record
        own_id = self.members.own.id
        self._probe_order = [
            record.id
            for record in self.members.by_id.values()
            if record.state != MemberState.GONE and record.id != own_id
        ]
        self._random.shuffle(self._probe_order)
        if not self._probe_order:
            return None
        return self.members.by_id[self._probe_order.pop()]

    def _probe(self, member: Member, now: float) -> Datagram:
        datagram = self._ping(member.id)
        if isinstance(datagram.message, Ping):
            self._probes[datagram.message.sequence] = _Probe(member, now)
        return datagram

    def _ping(self, address: str) -> Datagram:
        own = self.members.own
        updates = self._dissemination.take(receiver=address)
        version = self._version()
        ping = Ping(
            self.next_sequence,
            own,
            version.position.revision,
            updates,
            version.position.epoch,
            version.document,
        )
        self.next_sequence += 1
        return Datagram(address, ping)

    def _request_pings(self, member: Member, sequence: int) -> list[Datagram]:
        request = PingRequest(sequence, member.id, self.members.own)
        relays = self._peers.sample(_INDIRECT_PROBES, exclude=member.id)
        return [Datagram(relay, request) for relay in relays]

    def _start_sync(self) -> list[Datagram]:
        own_id = self.members.own.id
        other_seeds = [seed for seed in self.seeds if seed != own_id]
        addresses = self._peers.sample(1) or other_seeds
        if not addresses:
            return []
        return [self._sync_request(self._random.choice(addresses))]

    def _sync_request(self, address: str) -> Datagram:
        """Return a request for the records that differ at another member."""
        version = self._version()
        request = SyncRequest(
            self.members.own,
            version.position.revision,
            self.members.hashes(),
            version.position.epoch,
            version.document,
        )
        return Datagram(address, request)

    def _answer_sync(self, request: SyncRequest) -> list[Datagram]:
        own = self.members.own
        version = self._version()
        differing = list(self.members.differing(request.hashes))
        self._random.shuffle(differing)
        # In a large deployment it takes many syncs to learn all members, and
        # a node needs those of its own service before it runs calls.
        service = request.sender.service
        peers = [one for one in differing if one.service == service]
        first = peers[:_MAX_SERVICE_RECORDS] if service else []
        known = {one.id for one in first}
        others = (one for one in differing if one.id not in known)
        records = [*first, *islice(others, _MAX_SYNC_RECORDS - len(first))]
        return [
            Datagram(
                request.sender.id,
                Sync(
                    own,
                    version.position.revision,
                    records[start : start + MAX_UPDATES],
                    version.position.epoch,
                    version.document,
                ),
            )
            for start in range(0, max(1, len(records)), MAX_UPDATES)
        ]

    def _contact_unreachable(self) -> list[Datagram]:
        """Request syncs from a gone member and from an unknown seed.

        Either may be reachable again after a network partition.
        """
        gone_id = self.members.random_gone_id(self._random)
        known = self.members.by_id
        unknown_seeds = [seed for seed in self.seeds if seed not in known]
        addresses = [gone_id] if gone_id else []
        if unknown_seeds:
            addresses.append(self._random.choice(unknown_seeds))
        return [self._sync_request(address) for address in addresses]
