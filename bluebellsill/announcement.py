"""What a target tells the node beside it."""

from __future__ import annotations

from msgspec import Struct
from msgspec.structs import replace

__all__ = ('Announcement', 'differ', 'is_told_by_probe')


class Announcement(Struct, frozen=True, forbid_unknown_fields=True):
    """What a target tells the node beside it, once a second.

    Attributes:
        service: The service that the target belongs to.
        address: Where the target answers, ``host:port``.
        start_id: Differs after each start of the target.
        is_leaving: Whether the target wants no new work.
        slots: The requests that it runs at a time, 0 if it does not say.
        cold_seconds: How long it stays cold, None if it does not say.
        name: What requests to it call it, where they do.
        is_provisional: Whether a probe told this, and no report yet.
    """

    service: str
    address: str
    start_id: str
    is_leaving: bool = False
    slots: int = 0
    cold_seconds: float | None = None
    name: str = ''
    is_provisional: bool = False


def differ(known: Announcement | None, announcement: Announcement) -> bool:
    """Return whether others need to hear of an announcement."""
    if known is None:
        return True
    return replace(known, cold_seconds=None) != replace(
        announcement,
        cold_seconds=None,
    )


def is_told_by_probe(
    known: Announcement | None,
    announcement: Announcement,
) -> bool:
    """Return whether a report is the first of a target that a probe found."""
    if known is None or not known.is_provisional:
        return False
    return known.name == announcement.name
