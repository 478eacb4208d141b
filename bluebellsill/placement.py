"""The targets and the retry budget that an entry node has per service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from bluebellsill.membership import MemberState
from bluebellsill.routing import Router

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.choice import Choice
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.retries import RetryBudget

__all__ = ('OperatorWishes', 'Placement', 'ServicePlaces')


class OperatorWishes(Protocol):
    """What operators took out of service."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after every change."""

    def is_zone_out(self, name: str) -> bool:
        """Return whether operators took an availability zone out."""

    def is_target_out(self, node_id: str) -> bool:
        """Return whether operators took a target out."""


class ServicePlaces:
    """What an entry node keeps for one service."""

    def __init__(self, router: Router, budget: RetryBudget) -> None:
        """Create places that are not up to date yet."""
        self.router = router
        self.budget = budget
        self.is_current = False


class Placement:
    """Follows members and operators, and knows where calls may go."""

    def __init__(
        self,
        members: Members,
        wishes: OperatorWishes,
        make_choice: Callable[[], Choice],
        make_budget: Callable[[], RetryBudget],
    ) -> None:
        """Create a placement without services.

        Args:
            members: The nodes and what is beside them.
            wishes: What operators took out.
            make_choice: Returns the way to choose targets of a service.
            make_budget: Returns the retry budget of a service.
        """
        self._members = members
        self._wishes = wishes
        self._make_choice = make_choice
        self._make_budget = make_budget
        self._places_by_service: dict[str, ServicePlaces] = {}
        members.subscribe(self._on_member_changed)
        wishes.subscribe(self._on_wishes_changed)

    def of_service(self, service: str) -> ServicePlaces:
        """Return the places of a service, up to date."""
        places = self._places_by_service.get(service)
        if places is None:
            own = self._members.own
            router = Router(own.id, own.zone, self._make_choice())
            places = ServicePlaces(router, self._make_budget())
            self._places_by_service[service] = places
        if not places.is_current:
            places.router.update(self._targets(service))
            places.is_current = True
        return places

    def _targets(self, service: str) -> list[Member]:
        return [
            member
            for member in self._members.of_service(service)
            if member.state == MemberState.READY
            and not self._wishes.is_zone_out(member.zone)
            and not self._wishes.is_target_out(member.id)
        ]

    def _on_member_changed(self, known: Member | None, record: Member) -> None:
        for one in (known, record):
            places = one and self._places_by_service.get(one.service)
            if places:
                places.is_current = False

    def _on_wishes_changed(self) -> None:
        for places in self._places_by_service.values():
            places.is_current = False
