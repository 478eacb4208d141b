"""The router and the retry budget of each service at an entry node."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Protocol

from bluebellsill.membership import MemberState
from bluebellsill.routing import Router

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.balancing_policy import BalancingPolicy
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.retries import RetryBudget

__all__ = ('OperatorExclusions', 'RouterRegistry', 'ServiceRouting')

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


class ServiceRouting:
    """The router and the retry budget of one service."""

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        """Create routing state whose targets have not been set yet."""
        self.router = router
        self.budget = budget
        self.is_current = False


class RouterRegistry:
    """Keeps the router of each service in line with members and operators."""

    def __init__(
        self,
        members: Members,
        exclusions: OperatorExclusions,
        make_policy: Callable[[], BalancingPolicy],
        make_budget: Callable[[], RetryBudget],
    ) -> None:
        """Create a placement without services.

        Args:
            members: The nodes and the services of their targets.
            exclusions: What operators took out of service.
            make_policy: Creates the load-balancing policy of a service.
            make_budget: Creates the retry budget of a service.
        """
        self._members = members
        self._exclusions = exclusions
        self._make_policy = make_policy
        self._make_budget = make_budget
        self._routing_by_service: OrderedDict[str, ServiceRouting] = (
            OrderedDict()
        )
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
            routing.router.update(self._available_targets(service))
            routing.is_current = True
        return routing

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
