"""Decodes the routing document that operators write."""

from __future__ import annotations

from typing import Annotated

from msgspec import DecodeError, Meta, Struct, json
from result import Err, Ok, Result

from bluebellsill.http_server import RequestLimits
from bluebellsill.resources import Service
from bluebellsill.route import Route, WeightedService
from bluebellsill.route_table import RouteTable
from bluebellsill.routing_plan import RoutingPlan

__all__ = ('HOSTS_FIELD', 'RULES_FIELD', 'decode_plan')

HOSTS_FIELD = 'virtual_hosts'
RULES_FIELD = 'path_rules'

_SECOND = 1000  # milliseconds
_VERSION_TAG = 'r'
_IDEMPOTENT = 'idempotent'
_LEAST_PRIORITY = 1000  # ranks that the document can tell apart
_PROBE_COST_MS = 6  # milliseconds of a target's work, from the brief
# A second: 50 probes, where the platform allows 60 on an average.
_PROBE_BUDGET_MS = 300

Milliseconds = Annotated[float, Meta(gt=0)]


class _WeightedService(Struct, frozen=True):
    service: str
    weight: Annotated[int, Meta(ge=0)]


class _PathRule(Struct, frozen=True):
    """One route.

    Attributes:
        name: Names the rule.
        prefix: The beginning of the path; it ends with a slash.
        route_type: What may be repeated, whatever the method is.
        timeout_ms: The longest time that a request is kept waiting.
        target_latency_ms: The time within which an answer is of full use.
        priority: 0 is the most important, unlike our ranks.
        max_attempts: How many targets may be handed one request.
        service: The only service, or none.
        weighted_services: The services where there are several.
    """

    name: str
    prefix: Annotated[str, Meta(pattern='^/(.*/)?$')]
    route_type: str
    timeout_ms: Milliseconds
    target_latency_ms: Annotated[float, Meta(ge=0)] = 0
    priority: int = 0
    max_attempts: Annotated[int, Meta(ge=1)] = 1
    service: str | None = None
    weighted_services: tuple[_WeightedService, ...] = ()

    def route_services(self) -> tuple[WeightedService, ...]:
        """Return the services that share the requests."""
        if self.service:
            return (WeightedService(self.service),)
        return tuple(
            WeightedService(one.service, one.weight)
            for one in self.weighted_services
            if one.weight
        )


class _VirtualHost(Struct, frozen=True):
    hostname: str
    path_rules: tuple[_PathRule, ...]


class _ServiceEntry(Struct, frozen=True):
    """A service.

    Attributes:
        name: The service's name.
        health_path: The path that probes ask for.
        cold_per_s: Requests a second that a cold target bears.
    """

    name: str
    health_path: str = '/healthz'
    cold_per_s: Annotated[float, Meta(gt=0)] = 1


class _Limits(Struct, frozen=True):
    """The bounds of callers' requests."""

    max_header_bytes: Annotated[int, Meta(gt=0)]
    max_body_bytes: Annotated[int, Meta(gt=0)]
    header_timeout_ms: Milliseconds
    idle_timeout_ms: Milliseconds


class _Document(Struct, frozen=True):
    """The whole document; fields of no use here are left out."""

    version: Annotated[str, Meta(pattern='^r[0-9]+$')]
    virtual_hosts: tuple[_VirtualHost, ...]
    services: tuple[_ServiceEntry, ...] = ()
    limits: _Limits | None = None


def decode_plan(payload: bytes) -> Result[RoutingPlan, str]:
    """Decode a routing document.

    Args:
        payload: The document as it was written.

    Returns:
        The plan, or why the document cannot be one.
    """
    try:
        document = json.decode(payload, type=_Document)
    except (DecodeError, RecursionError) as error:
        return Err(f'not a routing document: {error}')
    rules = [
        (host.hostname, rule.prefix, rule)
        for host in document.virtual_hosts
        for rule in host.path_rules
    ]
    for at_host, at_prefix, one in rules:
        if not one.route_services():
            place = f'{at_host}{at_prefix}'
            return Err(f'route {one.name!r} at {place} has no service')
    return Ok(
        RoutingPlan(
            int(document.version.removeprefix(_VERSION_TAG)),
            RouteTable(
                (host, prefix, _route(rule)) for host, prefix, rule in rules
            ),
            {entry.name: _service(entry) for entry in document.services},
            _limits(document.limits),
        ),
    )


def _route(rule: _PathRule) -> Route:
    return Route(
        rule.name,
        rule.route_services(),
        is_idempotent=rule.route_type == _IDEMPOTENT,
        timeout=rule.timeout_ms / _SECOND,
        target_latency=rule.target_latency_ms / _SECOND,
        importance=_LEAST_PRIORITY - rule.priority,
        max_sends=rule.max_attempts,
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
        limits.header_timeout_ms / _SECOND,
        limits.idle_timeout_ms / _SECOND,
    )
