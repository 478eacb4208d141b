"""The messages between nodes and their encoding."""

from __future__ import annotations

from msgspec import field, msgpack
from result import Err

from bluebellsill._wire import WireMessage
from bluebellsill.decoding import decode_msgpack
from bluebellsill.gossip_messages import (
    Ack,
    Applied,
    Confirmation,
    Ping,
    PingRequest,
    SuspicionQuery,
    Sync,
    SyncRequest,
)

__all__ = (
    'Answer',
    'BodyPiece',
    'BodyProgress',
    'BodyRequest',
    'Call',
    'Cancel',
    'CanaryReport',
    'CanaryShare',
    'Claim',
    'ClaimReply',
    'CrashReport',
    'CrashRow',
    'Failure',
    'Heartbeat',
    'HeartbeatReply',
    'Hello',
    'Message',
    'MessageError',
    'OutcomeRow',
    'Refusal',
    'RevisionRequest',
    'Revisions',
    'Settle',
    'SuspectRow',
    'TargetNote',
    'TokenGrant',
    'TokenRequest',
    'ZoneReport',
    'ZoneReportRequest',
    'decode',
    'encode',
)

Pairs = list[tuple[str, str]]
Incarnations = list[tuple[str, int]]  # member ids and their incarnations


class MessageError(Exception):
    """Received bytes are not a valid message."""


class Hello(WireMessage, frozen=True, tag=1):
    """The first message on a connection; identifies its initiator.

    Attributes:
        member_id: The node that opened the connection.
        incarnation: The incarnation of that node.
        compresses: Whether all following data in both directions is
            compressed.
        transfers_bodies: Whether the sender knows ``BodyRequest``. A node
            that knows it answers with a ``Hello`` of its own.
    """

    member_id: str
    incarnation: int
    compresses: bool = False
    transfers_bodies: bool = False


class Heartbeat(WireMessage, frozen=True, tag=2):
    """Checks whether the other end of a connection is still alive."""

    id: int


class HeartbeatReply(WireMessage, frozen=True, tag=3):
    """Answers a heartbeat."""

    id: int


class TargetNote(WireMessage, frozen=True):
    """What a target asks of all nodes, as another node was told.

    The entry nodes keep it, so that a node that was restarted learns from
    their calls what its target stated before.

    Attributes:
        target: The target's name.
        start_id: Identifies the start of the target that stated it.
        rate_limit: The requests a second that the target takes from all
            nodes together, None for no limit.
        is_leaving: Whether the target is to get no new requests.
    """

    target: str
    start_id: str
    rate_limit: float | None = None
    is_leaving: bool = False


class Call(WireMessage, frozen=True, tag=4):
    """A request for the target of the receiving node.

    Attributes:
        id: Identifies the call on its connection.
        service: The service that the caller requested.
        method: The HTTP method.
        path: The HTTP request target.
        headers: The end-to-end headers.
        body: The complete body, empty if the receiver has to ask for it.
        budget_ms: Milliseconds until the caller stops waiting.
        priority: Calls of lower priority are shed first.
        is_idempotent: Whether it is safe to run the request twice.
        fingerprint: A hash that is the same for equal requests.
        correlation: Identifies the call in the logs of all nodes, and the
            owner of the claim on its key.
        key: The scoped idempotency key, or empty.
        holders: The nodes that hold the claim on the key.
        target_latency_ms: Milliseconds left to meet the target latency of
            the route, 0 if it states none.
        route: Identifies a group of requests of similar duration.
        is_inner: Whether a target makes the call while it runs another
            request.
        may_wait: Whether the call may wait in the queue of the receiving
            node. A call that may not wait is tried on other nodes first.
        note: What the target stated last to the entry node, None without a
            limit.
        body_size: The bytes of a body that the receiver asks for with
            ``BodyRequest`` once it has accepted the call; 0 if the call has
            its body. The call does not run without it.
        team: The team that sent the request, empty without one.
        team_importance: Calls of teams of lower importance are shed first; it
            precedes ``priority``.
        is_repeat: Whether the client sends the request again after a refusal.
        key_tag: The tag of the team's key, empty if none is needed.
        key_version: The version of the routing document that had the key in
            force at the entry node.
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
    note: TargetNote | None = None
    body_size: int = 0
    team: str = ''
    team_importance: int = 0
    is_repeat: bool = False
    key_tag: bytes = b''
    key_version: int = 0


class Answer(WireMessage, frozen=True, tag=5):
    """The complete answer of a target, with the load of its node.

    Attributes:
        id: Identifies the call on its connection.
        status: The HTTP status.
        headers: The end-to-end headers.
        body: The complete body.
        in_flight: Calls that run or wait at the target's node.
        limit: Calls that may run there at a time.
        has_failed_below: Whether the target failed because a service that
            it called failed. That call has already been retried there.
        slowness: How many times longer than usual requests take there.
        failing: The fraction of the target's recent answers that failed.
        note: What the target asks of all nodes, None if nothing.
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
    note: TargetNote | None = None


class Refusal(WireMessage, frozen=True, tag=6):
    """The target has not run the call and will not run it.

    Attributes:
        id: Identifies the call on its connection.
        kind: The error kind.
        in_flight: Calls that run or wait at the target's node.
        limit: Calls that may run there at a time.
        retry_ms: Milliseconds until a slot may be free, 0 if unknown.
        has_arrived: Whether the call was refused by the target itself
            rather than by its node.
        slowness: How many times longer than usual requests take there.
        failing: The fraction of the target's recent answers that failed.
        note: What the target asks of all nodes, None if nothing.
        queue_ms: Milliseconds that the call would wait in this queue;
            ``retry_ms`` may be later, to spread the retries. 0 if equal.
    """

    id: int
    kind: str
    in_flight: int
    limit: int
    retry_ms: int = 0
    has_arrived: bool = False
    slowness: float = 1
    failing: float = 0
    note: TargetNote | None = None
    queue_ms: int = 0


class Failure(WireMessage, frozen=True, tag=7):
    """The target received the call but gave no complete answer.

    Attributes:
        id: Identifies the call on its connection.
        kind: The error kind.
        has_crashed: Whether the target crashed while it ran the call.
    """

    id: int
    kind: str
    has_crashed: bool


class Cancel(WireMessage, frozen=True, tag=8):
    """Cancels a call whose answer is no longer awaited.

    Attributes:
        id: Identifies the call on its connection.
        waiting_only: Whether a call that has started goes on. One that still
            waits is refused, which tells the sender that it has not run.
    """

    id: int
    waiting_only: bool = False


class Claim(WireMessage, frozen=True, tag=9):
    """Asks a holder of a key for the right to run its request once."""

    id: int
    key: str
    fingerprint: int
    owner: str
    lifetime_ms: int
    holders: Incarnations


class ClaimReply(WireMessage, frozen=True, tag=10):
    """Answers a claim; ``state`` is a ``ClaimState`` number."""

    id: int
    state: int
    status: int = 0
    headers: Pairs = field(default_factory=list)
    body: bytes = b''


class Settle(WireMessage, frozen=True, tag=11):
    """Reports the outcome of a claimed request to a key holder.

    Attributes:
        key: The scoped idempotency key.
        owner: Identifies the call that holds the claim.
        outcome: The numeric value of an ``Outcome``.
        status: The HTTP status if the outcome is an answer.
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
    """Requests the configuration changes after a revision.

    Attributes:
        id: Identifies the request on its connection.
        after: The revision that the sender has.
        accepts_compressed: Whether the sender can read a compressed snapshot.
        epoch: The epoch of that revision, 0 if unknown.
        document_version: The version of the sender's routing document.
    """

    id: int
    after: int
    accepts_compressed: bool = False
    epoch: int = 0
    document_version: int = 0


class Revisions(WireMessage, frozen=True, tag=13):
    """Carries configuration changes, or a snapshot if the log is too short.

    Attributes:
        id: The id of the request.
        snapshot: An encoded snapshot, or empty.
        changes: Encoded changes in the order of their revisions.
        is_compressed: Whether the snapshot is compressed.
    """

    id: int
    snapshot: bytes
    changes: list[bytes]
    is_compressed: bool = False


class ZoneReportRequest(WireMessage, frozen=True, tag=14):
    """Asks a reader which nodes of its zone are behind a revision."""

    id: int
    revision: int


class ZoneReport(WireMessage, frozen=True, tag=15):
    """Reports the rollout of a revision in one availability zone."""

    id: int
    zone: str
    members: int
    lagging: int
    examples: list[str]
    in_flight: int


class CrashRow(WireMessage, frozen=True):
    """A crash while a request was in flight.

    Attributes:
        crash_id: Identifies the crash at all nodes.
        age_ms: Milliseconds since the crash, when the message was sent.
        is_cleared: Whether the request was answered since.
    """

    crash_id: str
    age_ms: int
    is_cleared: bool


class SuspectRow(WireMessage, frozen=True):
    """The crashes that are known of the requests with one fingerprint."""

    fingerprint: int
    crashes: list[CrashRow]


class CrashReport(WireMessage, frozen=True, tag=16):
    """Reports fingerprints in flight at a crash or cleared by an answer.

    Attributes:
        crash_id: Identifies the crash, so that it is counted only once.
        suspects: Fingerprints that were in flight.
        cleared: Fingerprints that have been answered since then.
        rows: What the sender knows of these fingerprints, or of all in the
            answer to a query. Nodes of earlier versions neither send nor read
            the rows and what follows.
        answers: The query that the report answers, 0 if it answers none.
        is_current: Whether the sender has asked its own peers before.
    """

    crash_id: str
    suspects: list[int]
    cleared: list[int]
    rows: list[SuspectRow] = []
    answers: int = 0
    is_current: bool = False


class BodyRequest(WireMessage, frozen=True, tag=17):
    """Asks for the body of a call that was admitted or waits in the queue.

    Attributes:
        id: Identifies the call on its connection.
        transfer: Identifies the transfer of the body at the sender of this
            message, on the connection for bodies.
        limit: Bytes of the body that may be sent before the first
            ``BodyProgress``.
    """

    id: int
    transfer: int
    limit: int


class BodyPiece(WireMessage, frozen=True, tag=18):
    """Carries the next bytes of a body on the connection for bodies.

    Attributes:
        id: The transfer that the body was requested with.
        offset: The bytes of the body before this piece.
        piece: The bytes.
    """

    id: int
    offset: int
    piece: bytes


class BodyProgress(WireMessage, frozen=True, tag=19):
    """Tells how much of a body has arrived.

    Attributes:
        id: The transfer that the body was requested with.
        received: The bytes that have arrived.
        limit: Bytes of the body that may be sent before the next
            ``BodyProgress``.
    """

    id: int
    received: int
    limit: int


_BodyMessage = BodyRequest | BodyPiece | BodyProgress


class TokenRequest(WireMessage, frozen=True, tag=20):
    """Asks the grantor of a team for tokens, one for each request to run.

    Attributes:
        id: Identifies the request on its connection.
        team: The name of the team.
        wanted: The number of tokens.
        rate: The team's requests a second over all nodes together.
        burst: The team's requests beyond the rate.
        document_version: The version of the document that declares them.
        known: The number of nodes that the sender knows of.
    """

    id: int
    team: str
    wanted: int
    rate: float
    burst: float
    document_version: int
    known: int


class TokenGrant(WireMessage, frozen=True, tag=21):
    """Answers a request for tokens.

    Attributes:
        id: The id of the request.
        granted: The number of tokens.
        retry_ms: After how long to ask for the missing tokens. 0 if none are
            missing, or if the sender is not the team's grantor.
        known: The number of nodes that the sender knows of.
    """

    id: int
    granted: int
    retry_ms: int = 0
    known: int = 0


_TokenMessage = TokenRequest | TokenGrant


class OutcomeRow(WireMessage, frozen=True):
    """Outcomes of requests of one route at one version of the targets.

    Attributes:
        route: The route.
        is_canary: Whether the version is the one that is being released.
        failed: The number of failed requests.
        buckets: The latencies of the others: numbers of buckets with counts.
    """

    route: str
    is_canary: bool
    failed: int
    buckets: list[tuple[int, int]]


class CanaryShare(WireMessage, frozen=True, tag=24):
    """Tells an entry node how much traffic a new version gets.

    Attributes:
        service: The service.
        target_version: The new version of its targets.
        order_epoch: The epoch in which the order was written.
        order_revision: The revision at which the order was written.
        epoch: The epoch of the sender's lease; with the next field the
            fencing token.
        revision: The revision of the key with the sender's lease.
        sender_id: The acting node, which gets the reports.
        stage: The value of a ``CanaryStage``.
        share: The share of the requests for the new version, 0 to 1.
        width: How many of its targets get them.
        base_versions: The versions that ran before the order.
        is_recorded: Whether the store has the outcome of the release.
    """

    service: str
    target_version: str
    order_epoch: int
    order_revision: int
    epoch: int
    revision: int
    sender_id: str
    stage: str
    share: float
    width: int
    base_versions: list[str]
    is_recorded: bool = False


class CanaryReport(WireMessage, frozen=True, tag=25):
    """Reports the outcomes at an entry node to the acting node.

    Attributes:
        service: The service.
        target_version: The new version of its targets.
        requests: The requests for the service since the last report.
        canary_requests: How many of them were sent to the new version.
        rows: The outcomes since the last report.
    """

    service: str
    target_version: str
    requests: int
    canary_requests: int
    rows: list[OutcomeRow]


_CanaryMessage = CanaryShare | CanaryReport
_Datagram = (
    Ping
    | Ack
    | PingRequest
    | SyncRequest
    | Sync
    | Applied
    | Confirmation
    | SuspicionQuery
)

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
    | _BodyMessage
    | _TokenMessage
    | _CanaryMessage
    | _Datagram
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
        MessageError: The bytes are not a valid message.
    """
    decoded = decode_msgpack(payload, _decoder)
    if isinstance(decoded, Err):
        raise MessageError(f'invalid message: {decoded.err_value}')
    return decoded.ok_value
