"""Finds the route of a request by its host and path."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from bluebellsill.route import Route

__all__ = ('RouteTable',)


class RouteTable:
    """The routes of all hosts, matched by the longest path prefix."""

    def __init__(self, routes: Iterable[tuple[str, str, Route]]) -> None:
        """Create a table.

        Args:
            routes: Host name, path prefix and route of each rule.
        """
        self._by_host: dict[str, dict[str, Route]] = {}
        for host, prefix, route in routes:
            self._by_host.setdefault(host.lower(), {})[prefix] = route

    def __len__(self) -> int:
        """Return the number of routes."""
        return sum(len(by_prefix) for by_prefix in self._by_host.values())

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or None if no rule matches.

        Args:
            host: The ``Host`` header; its port is ignored.
            target: The request target: a path and an optional query.
        """
        by_prefix = self._by_host.get(host.partition(':')[0].lower())
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        # Prefixes end with a slash, so only such parts of the path can match.
        end = path.rfind('/') + 1
        while end > 0:
            route = by_prefix.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def services(self) -> set[str]:
        """Return the names of all services that routes lead to."""
        routes = chain.from_iterable(
            by_prefix.values() for by_prefix in self._by_host.values()
        )
        return {
            part.service for route in routes for part in route.weighted_services
        }
