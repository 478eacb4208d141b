"""What an entry node would do with a request, as operators are shown it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique

__all__ = (
    'AllowanceView',
    'Candidate',
    'Decision',
    'Explanation',
    'NotUsed',
    'RefusalView',
    'RouteView',
    'ServiceView',
    'TeamView',
)


@unique
class Decision(str, Enum):
    """What the allowance of a team means for the next request."""

    HAS_TOKEN = 'has_token'  # noqa: S105
    ASKS_GRANTOR = 'asks_grantor'
    # Uses the node's own bucket, or asks the grantor again if it may.
    NO_GRANTOR = 'no_grantor'
    REFUSED = 'refused'


@unique
class NotUsed(str, Enum):
    """Why a target gets no attempt of the request."""

    NOT_READY = 'not_ready'
    OUT_OF_SERVICE = 'out_of_service'
    VERSION = 'version_without_traffic'
    SUBSET = 'not_in_subset_of_node'
    OTHER_VERSION = 'request_goes_to_other_version'


@dataclass(frozen=True, slots=True)
class RefusalView:
    """Why the request would be refused at once.

    Attributes:
        kind: The error kind.
        status: The HTTP status.
        message: A description for people.
        retry_after_ms: When a retry may succeed, 0 if unknown.
        waits: Whether the node first waits until its view of the store is
            confirmed, which may bring a document that accepts the request.
    """

    kind: str
    status: int
    message: str
    retry_after_ms: int = 0
    waits: bool = False


@dataclass(frozen=True, slots=True)
class RouteView:
    """The route; see ``bluebellsill.route.Route``."""

    name: str
    is_idempotent: bool
    is_public: bool
    timeout_ms: int
    target_latency_ms: int
    importance: int
    max_sends: int


@dataclass(frozen=True, slots=True)
class AllowanceView:
    """The allowance of the team, and its state at this node.

    Attributes:
        rate: Requests a second over all nodes.
        burst: Requests beyond the rate that may be sent at once.
        decision: What the next request meets.
        tokens: The tokens held.
        denied_ms: For how long requests without a token are refused.
        waiting: The requests that wait for tokens.
    """

    rate: float
    burst: float
    decision: Decision
    tokens: int = 0
    denied_ms: int = 0
    waiting: int = 0


@dataclass(frozen=True, slots=True)
class TeamView:
    """The team of the key."""

    name: str
    importance: int
    allowance: AllowanceView | None


@dataclass(frozen=True, slots=True)
class ServiceView:
    """A service of the route; ``is_next`` if the request would go to it."""

    name: str
    weight: int
    is_next: bool


@dataclass(frozen=True, slots=True)
class Candidate:
    """A target of the service.

    Attributes:
        node: The node beside the target.
        zone: The availability zone.
        target_version: The version of its program, empty if unknown.
        attempt: The number of the attempt that would reach it if all earlier
            ones were refused, None if it gets none.
        not_used: Why it gets none.
        version_gets_traffic: Whether its version gets requests.
        expected_load: Requests expected to run or wait there. This and the
            following are None for targets that this node does not call.
        limit: Requests that may run there at a time.
        slowness: The expected ratio of the service time to the usual one.
        failure_share: The expected share of requests that fail.
        relative_latency: The ratio of its latencies to those of all targets.
        cost: What the balancing policy compares.
        avoided_ms: For how long other targets are preferred.
    """

    node: str
    zone: str
    target_version: str
    attempt: int | None
    not_used: NotUsed | None
    version_gets_traffic: bool
    expected_load: float | None = None
    limit: int | None = None
    slowness: float | None = None
    failure_share: float | None = None
    relative_latency: float | None = None
    cost: float | None = None
    avoided_ms: int | None = None


@dataclass(slots=True)
class Explanation:
    """What the node would do with a request now.

    Attributes:
        host: The host of the request.
        path: Its path.
        document_version: The routing document in force, 0 without one.
        refusal: Why it would be refused at once, None if it would not.
        route: The matching route, None without one.
        team: The team of its key, None without one.
        services: The services of the route.
        next_service: The service that it would go to; None without a route,
            or if no request of a weighted route has come yet, as the first
            one starts the rotation at a random point.
        is_order_known: Whether the service had a request at this node. The
            first one draws a random start among targets of equal cost.
        candidates: The targets of that service, in the order of the attempts,
            then others.
        candidates_left_out: How many of the others are not listed.
    """

    host: str
    path: str
    document_version: int = 0
    refusal: RefusalView | None = None
    route: RouteView | None = None
    team: TeamView | None = None
    services: list[ServiceView] = field(default_factory=list)
    next_service: str | None = None
    is_order_known: bool = False
    candidates: list[Candidate] = field(default_factory=list)
    candidates_left_out: int = 0
