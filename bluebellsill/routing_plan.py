"""The validated routing document that a node has in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bluebellsill.http_server import RequestLimits
from bluebellsill.route_table import RouteTable

if TYPE_CHECKING:
    from bluebellsill.resources import Service

__all__ = ('RoutingPlan',)


@dataclass(frozen=True, slots=True)
class RoutingPlan:
    """All routes and services of one version of the document.

    Attributes:
        version: The operators' number of the version; it only grows.
        table: The routes.
        services_by_name: What the document says of each service.
        limits: The bounds of callers' requests.
    """

    version: int
    table: RouteTable
    services_by_name: dict[str, Service] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
