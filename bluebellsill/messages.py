"""The messages that the processes of the system send one another."""

from __future__ import annotations

from msgspec import DecodeError, Struct, field, msgpack

__all__ = (
    'Ack',
    'Answer',
    'Applied',
    'Call',
    'Cancel',
    'Claim',
    'ClaimReply',
    'CrashReport',
    'Failure',
    'Heartbeat',
    'HeartbeatReply',
    'Hello',
    'Member',
    'Message',
    'MessageError',
    'Ping',
    'PingRequest',
    'Refusal',
    'RevisionRequest',
    'Revisions',
    'Settle',
    'Sync',
    'SyncRequest',
    'ZoneReport',
    'ZoneReportRequest',
    'decode',
    'encode',
)

Pairs = list[tuple[str, str]]
Lives = list[tuple[str, int]]  # members' ids and incarnations


class MessageError(Exception):
    """A peer sent bytes that are not a message."""


class _Message(Struct, array_like=True, frozen=True, gc=False):
    """The base of all messages: a tagged MessagePack array."""


class Member(_Message, frozen=True):
    """One node as the membership knows it.

    Attributes:
        id: The node's peer address, ``host:port``.
        incarnation: Which life of the node this is; higher is later.
        version: Counts what the node says of itself in this life.
        state: The numeric value of a ``MemberState``.
        zone: The availability zone.
        service: The service of the target beside the node, or empty.
    """

    id: str
    incarnation: int
    version: int
    state: int
    zone: str
    service: str


# Calls, over TCP.


class Hello(_Message, frozen=True, tag=1):
    """The first message on a connection: who calls."""

    member_id: str
    incarnation: int


class Heartbeat(_Message, frozen=True, tag=2):
    """Asks whether the other side of a connection is still there."""

    id: int


class HeartbeatReply(_Message, frozen=True, tag=3):
    """Answers a heartbeat."""

    id: int


class Call(_Message, frozen=True, tag=4):
    """A request for the target beside the receiving node.

    Attributes:
        id: Names the call on its connection.
        service: The service that the caller asked for.
        method: The HTTP method.
        path: The HTTP request target.
        headers: The end-to-end headers.
        body: The whole body.
        budget_ms: Milliseconds until nobody waits for the answer.
        priority: Lower is shed first.
        is_idempotent: Whether running it twice does no harm.
        fingerprint: A hash that equal requests share.
        correlation: Names the call in the logs of all nodes.
    """

    id: int
    service: str
    method: str
    path: str
    headers: Pairs
    body: bytes
    budget_ms: int
    priority: int
    is_idempotent: bool
    fingerprint: int
    correlation: str


class Answer(_Message, frozen=True, tag=5):
    """The whole answer of a target, with the load at its node.

    Attributes:
        id: Names the call on its connection.
        status: The HTTP status.
        headers: The end-to-end headers.
        body: The whole body.
        in_flight: Calls that run or wait at the target's node.
        limit: Calls that may run there.
        has_failed_below: Whether the target failed because a service that
            it called failed, which has been tried again there.
    """

    id: int
    status: int
    headers: Pairs
    body: bytes
    in_flight: int
    limit: int
    has_failed_below: bool = False


class Refusal(_Message, frozen=True, tag=6):
    """The node did not hand the call to its target."""

    id: int
    kind: str
    in_flight: int
    limit: int


class Failure(_Message, frozen=True, tag=7):
    """The target got the call, but gave no whole answer.

    Attributes:
        id: Names the call on its connection.
        kind: The error kind.
        has_crashed: Whether the target has crashed with the call.
    """

    id: int
    kind: str
    has_crashed: bool


class Cancel(_Message, frozen=True, tag=8):
    """Nobody waits for the answer to a call any more."""

    id: int


class Claim(_Message, frozen=True, tag=9):
    """Asks one of a key's holders for the right to run a request once."""

    id: int
    key: str
    fingerprint: int
    owner: str
    lifetime_ms: int
    holders: Lives


class ClaimReply(_Message, frozen=True, tag=10):
    """A key holder's answer: the numeric value of a ``ClaimState``."""

    id: int
    state: int
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


class Settle(_Message, frozen=True, tag=11):
    """Tells a key holder how a claimed request ended.

    Attributes:
        key: The scoped idempotency key.
        owner: Who holds the claim.
        outcome: The numeric value of an ``Outcome``.
        status: The HTTP status, if the outcome is an answer.
        headers: The headers of the answer.
        body: The body of the answer.
    """

    key: str
    owner: str
    outcome: int
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


class RevisionRequest(_Message, frozen=True, tag=12):
    """Asks a peer for the configuration after a revision."""

    id: int
    after: int


class Revisions(_Message, frozen=True, tag=13):
    """Configuration changes, or a snapshot where the log is too short.

    Attributes:
        id: The request's id.
        snapshot: An encoded snapshot, or empty.
        changes: Encoded changes in the order of their revisions.
    """

    id: int
    snapshot: bytes
    changes: list[bytes]


class ZoneReportRequest(_Message, frozen=True, tag=14):
    """Asks a reader which nodes of its zone lag behind a revision."""

    id: int
    revision: int


class ZoneReport(_Message, frozen=True, tag=15):
    """How far the nodes of one availability zone have come."""

    id: int
    zone: str
    members: int
    lagging: int
    examples: list[str]
    in_flight: int


class CrashReport(_Message, frozen=True, tag=16):
    """Fingerprints in flight at a crash, or cleared by an answer.

    Attributes:
        crash_id: Names the crash, so that it counts once.
        suspects: Fingerprints that were in flight.
        cleared: Fingerprints that have been answered since.
    """

    crash_id: str
    suspects: list[int]
    cleared: list[int]


# Membership, over UDP.


class Ping(_Message, frozen=True, tag=32):
    """Asks a member whether it is alive, and passes news on."""

    sequence: int
    sender: Member
    revision: int
    updates: list[Member]


class Ack(_Message, frozen=True, tag=33):
    """Answers a ping; ``subject`` is who was found alive."""

    sequence: int
    subject: str
    sender: Member
    revision: int
    updates: list[Member]


class PingRequest(_Message, frozen=True, tag=34):
    """Asks a member to ping another one on the sender's behalf."""

    sequence: int
    target: str
    sender: Member


class SyncRequest(_Message, frozen=True, tag=35):
    """Asks for the members of each bucket whose hash differs."""

    sender: Member
    revision: int
    hashes: list[int]


class Sync(_Message, frozen=True, tag=36):
    """Members of buckets that differed."""

    sender: Member
    revision: int
    members: list[Member]


class Applied(_Message, frozen=True, tag=37):
    """Tells a reader which revision a node has in force."""

    member_id: str
    incarnation: int
    revision: int
    in_flight: int


Message = (
    Hello
    | Heartbeat
    | HeartbeatReply
    | Call
    | Answer
    | Refusal
    | Failure
    | Cancel
    | Claim
    | ClaimReply
    | Settle
    | RevisionRequest
    | Revisions
    | ZoneReportRequest
    | ZoneReport
    | CrashReport
    | Ping
    | Ack
    | PingRequest
    | SyncRequest
    | Sync
    | Applied
)

_encoder = msgpack.Encoder()
_decoder = msgpack.Decoder(Message)

encode = _encoder.encode


def decode(payload: bytes) -> Message:
    """Decode one message.

    Args:
        payload: The bytes of exactly one message.

    Returns:
        The message, with every field of its declared type.

    Raises:
        MessageError: The bytes are not a message.
    """
    try:
        return _decoder.decode(payload)
    except (DecodeError, RecursionError) as error:
        raise MessageError(f'not a message: {error}') from error
