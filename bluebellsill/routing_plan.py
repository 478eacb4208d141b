"""The validated routing document that a node has in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bluebellsill.route_table import RouteTable

if TYPE_CHECKING:
    from bluebellsill.resources import Service

__all__ = ('CallerLimits', 'RoutingPlan')


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        max_head: Bytes of a request's head.
        max_body: Bytes of a request's body.
        head_timeout: Seconds in which a head that has begun must be whole.
        idle_timeout: Seconds that a connection may stay without a request.
    """

    max_head: int
    max_body: int
    head_timeout: float
    idle_timeout: float


@dataclass(frozen=True, slots=True)
class RoutingPlan:
    """All routes and services of one version of the document.

    Attributes:
        version: The operators' number of the version; it only grows.
        table: The routes.
        services_by_name: What the document says of each service.
        limits: The bounds of callers' requests, None where none are given.
    """

    version: int
    table: RouteTable
    services_by_name: dict[str, Service] = field(default_factory=dict)
    limits: CallerLimits | None = None
