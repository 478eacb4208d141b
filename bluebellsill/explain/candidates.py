"""Lists the targets of a service in the order in which they would be tried."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.explain.explanation import Candidate, NotUsed
from bluebellsill.membership import MemberState

if TYPE_CHECKING:
    from bluebellsill.gossip_messages import Member
    from bluebellsill.router_registry import RoutingPreview

__all__ = ('list_candidates',)

_MS_PER_SECOND = 1000
_DIGITS = 3  # decimal places of the numbers shown


def list_candidates(preview: RoutingPreview, now: float) -> list[Candidate]:
    """Return the targets in the order of the attempts, then the others.

    The choices are made by the router's own rules, on the copy that the
    preview holds.
    """
    views_by_id = preview.router.views_by_id
    attempts_by_id = _attempts(preview, now)
    ordered = sorted(
        preview.members,
        key=lambda one: (
            attempts_by_id.get(one.id, len(views_by_id) + 1),
            one.id not in views_by_id,
            one.id,
        ),
    )
    return [
        _candidate(preview, one, attempts_by_id.get(one.id), now)
        for one in ordered
    ]


def _attempts(preview: RoutingPreview, now: float) -> dict[str, int]:
    """Return the number of each attempt if all targets refuse the call."""
    tried: list[str] = []
    view = preview.router.choose(tried, now)
    while view is not None:
        tried.append(view.id)
        view = preview.router.choose(tried, now)
    return {node_id: index + 1 for index, node_id in enumerate(tried)}


def _candidate(
    preview: RoutingPreview, member: Member, attempt: int | None, now: float
) -> Candidate:
    not_used = None if attempt else _not_used(preview, member)
    gets_traffic = member.id in preview.versioned_ids
    view = preview.router.views_by_id.get(member.id)
    if view is None:
        return Candidate(
            member.id,
            member.zone,
            member.target_version,
            attempt,
            not_used,
            gets_traffic,
        )
    avoided_seconds = max(0, view.avoided_until - now)
    return Candidate(
        member.id,
        member.zone,
        member.target_version,
        attempt,
        not_used,
        gets_traffic,
        expected_load=round(view.expected_load(now), _DIGITS),
        limit=view.limit,
        slowness=round(view.expected_slowness(now), _DIGITS),
        failure_share=round(view.expected_failure_share(now), _DIGITS),
        relative_latency=round(view.relative_latency, _DIGITS),
        cost=round(preview.router.cost(view, now), _DIGITS),
        avoided_ms=round(avoided_seconds * _MS_PER_SECOND),
    )


def _not_used(preview: RoutingPreview, member: Member) -> NotUsed:
    if member.id in preview.router.views_by_id:
        return NotUsed.OTHER_VERSION
    if member.id in preview.versioned_ids:
        return NotUsed.SUBSET
    if member.id in preview.available_ids:
        return NotUsed.VERSION
    if member.state == MemberState.READY:
        return NotUsed.OUT_OF_SERVICE
    return NotUsed.NOT_READY
