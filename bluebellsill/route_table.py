"""Finds the route of a request by its host and path."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from bluebellsill.route import Route, Split

__all__ = ('RouteTable',)

_RouteFactory = Callable[[], Route]


class RouteTable:
    """The routes of all hosts, matched by the longest path prefix.

    A document may have a thousand routes of which few are used, so each route
    is created for its first request: to create all of them at once would hold
    up the event loop.

    Attributes:
        services: The names of all services that routes lead to.
        splits: The routes whose requests go to several services.
    """

    def __init__(
        self,
        routes: Iterable[tuple[str, str, _RouteFactory]],
        services: Iterable[str] = (),
        splits: Iterable[Split] = (),
    ) -> None:
        """Create a table.

        Args:
            routes: Host name and path prefix of each rule, and a function that
                creates its route.
            services: The names of all services that the routes lead to.
            splits: The routes whose requests go to several services.
        """
        self.services = frozenset(services)
        self.splits = frozenset(splits)
        self._by_host: dict[str, dict[str, _RouteFactory]] = {}
        self._created: dict[tuple[str, str], Route] = {}
        for host, prefix, create in routes:
            self._by_host.setdefault(host.lower(), {})[prefix] = create
        # The lengths of the prefixes of each host, the longest first.
        self._lengths_by_host = {
            name: sorted({len(one) for one in by_prefix}, reverse=True)
            for name, by_prefix in self._by_host.items()
        }

    def __len__(self) -> int:
        """Return the number of routes."""
        return sum(len(by_prefix) for by_prefix in self._by_host.values())

    def match(self, host: str, target: str) -> Route | None:
        """Return the route of a request, or None if no rule matches.

        Args:
            host: The ``Host`` header; its port is ignored.
            target: The request target: a path and an optional query.
        """
        name = host.partition(':')[0].lower()
        by_prefix = self._by_host.get(name)
        if by_prefix is None:
            return None
        path = target.partition('?')[0]
        # A path may have thousands of slashes; only parts of it that are as long
        # as a prefix are looked up.
        for length in self._lengths_by_host[name]:
            prefix = path[:length]
            if len(prefix) == length and prefix in by_prefix:
                return self._route(name, prefix)
        return None

    def _route(self, host: str, prefix: str) -> Route:
        route = self._created.get((host, prefix))
        if route is None:
            route = self._by_host[host][prefix]()
            self._created[host, prefix] = route
        return route
