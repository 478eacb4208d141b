"""The messages of the membership, over UDP."""

from __future__ import annotations

from bluebellsill._wire import WireMessage

__all__ = (
    'Ack',
    'Applied',
    'Member',
    'Ping',
    'PingRequest',
    'Sync',
    'SyncRequest',
)


class Member(WireMessage, frozen=True):
    """One node as the membership knows it.

    Attributes:
        id: The node's peer address, ``host:port``.
        incarnation: Which life of the node this is; higher is later.
        version: Counts what the node says of itself in this life.
        state: The numeric value of a ``MemberState``.
        zone: The availability zone.
        service: The service of the target beside the node, or empty.
        slots: The requests that the target runs at a time, 0 if unknown.
        is_store_lost: Whether the node cannot read the platform's store.
    """

    id: str
    incarnation: int
    version: int
    state: int
    zone: str
    service: str
    slots: int = 0
    is_store_lost: bool = False


class Ping(WireMessage, frozen=True, tag=32):
    """Asks a member whether it is alive, and passes news on."""

    sequence: int
    sender: Member
    revision: int
    updates: list[Member]


class Ack(WireMessage, frozen=True, tag=33):
    """Answers a ping; ``subject`` is who was found alive."""

    sequence: int
    subject: str
    sender: Member
    revision: int
    updates: list[Member]


class PingRequest(WireMessage, frozen=True, tag=34):
    """Asks a member to ping another one on the sender's behalf."""

    sequence: int
    target: str
    sender: Member


class SyncRequest(WireMessage, frozen=True, tag=35):
    """Asks for the members of each bucket whose hash differs."""

    sender: Member
    revision: int
    hashes: list[int]


class Sync(WireMessage, frozen=True, tag=36):
    """Members of buckets that differed."""

    sender: Member
    revision: int
    members: list[Member]


class Applied(WireMessage, frozen=True, tag=37):
    """Tells a reader which revision a node has in force."""

    member_id: str
    incarnation: int
    revision: int
    in_flight: int
