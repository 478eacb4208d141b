"""The entries by which nodes find each other in the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from result import Result

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('DirectoryEntry', 'DirectoryFailure', 'Listing', 'NodeDirectory')


@dataclass(frozen=True, slots=True)
class DirectoryEntry:
    """One node that can be met.

    Attributes:
        node_id: The node's peer address, ``host:port``.
        zone: Its availability zone.
    """

    node_id: str
    zone: str


@dataclass(frozen=True, slots=True)
class DirectoryFailure:
    """Why a call did not succeed, for a person."""

    reason: str


Listing = Result[list[DirectoryEntry], DirectoryFailure]


class NodeDirectory(Protocol):
    """Lists and registers nodes."""

    def list_nodes(
        self,
        on_done: Callable[[Listing], None],
    ) -> None:
        """List the entries; they may be some seconds old."""

    def register(
        self,
        entry: DirectoryEntry,
        on_done: Callable[[Result[None, DirectoryFailure]], None],
    ) -> None:
        """Write an entry that lapses unless it is renewed."""

    def renew(
        self,
        on_done: Callable[[Result[None, DirectoryFailure]], None],
    ) -> None:
        """Keep the entry that this node has registered."""
