"""The validated routing document that a node has in force."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bluebellsill.http_server import RequestLimits
from bluebellsill.route_table import RouteTable

if TYPE_CHECKING:
    from bluebellsill.resources import Service
    from bluebellsill.teams import TeamDirectory

__all__ = ('RoutingPlan',)


@dataclass(frozen=True, slots=True)
class RoutingPlan:
    """The routes and services of one version of the routing document.

    Attributes:
        version: The version number, which the operators increase.
        table: The routes by host and path prefix.
        services_by_name: The settings of each service.
        limits: The limits on the size and timing of requests.
        teams: The teams by their keys, None if requests need no key.
    """

    version: int
    table: RouteTable
    services_by_name: dict[str, Service] = field(default_factory=dict)
    limits: RequestLimits = RequestLimits()
    teams: TeamDirectory | None = None
