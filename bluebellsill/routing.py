"""The targets of one service that an entry node sends calls to."""

from __future__ import annotations

from copy import copy
from typing import TYPE_CHECKING, Protocol

from bluebellsill.outlier_detection import OutlierDetector
from bluebellsill.rendezvous import rank
from bluebellsill.target_notes import TargetNotes
from bluebellsill.target_view import TargetView

if TYPE_CHECKING:
    from collections.abc import Collection

    from bluebellsill.balancing_policy import BalancingPolicy
    from bluebellsill.gossip_messages import Member

__all__ = ('Router', 'VersionChoice')

SUBSET_SIZE = 16  # targets of one service that an entry node calls
_LOCAL_SUBSET_SIZE = 8  # at most so many of them are in the own zone


class VersionChoice(Protocol):
    """Divides the calls for a service between two versions of its targets."""

    def takes_canary(self, now: float, *, has_canary: bool) -> bool:
        """Return whether a new call goes to the version being released."""


class Router:
    """Chooses among a subset of the targets of one service.

    Attributes:
        views_by_id: The targets of the subset, by their node.
        outlier_detector: Compares the latencies of the targets.
        notes: What targets ask of all nodes, also of those that are not in
            the subset at present.
    """

    def __init__(
        self, own_id: str, own_zone: str, policy: BalancingPolicy
    ) -> None:
        """Create a router without targets.

        Args:
            own_id: The id of this node. It seeds the subset, so that the
                subsets of all entry nodes spread evenly over the targets.
            own_zone: The availability zone of this node, whose targets are
                preferred while they are not the more loaded ones.
            policy: Chooses among the targets that are eligible for a call.
        """
        self.views_by_id: dict[str, TargetView] = {}
        self.outlier_detector = OutlierDetector()
        self.notes = TargetNotes()
        self._own_id = own_id
        self._own_zone = own_zone
        self._policy = policy
        self._canary_ids: frozenset[str] = frozenset()
        self._choice: VersionChoice | None = None

    def update(
        self,
        members: Collection[Member],
        canaries: Collection[Member] = (),
        choice: VersionChoice | None = None,
    ) -> None:
        """Select the subset of targets to use.

        Args:
            members: The ready targets in availability zones in service.
            canaries: Targets besides them, of a version being released.
            choice: Selects the calls for these; None if versions do not matter.
        """
        local = [one for one in members if one.zone == self._own_zone]
        remote = [one for one in members if one.zone != self._own_zone]
        chosen = self._subset(local, _LOCAL_SUBSET_SIZE)
        chosen += self._subset(remote, SUBSET_SIZE - len(chosen))
        chosen += canaries
        self._canary_ids = frozenset(one.id for one in canaries)
        self._choice = choice
        previous = self.views_by_id
        self.views_by_id = {
            one.id: previous.get(one.id)
            or TargetView(one.id, one.zone, limit=max(1, one.slots))
            for one in chosen
        }

    def copy(self) -> Router:
        """Return a copy whose choices change nothing in this router.

        It makes the same choices as this one would; the notes are shared.
        """
        copied = copy(self)
        copied.views_by_id = {
            view.id: view.copy() for view in self.views_by_id.values()
        }
        copied.outlier_detector = copy(self.outlier_detector)
        copied._policy = copy(self._policy)
        copied._choice = copy(self._choice)
        return copied

    def cost(self, view: TargetView, now: float) -> float:
        """Return what the policy compares targets by."""
        return self._policy.cost(view, now)

    def choose(self, tried: Collection[str], now: float) -> TargetView | None:
        """Choose the target for a call.

        Args:
            tried: The nodes that this call was already sent to.
            now: The time in seconds.

        Returns:
            The target, or None if the call was already sent to all.
        """
        views = [
            view for view in self.views_by_id.values() if view.id not in tried
        ]
        if self._choice is not None:
            views = self._of_version(views, self._choice, tried, now)
        preferred = [view for view in views if view.avoided_until <= now]
        candidates = preferred or views
        candidates = (
            self.outlier_detector.exclude_slow(candidates, now) or candidates
        )
        if not candidates:
            return None
        return self._policy.pick(candidates, now)

    def _of_version(
        self,
        views: list[TargetView],
        choice: VersionChoice,
        tried: Collection[str],
        now: float,
    ) -> list[TargetView]:
        """Return the targets of the version that a call goes to.

        A call that another target has not answered goes to the version in
        force: a retry must not fail for the new one.
        """
        canary = [view for view in views if view.id in self._canary_ids]
        if not tried and choice.takes_canary(now, has_canary=bool(canary)):
            return canary
        return [view for view in views if view.id not in self._canary_ids]

    def _subset(self, members: list[Member], count: int) -> list[Member]:
        if len(members) <= count:
            return members
        by_id = {member.id: member for member in members}
        return [by_id[one] for one in rank(self._own_id, by_id, count)]
