"""What operators declared in the platform's store, as a node reads it."""

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
    'FeedNews',
    'FeedSnapshot',
    'OperatorFeed',
    'ZoneWritten',
)


class FeedSnapshot(Struct, array_like=True, frozen=True):
    """Everything that operators declared, at one revision of the store.

    Attributes:
        revision: The store's revision; later snapshots have higher ones.
        document: The routing document as it was written, empty for none.
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
    """An availability zone was taken out of service or back."""

    revision: int
    zone: str
    is_out: bool


FeedChange = DocumentWritten | ZoneWritten


@dataclass(frozen=True, slots=True)
class FeedNews:
    """The changes after a revision, and the revision to go on from."""

    changes: tuple[FeedChange, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class FeedFailure:
    """Why a read of the store did not succeed.

    Attributes:
        reason: What happened, for a person.
        is_history_gone: Whether the changes asked for were forgotten, so
            that everything has to be read anew.
    """

    reason: str
    is_history_gone: bool = False


class OperatorFeed(Protocol):
    """Reads what operators declared."""

    def read(
        self,
        on_done: Callable[[Result[FeedSnapshot, FeedFailure]], None],
    ) -> None:
        """Read everything."""

    def watch(
        self,
        revision: int,
        wait: float,
        on_done: Callable[[Result[FeedNews, FeedFailure]], None],
    ) -> None:
        """Wait for changes after a revision, for some seconds at most."""
