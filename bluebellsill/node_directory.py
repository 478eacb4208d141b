"""The interface of the node directory in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from result import Result

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('DirectoryEntry', 'DirectoryFailure', 'Listing', 'NodeDirectory')


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One registered node.

    Attributes:
        node_id: The node's peer address, ``host:port``.
        zone: Its availability zone.
    """

    node_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class DirectoryFailure:
    """A failed directory call.

    Attributes:
        reason: A description for people.
    """

    reason: str


Listing = Result[list[DirectoryEntry], DirectoryFailure]


class NodeDirectory(Protocol):
    """Lists and registers nodes."""

    def list_nodes(
        self,
        on_done: Callable[[Listing], None],
        *,
        allow_stale: bool,
    ) -> None:
        """List the entries.

        Args:
            on_done: Called once with the entries or the failure.
            allow_stale: Whether the result may be some seconds old, which
                costs the store less.
        """

    def register(
        self,
        entry: DirectoryEntry,
        on_done: Callable[[Result[None, DirectoryFailure]], None],
    ) -> None:
        """Write an entry that expires unless it is renewed."""

    def renew(
        self,
        on_done: Callable[[Result[None, DirectoryFailure]], None],
    ) -> None:
        """Renew the entry that this node has registered."""
