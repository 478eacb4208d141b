"""Finds failed members and spreads news, without a leader.

Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style
process group membership protocol", 2002: each member pings one other in
each period, asks helpers to ping before it suspects, and news travels on
the pings. Load for each member does not grow with the group.
"""

from __future__ import annotations

from dataclasses import dataclass
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

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

__all__ = ('PERIOD', 'Send', 'Swim')

PERIOD = 0.5  # seconds between pings of one member
_DIRECT_WAIT = 0.25  # seconds until helpers are asked
_INDIRECT_WAIT = 0.9  # seconds until the member is suspected
_SUSPICION = 2.5  # seconds until a suspected member is gone
_HELPERS = 2
_PUSH_FANOUT = 3
_MAX_EXTRA = 8  # pings in one period beyond the usual one
_SYNC_PERIODS = 10
_SYNC_RECORDS = 120  # records answered to one request
_GONE_PERIODS = 6


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram to send."""

    address: str
    message: Message


@dataclass(slots=True)
class _Probe:
    """A ping that has not been answered yet."""

    target: Member
    sent_at: float
    helpers_asked: bool = False


@dataclass(slots=True)
class _Relay:
    """A ping sent on behalf of another member."""

    asker: str
    sequence: int
    sent_at: float


class Swim:
    """The failure detector and the spreader of news of one node."""

    def __init__(
        self,
        members: Members,
        random: Random,
        revision: Callable[[], int],
    ) -> None:
        """Create a detector.

        Args:
            members: The table to keep up to date.
            random: Picks whom to ping.
            revision: Returns the configuration revision in force.
        """
        self.members = members
        self.seeds: list[str] = []
        self._random = random
        self._revision = revision
        self.next_sequence = 1
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._suspected_at_by_id: dict[str, float] = {}
        self._news = Dissemination(members)
        self._ring: list[str] = []
        self._pool: list[str] = []
        self._pool_is_current = False
        self._is_news = True
        self._wants_sync = False
        self._periods = 0
        self._now: float = 0
        members.subscribe(self._on_change)

    def tick(self, now: float) -> list[Send]:
        """Run one period.

        Args:
            now: The time of the local clock in seconds.

        Returns:
            The datagrams to send.
        """
        self._now = now
        self._periods += 1
        sends = self.check(now)
        self._expire_suspects(now)
        self.members.forget_gone(now)
        target = self._next_target()
        if target is not None:
            sends.append(self._probe(target, now))
        if self._wants_sync or self._periods % _SYNC_PERIODS == 1:
            self._wants_sync = False
            sends.extend(self._start_sync())
        sends.extend(self._push_backlog())
        if self._periods % _GONE_PERIODS == 0:
            sends.extend(self._knock())
        return sends

    def check(self, now: float) -> list[Send]:
        """Ask helpers for late answers, suspect where they failed too."""
        self._now = now
        sends: list[Send] = []
        for sequence, probe in tuple(self._probes.items()):
            waited = now - probe.sent_at
            if waited >= _INDIRECT_WAIT:
                del self._probes[sequence]
                self._suspect(probe.target, now)
            elif waited >= _DIRECT_WAIT and not probe.helpers_asked:
                probe.helpers_asked = True
                sends.extend(self._ask_helpers(probe.target, sequence))
        for sequence, relay in tuple(self._relays.items()):
            if now - relay.sent_at > _INDIRECT_WAIT:
                del self._relays[sequence]
        return sends

    def push(self) -> list[Send]:
        """Send the newest news to a few members at once."""
        return [self._ping(one) for one in self._sample(_PUSH_FANOUT)]

    def handle(self, message: Message, now: float) -> list[Send]:
        """Handle a datagram.

        Args:
            message: What has arrived.
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
            # What a sync tells is old news to the others.
            self._is_news = False
            known = len(self.members.by_id)
            self._merge(message.sender, message.members, now)
            self._is_news = True
            # Who learns of strangers asks on, until there are none.
            self._wants_sync |= len(self.members.by_id) > known
        return []

    def suspect(self, member_id: str, now: float) -> list[Send]:
        """Check a member out of turn, because a connection to it failed."""
        member = self.members.by_id.get(member_id)
        if member is None or member.state >= MemberState.SUSPECT:
            return []
        if any(probe.target.id == member_id for probe in self._probes.values()):
            return []
        return [self._probe(member, now)]

    def meet(self, addresses: list[str]) -> list[Send]:
        """Ask nodes that may be strangers for all that they know."""
        return [self._sync_request(address) for address in addresses]

    def _push_backlog(self) -> list[Send]:
        """Send more than the usual news after many changes at once."""
        extra = min(self._news.backlog, _MAX_EXTRA)
        return [self._ping(one) for one in self._sample(extra)]

    def _on_ping(self, ping: Ping, now: float) -> list[Send]:
        was_alone = len(self.members.by_id) == 1
        self._merge(ping.sender, ping.updates, now)
        ack = Ack(
            ping.sequence,
            self.members.own.id,
            self.members.own,
            self._revision(),
            self._news.take(about=ping.sender.id),
        )
        sends = [Send(ping.sender.id, ack)]
        if was_alone:
            # Whoever was found by others learns the rest from the first.
            sends.append(self._sync_request(ping.sender.id))
        return sends

    def _on_ack(self, ack: Ack, now: float) -> list[Send]:
        self._merge(ack.sender, ack.updates, now)
        self._probes.pop(ack.sequence, None)
        relay = self._relays.pop(ack.sequence, None)
        if relay is None:
            return []
        return [Send(relay.asker, replace(ack, sequence=relay.sequence))]

    def _on_ping_request(self, request: PingRequest, now: float) -> list[Send]:
        self.members.merge(request.sender, now)
        send = self._ping(request.target)
        if isinstance(send.message, Ping):
            relay = _Relay(request.sender.id, request.sequence, now)
            self._relays[send.message.sequence] = relay
        return [send]

    def _merge(self, sender: Member, updates: list[Member], now: float) -> None:
        self.members.merge(sender, now)
        for record in updates:
            self.members.merge(record, now)

    def _on_change(self, known: Member | None, record: Member) -> None:
        self._pool_is_current = False
        if self._is_news or record.id == self.members.own.id:
            self._news.add(record.id)
        if record.state == MemberState.SUSPECT:
            self._suspected_at_by_id.setdefault(record.id, self._now)
        else:
            self._suspected_at_by_id.pop(record.id, None)

    def _suspect(self, target: Member, now: float) -> None:
        current = self.members.by_id.get(target.id)
        if current is None or current.state >= MemberState.SUSPECT:
            return
        suspected = replace(current, state=int(MemberState.SUSPECT))
        self.members.merge(suspected, now)

    def _expire_suspects(self, now: float) -> None:
        for member_id, since in tuple(self._suspected_at_by_id.items()):
            if now - since < _SUSPICION:
                continue
            record = self.members.by_id[member_id]
            gone = replace(record, state=int(MemberState.GONE))
            self.members.merge(gone, now)

    def _sample(self, count: int, besides: str = '') -> list[str]:
        """Return a few random live members."""
        if not self._pool_is_current:
            own_id = self.members.own.id
            live = self.members.live()
            self._pool = [one.id for one in live if one.id != own_id]
            self._pool_is_current = True
        wanted = min(count + 1, len(self._pool))
        drawn = self._random.sample(self._pool, wanted)
        return [one for one in drawn if one != besides][:count]

    def _next_target(self) -> Member | None:
        while self._ring:
            record = self.members.by_id.get(self._ring.pop())
            if record is not None and record.state != MemberState.GONE:
                return record
        own_id = self.members.own.id
        self._ring = [
            record.id
            for record in self.members.by_id.values()
            if record.state != MemberState.GONE and record.id != own_id
        ]
        self._random.shuffle(self._ring)
        if not self._ring:
            return None
        return self.members.by_id[self._ring.pop()]

    def _probe(self, target: Member, now: float) -> Send:
        send = self._ping(target.id)
        if isinstance(send.message, Ping):
            self._probes[send.message.sequence] = _Probe(target, now)
        return send

    def _ping(self, address: str) -> Send:
        own = self.members.own
        updates = self._news.take(about=address)
        ping = Ping(self.next_sequence, own, self._revision(), updates)
        self.next_sequence += 1
        return Send(address, ping)

    def _ask_helpers(self, target: Member, sequence: int) -> list[Send]:
        request = PingRequest(sequence, target.id, self.members.own)
        helpers = self._sample(_HELPERS, besides=target.id)
        return [Send(helper, request) for helper in helpers]

    def _start_sync(self) -> list[Send]:
        own_id = self.members.own.id
        strangers = [seed for seed in self.seeds if seed != own_id]
        addresses = self._sample(1) or strangers
        if not addresses:
            return []
        return [self._sync_request(self._random.choice(addresses))]

    def _sync_request(self, address: str) -> Send:
        """Return a request for all that differs at another member."""
        own = self.members.own
        hashes = self.members.hashes()
        return Send(address, SyncRequest(own, self._revision(), hashes))

    def _answer_sync(self, request: SyncRequest) -> list[Send]:
        own = self.members.own
        records = list(self.members.differing(request.hashes))
        self._random.shuffle(records)
        records = records[:_SYNC_RECORDS]
        return [
            Send(
                request.sender.id,
                Sync(
                    own, self._revision(), records[start : start + MAX_UPDATES]
                ),
            )
            for start in range(0, max(1, len(records)), MAX_UPDATES)
        ]

    def _knock(self) -> list[Send]:
        """Look for members and seeds that may be back after a cut."""
        gone = self.members.random_gone(self._random)
        known = self.members.by_id
        strangers = [seed for seed in self.seeds if seed not in known]
        addresses = [gone] if gone else []
        if strangers:
            addresses.append(self._random.choice(strangers))
        return [self._sync_request(address) for address in addresses]
