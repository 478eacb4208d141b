"""Interface for reading the operators' declarations from the store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bluebellsill.replica_version import StorePosition

__all__ = (
    'DocumentWritten',
    'FeedChange',
    'FeedFailure',
    'FeedUpdate',
    'FeedSnapshot',
    'OperatorFeed',
    'OrderWritten',
    'PendingWatch',
    'ZoneWritten',
)


@dataclass(frozen=True, slots=True)
class FeedSnapshot:
    """All declarations of the operators at a position of the store.

    Attributes:
        position: The state of the store that was read.
        document: The encoded routing document, empty if there is none.
        zones_out: The availability zones that are out of service.
        orders: The canary releases that are ordered.
    """

    position: StorePosition
    document: bytes
    zones_out: frozenset[str]
    orders: tuple[OrderWritten, ...] = ()


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


@dataclass(frozen=True, slots=True)
class OrderWritten:
    """The order of a canary release was written or removed.

    Attributes:
        revision: The revision of the change.
        service: The service whose targets get a new version.
        payload: The encoded order, empty if it was removed.
    """

    revision: int
    service: str
    payload: bytes


FeedChange = DocumentWritten | ZoneWritten | OrderWritten


@dataclass(frozen=True, slots=True)
class FeedUpdate:
    """The changes after a position, and the position to watch from next."""

    changes: tuple[FeedChange, ...]
    position: StorePosition


@dataclass(frozen=True, slots=True)
class FeedFailure:
    """Describes a failed read of the store.

    Attributes:
        reason: A human-readable description of the failure.
        is_position_lost: Whether the store cannot tell the changes after the
            requested position, because it has discarded them, was restored
            from a copy or has more than one answer can hold, so that a full
            snapshot must be read.
    """

    reason: str
    is_position_lost: bool = False


class PendingWatch(Protocol):
    """A watch that has not been answered."""

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the answer has arrived."""

    def cancel(self) -> None:
        """Give the watch up; its callback is not called."""


class OperatorFeed(Protocol):
    """Reads the declarations of the operators."""

    def read(
        self,
        on_done: Callable[[Result[FeedSnapshot, FeedFailure]], None],
    ) -> None:
        """Read a full snapshot."""

    def watch(
        self,
        position: StorePosition,
        wait: float,
        on_done: Callable[[Result[FeedUpdate, FeedFailure]], None],
    ) -> PendingWatch:
        """Wait up to ``wait`` seconds for changes after a position."""

    def ping(
        self,
        on_done: Callable[[Result[int, FeedFailure]], None],
    ) -> None:
        """Check with a cheap call whether the store answers this node.

        Args:
            on_done: Called once with the epoch of the store, or the failure.
        """
