"""The messages that nodes send one another, and their encoding."""

from __future__ import annotations

from msgspec import DecodeError, field, msgpack

from bluebellsill._wire import WireMessage
from bluebellsill.gossip_messages import (
    Ack,
    Applied,
    Ping,
    PingRequest,
    Sync,
    SyncRequest,
)

__all__ = (
    'Answer',
    'Call',
    'Cancel',
    'Claim',
    'ClaimReply',
    'CrashReport',
    'Failure',
    'Heartbeat',
    'HeartbeatReply',
    'Hello',
    'Message',
    'MessageError',
    'Refusal',
    'RevisionRequest',
    'Revisions',
    'Settle',
    'ZoneReport',
    'ZoneReportRequest',
    'decode',
    'encode',
)

Pairs = list[tuple[str, str]]
Lives = list[tuple[str, int]]  # members' ids and incarnations


class MessageError(Exception):
    """A peer sent bytes that are not a message."""


class Hello(WireMessage, frozen=True, tag=1):
    """The first message on a connection: who calls.

    Attributes:
        member_id: The node that calls.
        incarnation: Which life of it.
        compresses: Whether all that follows, both ways, is compressed.
    """

    member_id: str
    incarnation: int
    compresses: bool = False


class Heartbeat(WireMessage, frozen=True, tag=2):
    """Asks whether the other side of a connection is still there."""

    id: int


class HeartbeatReply(WireMessage, frozen=True, tag=3):
    """Answers a heartbeat."""

    id: int


class Call(WireMessage, frozen=True, tag=4):
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
        correlation: Names the call in the logs of all nodes, and the owner
            of the claim of its key.
        key: The scoped idempotency key, or empty.
        holders: The nodes that hold the claim of the key.
        target_latency_ms: Milliseconds in which an answer is of full use,
            0 where none are stated.
        route: Names requests that take about as long.
        is_inner: Whether a target that runs a request waits for the call.
        may_wait: Whether the call may wait at the receiving node; one that
            may not is tried elsewhere first.
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
    key: str = ''
    holders: list[str] = field(default_factory=list)
    target_latency_ms: int = 0
    route: str = ''
    is_inner: bool = False
    may_wait: bool = True


class Answer(WireMessage, frozen=True, tag=5):
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
        slowness: How many times longer than usual work takes there.
        failing: The share of the target's answers that failed of late.
    """

    id: int
    status: int
    headers: Pairs
    body: bytes
    in_flight: int
    limit: int
    has_failed_below: bool = False
    slowness: float = 1
    failing: float = 0


class Refusal(WireMessage, frozen=True, tag=6):
    """The target has not run the call and never will.

    Attributes:
        id: Names the call on its connection.
        kind: The error kind.
        in_flight: Calls that run or wait at the target's node.
        limit: Calls that may run there.
        retry_ms: Milliseconds until a slot may be free, 0 if unknown.
        has_arrived: Whether the target itself refused the call, and not
            the node beside it.
        slowness: How many times longer than usual work takes there.
        failing: The share of the target's answers that failed of late.
    """

    id: int
    kind: str
    in_flight: int
    limit: int
    retry_ms: int = 0
    has_arrived: bool = False
    slowness: float = 1
    failing: float = 0


class Failure(WireMessage, frozen=True, tag=7):
    """The target got the call, but gave no whole answer.

    Attributes:
        id: Names the call on its connection.
        kind: The error kind.
        has_crashed: Whether the target has crashed with the call.
    """

    id: int
    kind: str
    has_crashed: bool


class Cancel(WireMessage, frozen=True, tag=8):
    """Nobody waits for the answer to a call any more."""

    id: int


class Claim(WireMessage, frozen=True, tag=9):
    """Asks one of a key's holders for the right to run a request once."""

    id: int
    key: str
    fingerprint: int
    owner: str
    lifetime_ms: int
    holders: Lives


class ClaimReply(WireMessage, frozen=True, tag=10):
    """A key holder's answer: the numeric value of a ``ClaimState``."""

    id: int
    state: int
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


class Settle(WireMessage, frozen=True, tag=11):
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


class RevisionRequest(WireMessage, frozen=True, tag=12):
    """Asks a peer for the configuration after a revision."""

    id: int
    after: int


class Revisions(WireMessage, frozen=True, tag=13):
    """Configuration changes, or a snapshot where the log is too short.

    Attributes:
        id: The request's id.
        snapshot: An encoded snapshot, or empty.
        changes: Encoded changes in the order of their revisions.
    """

    id: int
    snapshot: bytes
    changes: list[bytes]


class ZoneReportRequest(WireMessage, frozen=True, tag=14):
    """Asks a reader which nodes of its zone lag behind a revision."""

    id: int
    revision: int


class ZoneReport(WireMessage, frozen=True, tag=15):
    """How far the nodes of one availability zone have come."""

    id: int
    zone: str
    members: int
    lagging: int
    examples: list[str]
    in_flight: int


class CrashReport(WireMessage, frozen=True, tag=16):
    """Fingerprints in flight at a crash, or cleared by an answer.

    Attributes:
        crash_id: Names the crash, so that it counts once.
        suspects: Fingerprints that were in flight.
        cleared: Fingerprints that have been answered since.
    """

    crash_id: str
    suspects: list[int]
    cleared: list[int]


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
