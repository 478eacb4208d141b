"""Decodes the routing document of the platform's operators."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, Annotated

from msgspec import Meta, Struct
from result import Err, Ok, Result

from bluebellsill.decoding import decode_json
from bluebellsill.http_server import RequestLimits
from bluebellsill.resources import Service
from bluebellsill.route import Route, Split, WeightedService
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan
from bluebellsill.teams import Allowance, Team, TeamDirectory

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

__all__ = ('HOSTS_FIELD', 'RULES_FIELD', 'decode_plan')

HOSTS_FIELD = 'virtual_hosts'
RULES_FIELD = 'path_rules'

_MS_PER_SECOND = 1000
_VERSION_TAG = 'r'
_IDEMPOTENT = 'idempotent'
# The importance of priority 0; it bounds the priorities that a document can
# distinguish.
_MAX_IMPORTANCE = 1000
# A target's processing time for one probe, as the platform specifies it.
_PROBE_COST_MS = 6
# Per second: 50 probes; the platform allows 60 a second on average.
_PROBE_BUDGET_MS = 300

# Bounds that no sensible document reaches; beyond them a number is corrupt, and
# messages between nodes could not carry it.
_MAX_NUMBER = 10**9
_MAX_MS = _MAX_NUMBER * _MS_PER_SECOND
# A header cannot carry control characters, nor white space at its ends.
_HEADER_TEXT = r'\A[^\x00-\x20\x7f]([^\x00-\x1f\x7f]*[^\x00-\x20\x7f])?\Z'
_MAX_NAME = 256  # characters of a team's name

Milliseconds = Annotated[float, Meta(gt=0, le=_MAX_MS)]
Count = Annotated[int, Meta(ge=1, le=_MAX_NUMBER)]
Priority = Annotated[int, Meta(ge=-_MAX_NUMBER, le=_MAX_NUMBER)]


class _WeightedService(Struct, frozen=True):
    service: str
    weight: Annotated[int, Meta(ge=0, le=_MAX_NUMBER)]


class _PathRule(Struct, frozen=True):
    """One route.

    Attributes:
        name: The rule's name.
        prefix: The path prefix; it starts and ends with a slash.
        route_type: ``idempotent`` if requests with any method may be retried.
        timeout_ms: The maximum time until a request is answered.
        target_latency_ms: The latency that responses should not exceed.
        priority: 0 is the most important; ``Route.importance`` is inverse.
        max_attempts: The maximum number of targets that get one request.
        service: The service, if there is only one.
        weighted_services: The services, if there are several.
        public: Whether requests need no key.
    """

    name: str
    prefix: Annotated[str, Meta(pattern='^/(.*/)?$')]
    route_type: str
    timeout_ms: Milliseconds
    target_latency_ms: Annotated[float, Meta(ge=0, le=_MAX_MS)] = 0
    priority: Priority = 0
    max_attempts: Count = 1
    service: str | None = None
    weighted_services: tuple[_WeightedService, ...] = ()
    public: bool = False

    def service_names(self) -> list[str]:
        """Return the names of the services that get requests."""
        if self.service:
            return [self.service]
        return [
            entry.service for entry in self.weighted_services if entry.weight
        ]

    def route_services(self) -> tuple[WeightedService, ...]:
        """Return the only service, or those with a positive weight."""
        if self.service:
            return (WeightedService(self.service),)
        return tuple(
            WeightedService(entry.service, entry.weight)
            for entry in self.weighted_services
            if entry.weight
        )


class _VirtualHost(Struct, frozen=True):
    hostname: str
    path_rules: tuple[_PathRule, ...]


class _ServiceEntry(Struct, frozen=True):
    """A declared service.

    Attributes:
        name: The service's name.
        health_path: The path that health probes request.
        cold_per_s: Requests per second that a cold target can handle.
    """

    name: str
    health_path: str = '/healthz'
    cold_per_s: Annotated[float, Meta(gt=0, le=_MAX_NUMBER)] = 1


class _Tenant(Struct, frozen=True):
    """A team.

    Attributes:
        name: The team's name, which is sent to targets in a header.
        api_keys: Each of its keys identifies it.
        priority: 0 is the most important; ``Team.importance`` is inverse.
        rate_per_s: Its requests a second over all nodes, 0 for no allowance.
        burst: Its requests beyond that.
    """

    name: Annotated[str, Meta(pattern=_HEADER_TEXT, max_length=_MAX_NAME)]
    api_keys: tuple[Annotated[str, Meta(min_length=1)], ...] = ()
    priority: Priority = 0
    rate_per_s: Annotated[float, Meta(ge=0, le=_MAX_NUMBER)] = 0
    burst: Annotated[float, Meta(ge=0, le=_MAX_NUMBER)] = 0


class _Limits(Struct, frozen=True):
    """Limits on the size and timing of callers' requests."""

    max_header_bytes: Annotated[int, Meta(gt=0)]
    max_body_bytes: Annotated[int, Meta(gt=0)]
    header_timeout_ms: Milliseconds
    idle_timeout_ms: Milliseconds


class _Document(Struct, frozen=True):
    """The document; unused fields are not declared and thus ignored."""

    version: Annotated[str, Meta(pattern='^r[0-9]{1,18}$')]
    virtual_hosts: tuple[_VirtualHost, ...]
    services: tuple[_ServiceEntry, ...] = ()
    limits: _Limits | None = None
    tenants: tuple[_Tenant, ...] | None = None


def decode_plan(payload: bytes) -> Result[RoutingPlan, str]:
    """Decode a routing document.

    Args:
        payload: The document as JSON.

    Returns:
        The plan, or why the document is invalid.
    """
    decoded = decode_json(payload, _Document)
    if isinstance(decoded, Err):
        return Err(f'invalid routing document: {decoded.err_value}')
    return _plan(decoded.ok_value)


def _plan(document: _Document) -> Result[RoutingPlan, str]:
    rules = [
        (host.hostname, rule.prefix, rule)
        for host in document.virtual_hosts
        for rule in host.path_rules
    ]
    for hostname, path_prefix, path_rule in rules:
        if not path_rule.service_names():
            place = f'{hostname}{path_prefix}'
            return Err(f'route {path_rule.name!r} at {place} has no service')
    teams = _teams(document.tenants)
    if isinstance(teams, Err):
        return Err(f'invalid routing document: {teams.err_value}')
    return Ok(
        RoutingPlan(
            int(document.version.removeprefix(_VERSION_TAG)),
            RouteTable(
                (
                    (host, prefix, partial(_route, rule))
                    for host, prefix, rule in rules
                ),
                {name for one in rules for name in one[2].service_names()},
                _splits(rule for _, _, rule in rules),
            ),
            {entry.name: _service(entry) for entry in document.services},
            _limits(document.limits),
            teams.ok_value,
        ),
    )


def _splits(rules: Iterable[_PathRule]) -> Iterator[Split]:
    for rule in rules:
        if rule.weighted_services and not rule.service:
            yield rule.name, rule.route_services()


def _route(rule: _PathRule) -> Route:
    return Route(
        rule.name,
        rule.route_services(),
        is_idempotent=rule.route_type == _IDEMPOTENT,
        timeout=rule.timeout_ms / _MS_PER_SECOND,
        target_latency=rule.target_latency_ms / _MS_PER_SECOND,
        importance=_MAX_IMPORTANCE - rule.priority,
        max_sends=rule.max_attempts,
        is_public=rule.public,
    )


def _teams(
    tenants: tuple[_Tenant, ...] | None,
) -> Result[TeamDirectory | None, str]:
    if tenants is None:
        return Ok(None)
    return TeamDirectory.build(
        (_team(tenant), tenant.api_keys) for tenant in tenants
    )


def _team(tenant: _Tenant) -> Team:
    has_allowance = tenant.rate_per_s > 0
    return Team(
        tenant.name,
        _MAX_IMPORTANCE - tenant.priority,
        Allowance(tenant.rate_per_s, tenant.burst) if has_allowance else None,
    )


def _service(entry: _ServiceEntry) -> Service:
    return Service(
        health_path=entry.health_path,
        probe_cost_ms=_PROBE_COST_MS,
        probe_budget_ms=_PROBE_BUDGET_MS,
        cold_per_s=entry.cold_per_s,
    )


def _limits(limits: _Limits | None) -> RequestLimits:
    if limits is None:
        return RequestLimits()
    return RequestLimits(
        limits.max_header_bytes,
        limits.max_body_bytes,
        limits.header_timeout_ms / _MS_PER_SECOND,
        limits.idle_timeout_ms / _MS_PER_SECOND,
    )
