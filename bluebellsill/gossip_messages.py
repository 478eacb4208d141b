"""The messages that nodes exchange over UDP."""

from __future__ import annotations

from bluebellsill._wire import WireMessage
from bluebellsill.replica_version import ReplicaVersion, StorePosition

__all__ = (
    'Ack',
    'Applied',
    'Confirmation',
    'Member',
    'Ping',
    'PingRequest',
    'SuspicionQuery',
    'Sync',
    'SyncRequest',
    'version_of',
)


class Member(WireMessage, frozen=True):
    """The membership record of one node.

    Attributes:
        id: The node's peer address, ``host:port``.
        incarnation: Distinguishes runs of the node at this address; a later
            one has a higher number. It also rises when the node rejoins
            after the others declared it gone.
        version: Counts the updates that the node makes to its record in
            this incarnation.
        state: The numeric value of a ``MemberState``.
        zone: The availability zone.
        service: The service of the node's target, or empty.
        slots: The target's concurrency limit in requests, 0 if unknown.
        is_store_lost: Whether the node cannot read the platform's store.
        target_version: The version of the target's program, empty if unknown.
    """

    id: str
    incarnation: int
    version: int
    state: int
    zone: str
    service: str
    slots: int = 0
    is_store_lost: bool = False
    target_version: str = ''


class Ping(WireMessage, frozen=True, tag=32):
    """Checks whether a member is alive; carries member updates.

    Attributes:
        revision: Of the sender's replica, like the following ones; see
            ``version_of``. Nodes of earlier versions send only the revision.
    """

    sequence: int
    sender: Member
    revision: int
    updates: list[Member]
    epoch: int = 0
    document_version: int = 0


class Ack(WireMessage, frozen=True, tag=33):
    """Answers a ping; ``subject`` is the member that was pinged."""

    sequence: int
    subject: str
    sender: Member
    revision: int
    updates: list[Member]
    epoch: int = 0
    document_version: int = 0


class PingRequest(WireMessage, frozen=True, tag=34):
    """Asks a member to ping ``target`` on behalf of the sender."""

    sequence: int
    target: str
    sender: Member


class SyncRequest(WireMessage, frozen=True, tag=35):
    """Requests the records of all buckets whose hashes differ."""

    sender: Member
    revision: int
    hashes: list[int]
    epoch: int = 0
    document_version: int = 0


class Sync(WireMessage, frozen=True, tag=36):
    """Carries records of buckets whose hashes differed."""

    sender: Member
    revision: int
    members: list[Member]
    epoch: int = 0
    document_version: int = 0


class Applied(WireMessage, frozen=True, tag=37):
    """Reports to a reader which revision a node has in force."""

    member_id: str
    incarnation: int
    revision: int
    in_flight: int


class Confirmation(WireMessage, frozen=True, tag=38):
    """Tells that a reader's copy is what the store has, as it has answered.

    Attributes:
        sender_id: The node that sent or relayed the message.
        reader_id: The node that the store has answered.
        age_ms: Milliseconds since the store is known to have had nothing
            newer, when the message was sent.
        revision: Of the reader's replica, like the following ones.
    """

    sender_id: str
    reader_id: str
    age_ms: int
    revision: int
    epoch: int
    document_version: int


class SuspicionQuery(WireMessage, frozen=True, tag=39):
    """Asks a node of the same service which requests crash targets.

    The answer is a ``CrashReport``; nodes of earlier versions send none.

    Attributes:
        sender: The member record of the node that asks, to which the answer is
            sent: of two nodes that start together, either may know the other
            first.
        digest: Of what the sender knows.
        query: Identifies the query of a node that waits for the answer; 0 if
            an answer is needed only where the digests differ.
    """

    sender: Member
    digest: int
    query: int = 0


def version_of(
    message: Ping | Ack | SyncRequest | Sync | Confirmation,
) -> ReplicaVersion:
    """Return the version of the replica of a message's sender."""
    position = StorePosition(message.epoch, message.revision)
    return ReplicaVersion(position, message.document_version)
