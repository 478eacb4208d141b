"""Interface for reading the operators' declarations from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from msgspec import Struct

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

__all__ = (
    'DocumentWritten',
    'FeedChange',
    'FeedFailure',
    'FeedUpdate',
    'FeedSnapshot',
    'OperatorFeed',
    'ZoneWritten',
)


class FeedSnapshot(Struct, array_like=True, frozen=True):
    """All declarations of the operators at a revision of the store.

    Attributes:
        revision: The store revision, which increases with each write.
        document: The encoded routing document, empty if there is none.
        zones_out: The availability zones that are out of service.
    """

    revision: int
    document: bytes
    zones_out: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class DocumentWritten:
    """The routing document was replaced."""

    revision: int
    document: bytes


@dataclass(frozen=True, slots=True)
class ZoneWritten:
    """An availability zone was taken out of or returned to service."""

    revision: int
    zone: str
    is_out: bool


FeedChange = DocumentWritten | ZoneWritten


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """The changes after a revision, and the revision to watch from next."""

    changes: tuple[FeedChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class FeedFailure:
    """Describes a failed read of the store.

    Attributes:
        reason: A human-readable description of the failure.
        is_history_discarded: Whether the store has discarded the requested
            changes, so that a full snapshot must be read.
    """

    reason: str
    is_history_discarded: bool = False


class OperatorFeed(Protocol):
    """Reads the declarations of the operators."""

    def read(
        self,
        on_done: Callable[[Result[FeedSnapshot, FeedFailure]], None],
    ) -> None:
        """Read a full snapshot."""

    def watch(
        self,
        revision: int,
        wait: float,
        on_done: Callable[[Result[FeedUpdate, FeedFailure]], None],
    ) -> None:
        """Wait up to ``wait`` seconds for changes after a revision."""
