"""The router and the retry budget of each service at an entry node."""

from __future__ import annotations

from collections import OrderedDict
from copy import copy
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from bluebellsill.membership import MemberState
from bluebellsill.routing import Router, VersionChoice

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from bluebellsill.balancing_policy import BalancingPolicy
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.retries import RetryBudget

__all__ = (
    'OperatorExclusions',
    'RouterRegistry',
    'RoutingPreview',
    'ServiceRouting',
    'VersionRules',
    'VersionTraffic',
)

# Services whose routing state is kept; they come and go with the versions of the
# configuration.
_MAX_SERVICES = 4096


class OperatorExclusions(Protocol):
    """The availability zones and targets that operators took out of service."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change."""

    def is_zone_out(self, name: str) -> bool:
        """Return whether an availability zone is out of service."""

    def is_target_out(self, node_id: str) -> bool:
        """Return whether a target is out of service."""


class VersionTraffic(VersionChoice, Protocol):
    """What a canary release changes for the calls of one service."""

    def split(
        self, members: Collection[Member]
    ) -> tuple[list[Member], list[Member]]:
        """Return the targets for most calls, and those of the new version."""

    def on_outcome(
        self, node_id: str, route: str, seconds: float, *, has_failed: bool
    ) -> None:
        """Count the outcome of a call that a target has run."""


class VersionRules(Protocol):
    """The canary releases that are ordered."""

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with a service whose rules have changed."""

    def of_service(self, service: str) -> VersionTraffic | None:
        """Return the rules of a service, None if versions do not matter."""


class ServiceRouting:
    """The router and the retry budget of one service.

    Attributes:
        traffic: The versions in use, None if they do not matter.
    """

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        """Create routing state whose targets have not been set yet."""
        self.router = router
        self.budget = budget
        self.is_current = False
        self.traffic: VersionTraffic | None = None


@dataclass(frozen=True, slots=True)
class RoutingPreview:
    """How calls for a service would be routed now.

    Attributes:
        router: A copy of the router; its choices change no state of the node.
        is_started: Whether the service had a call at this node. The rotation
            starts at a random target for the first one.
        members: The nodes of the service's targets.
        available_ids: The nodes whose target is ready and in service.
        versioned_ids: Those of them whose target's version gets calls.
    """

    router: Router
    is_started: bool
    members: list[Member]
    available_ids: frozenset[str]
    versioned_ids: frozenset[str]


class RouterRegistry:
    """Keeps the router of each service in line with members and operators."""

    def __init__(
        self,
        members: Members,
        exclusions: OperatorExclusions,
        make_policy: Callable[[], BalancingPolicy],
        make_budget: Callable[[], RetryBudget],
        versions: VersionRules | None = None,
    ) -> None:
        """Create a placement without services.

        Args:
            members: The nodes and the services of their targets.
            exclusions: What operators took out of service.
            make_policy: Creates the load-balancing policy of a service.
            make_budget: Creates the retry budget of a service.
            versions: The canary releases; None without them.
        """
        self._members = members
        self._exclusions = exclusions
        self._make_policy = make_policy
        self._make_budget = make_budget
        self._routing_by_service: OrderedDict[str, ServiceRouting] = (
            OrderedDict()
        )
        self._versions = versions
        if versions is not None:
            versions.subscribe(self._on_versions_changed)
        members.subscribe(self._on_member_changed)
        exclusions.subscribe(self._on_exclusions_changed)

    def of_service(self, service: str) -> ServiceRouting:
        """Return the up-to-date routing state of a service."""
        routing = self._routing_by_service.get(service)
        if routing is None:
            own = self._members.own
            router = Router(own.id, own.zone, self._make_policy())
            routing = ServiceRouting(router, self._make_budget())
            self._routing_by_service[service] = routing
            if len(self._routing_by_service) > _MAX_SERVICES:
                self._routing_by_service.popitem(last=False)
        else:
            self._routing_by_service.move_to_end(service)
        if not routing.is_current:
            self._update(service, routing)
        return routing

    def preview(
        self, service: str, first_policy: BalancingPolicy
    ) -> RoutingPreview:
        """Return how calls for a service would be routed, changing nothing.

        Args:
            service: The service.
            first_policy: Used if the service had no call yet; to create its own
                policy would draw from the random source of the node.
        """
        own = self._members.own
        routing = self._routing_by_service.get(service)
        router = (
            Router(own.id, own.zone, first_policy)
            if routing is None
            else routing.router.copy()
        )
        targets = self._available_targets(service)
        available_ids = frozenset(one.id for one in targets)
        canaries: list[Member] = []
        versions = self._versions
        traffic = copy(versions.of_service(service)) if versions else None
        if traffic is not None:
            targets, canaries = traffic.split(targets)
        if routing is None or not routing.is_current:
            router.update(targets, canaries, traffic)
        return RoutingPreview(
            router,
            routing is not None,
            self._members.of_service(service),
            available_ids,
            frozenset(one.id for one in (*targets, *canaries)),
        )

    def _update(self, service: str, routing: ServiceRouting) -> None:
        targets = self._available_targets(service)
        versions = self._versions
        traffic = None if versions is None else versions.of_service(service)
        routing.traffic = traffic
        if traffic is None:
            routing.router.update(targets)
        else:
            targets, canaries = traffic.split(targets)
            routing.router.update(targets, canaries, traffic)
        routing.is_current = True

    def _on_versions_changed(self, service: str) -> None:
        routing = self._routing_by_service.get(service)
        if routing is not None:
            routing.is_current = False

    def _available_targets(self, service: str) -> list[Member]:
        return [
            member
            for member in self._members.of_service(service)
            if member.state == MemberState.READY
            and not self._exclusions.is_zone_out(member.zone)
            and not self._exclusions.is_target_out(member.id)
        ]

    def _on_member_changed(self, known: Member | None, record: Member) -> None:
        for member in (known, record):
            routing = member and self._routing_by_service.get(member.service)
            if routing:
                routing.is_current = False

    def _on_exclusions_changed(self) -> None:
        for routing in self._routing_by_service.values():
            routing.is_current = False
