"""The state that a target announces to its node."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

__all__ = (
    'Announcement',
    'must_publish',
    'provisional_start_id',
    'replaces_provisional',
)


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """The state that a target announces to its node once a second.

    Attributes:
        service: The service that the target belongs to.
        address: Where the target accepts requests, ``host:port``.
        start_id: Identifies one start of the target; each start has a new one.
        is_leaving: Whether the target accepts no new requests.
        slots: How many requests it runs concurrently, 0 if not stated.
        cold_seconds: How long it stays cold, None if not stated.
        name: The name by which requests address the target, empty if they do
            not name it.
        is_provisional: Whether this comes from a probe, before any report.
        target_version: The version of the target's program, empty if not
            stated.
    """

    service: str
    address: str
    start_id: str
    is_leaving: bool = False
    slots: int = 0
    cold_seconds: float | None = None
    name: str = ''
    is_provisional: bool = False
    target_version: str = ''


def provisional_start_id(name: str) -> str:
    """Return the start id of a target that was found by a probe.

    A probe shows the name of a target, but not which start of it.
    """
    return f'probed/{name}'


def must_publish(
    known: Announcement | None, announcement: Announcement
) -> bool:
    """Return whether other nodes must be told of an announcement."""
    if known is None:
        return True
    return replace(known, cold_seconds=None) != replace(
        announcement,
        cold_seconds=None,
    )


def replaces_provisional(
    known: Announcement | None,
    announcement: Announcement,
) -> bool:
    """Return whether a report is the first of a target found by a probe."""
    if known is None or not known.is_provisional:
        return False
    return known.name == announcement.name
