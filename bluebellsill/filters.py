"""The filter chain for requests of callers at their entry node."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from result import Err, Ok, Result
from xxhash import xxh3_64

from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.resources import EXTERNAL_CALLER, Service
from bluebellsill.route import Route, WeightedService

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bluebellsill.configuration import Configuration
    from bluebellsill.http import Request
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.router_registry import VersionTraffic
    from bluebellsill.teams import Team

__all__ = (
    'CallerFilter',
    'DeadlineFilter',
    'Filter',
    'InboundRequest',
    'QuarantineFilter',
    'ServiceFilter',
    'run_filters',
    'stated_milliseconds',
)

DEADLINE_HEADER = 'bluebellsill-deadline-ms'
TENANT_HEADER = 'bluebellsill-tenant'
KEY_HEADER = 'idempotency-key'
_MAX_TENANT_LENGTH = 64  # characters
_MAX_KEY_LENGTH = 200  # characters
_MAX_DEADLINE_DIGITS = 15  # of milliseconds; longer numbers are cut
_IDEMPOTENT_METHODS = frozenset(
    ('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE', 'TRACE')
)
_MAX_SENDS = 4  # targets that one call may be sent to


@dataclass(slots=True)
class InboundRequest:
    """A caller's request and what the entry node has derived from it.

    Attributes:
        request: What the caller sent.
        caller: ``outside`` or the service of the calling target.
        correlation: The id of the call in the logs of all nodes.
        received_at: When it arrived, in seconds.
        service_name: The service that the call goes to.
        service: The declaration of that service.
        route: How the request is handled.
        deadline: When the caller gets a response at the latest: when it
            stops waiting, or at the route's time-out if that is earlier.
        caller_deadline: When the caller stops waiting, or the deadline if the
            caller does not state it.
        first_attempt_at: When the first attempt of the request arrived.
            Equals ``received_at`` unless this is a retry.
        fingerprint: A hash that is the same for equal requests.
        tenant: The tenant that the call is counted for.
        team: The team whose key the request carries, None without one.
        key_tag: The tag of that key if the route needs one, else empty.
        key_version: The version of the routing document that has the key.
        unknown_key: A key that no document in force had so far; it may be
            looked up again in a later one.
        granted_by: The nodes that granted the claim of the idempotency key.
        traffic: Counts the outcomes by version of the targets, None without a
            canary release.
    """

    request: Request
    caller: str
    correlation: str
    received_at: float
    service_name: str = ''
    service: Service = Service()
    route: Route = Route('')
    deadline: float = 0
    caller_deadline: float = 0
    first_attempt_at: float = 0
    fingerprint: int = 0
    tenant: str = ''
    team: Team | None = None
    key_tag: bytes = field(default=b'', repr=False)
    key_version: int = 0
    unknown_key: str = field(default='', repr=False)
    granted_by: list[str] = field(default_factory=list)
    traffic: VersionTraffic | None = None

    def __post_init__(self) -> None:
        """Treat the request as a first attempt."""
        self.first_attempt_at = self.received_at

    @property
    def is_idempotent(self) -> bool:
        """Whether the request may safely run twice."""
        return self.route.is_idempotent

    @property
    def key(self) -> str:
        """The idempotency key, or empty if the request is idempotent."""
        return '' if self.is_idempotent else self.request.header(KEY_HEADER)

    @property
    def scoped_key(self) -> str:
        """The key, made unique among tenants and services."""
        return f'{self.tenant}\0{self.service_name}\0{self.key}'


class Filter(Protocol):
    """One step of the filter chain."""

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Fill in fields of the request, or refuse it."""


class ServiceFilter:
    """Looks up the service that the path names and builds the route."""

    def __init__(self, configuration: Configuration) -> None:
        """Look services up in the current configuration."""
        self._configuration = configuration

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Set the service and the route, or refuse an unknown service."""
        name = inbound.request.path.partition('?')[0].split('/')[1:2]
        inbound.service_name = name[0] if name else ''
        service = self._configuration.service(inbound.service_name)
        if service is None:
            message = f'service {inbound.service_name!r} is not declared'
            return Err(Problem(ErrorKind.UNKNOWN_SERVICE, message))
        inbound.service = service
        request_class = service.class_of(inbound.request.path)
        inbound.route = Route(
            request_class.name,
            (WeightedService(inbound.service_name),),
            # RFC 9110, section 9.2.2.
            is_idempotent=inbound.request.method in _IDEMPOTENT_METHODS,
            timeout=service.deadline_ms / 1000,
            importance=request_class.priority.rank,
            max_sends=_MAX_SENDS,
        )
        return Ok(None)


class CallerFilter:
    """Accepts only the callers that a service declares."""

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Set the tenant, or refuse a caller that is not declared."""
        if inbound.caller in inbound.service.callers:
            inbound.tenant = inbound.request.header(TENANT_HEADER)[
                :_MAX_TENANT_LENGTH
            ] or (inbound.caller)
            return Ok(None)
        caller = (
            'outside callers'
            if inbound.caller == EXTERNAL_CALLER
            else inbound.caller
        )
        message = f'{caller} may not call {inbound.service_name}'
        return Err(Problem(ErrorKind.FORBIDDEN_CALLER, message))


class DeadlineFilter:
    """Sets the deadline: the route's or the caller's, whichever is earlier."""

    def __init__(
        self,
        now: Callable[[], float],
        header: str = DEADLINE_HEADER,
    ) -> None:
        """Create a filter that reads the deadline from a header.

        Args:
            now: Returns the time in seconds.
            header: The header with the milliseconds that the caller waits.
        """
        self._now = now
        self._header = header

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Set the deadline, or refuse a malformed or expired one."""
        stated_ms = inbound.request.header(self._header)
        caller_ms = stated_milliseconds(stated_ms)
        budget_ms = int(inbound.route.timeout * 1000)
        if caller_ms is not None:
            budget_ms = min(budget_ms, caller_ms)
        elif stated_ms:
            message = f'{self._header} {stated_ms!r} is not a whole number'
            return Err(Problem(ErrorKind.BAD_REQUEST, message))
        inbound.deadline = inbound.received_at + budget_ms / 1000
        inbound.caller_deadline = inbound.deadline
        if caller_ms is not None:
            inbound.caller_deadline = inbound.received_at + caller_ms / 1000
        if self._now() >= inbound.deadline:
            message = f'deadline of {budget_ms} ms has passed'
            return Err(Problem(ErrorKind.EXPIRED, message))
        return Ok(None)


class QuarantineFilter:
    """Refuses requests that crashed the targets that ran them."""

    def __init__(
        self,
        quarantine: Quarantine,
        now: Callable[[], float],
    ) -> None:
        """Create a filter.

        Args:
            quarantine: The requests that crashed targets.
            now: Returns the time in seconds.
        """
        self._quarantine = quarantine
        self._now = now

    def apply(self, inbound: InboundRequest) -> Result[None, Problem]:
        """Set the fingerprint; refuse quarantined requests and long keys."""
        request = inbound.request
        digest = xxh3_64()
        for part in (request.method, request.path, inbound.tenant):
            digest.update(part.encode())
            digest.update(b'\0')
        digest.update(request.body)
        inbound.fingerprint = digest.intdigest()
        if self._quarantine.is_refused(inbound.fingerprint, self._now()):
            message = (
                'request is quarantined: it crashed the targets that ran it'
            )
            return Err(Problem(ErrorKind.QUARANTINED, message))
        if len(inbound.key) > _MAX_KEY_LENGTH:
            message = (
                f'idempotency key is longer than {_MAX_KEY_LENGTH} characters'
            )
            return Err(Problem(ErrorKind.BAD_REQUEST, message))
        return Ok(None)


def stated_milliseconds(text: str) -> int | None:
    """Parse the value of a deadline header, None unless it is a number."""
    if not (text.isascii() and text.isdecimal()):
        return None
    # Longer numbers cannot be converted, and are above any budget.
    return int(text[:_MAX_DEADLINE_DIGITS])


def run_filters(
    filters: Sequence[Filter],
    inbound: InboundRequest,
) -> Result[None, Problem]:
    """Apply the filters in order until one refuses the request."""
    for step in filters:
        outcome = step.apply(inbound)
        if isinstance(outcome, Err):
            return outcome
    return Ok(None)
