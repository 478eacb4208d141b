"""The settings of a node whose operators declare through the store."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, convert

from bluebellsill.settings import AddressText

__all__ = (
    'BoundSettings',
    'MeshListenSettings',
    'MeshNodeSettings',
    'MeshSettings',
    'MeshStoreSettings',
    'MeshTargetSettings',
)

Positive = Annotated[float, Meta(gt=0)]


class MeshNodeSettings(Struct, frozen=True):
    """Where the node is.

    Attributes:
        name: Names the VM in the logs.
        availability_zone: The availability zone of the VM.
        is_first_start: Whether the whole deployment starts for the first
            time, so that no former life of a node has left anything behind.
    """

    name: str
    availability_zone: str
    is_first_start: bool = False


class MeshListenSettings(Struct, frozen=True):
    """Where the node listens.

    Attributes:
        peers: For other nodes, by TCP and UDP; names the node, unless
            ``advertised_peers`` does.
        callers: For callers on the VM and for the target's own calls.
        reports: For the reports of the target.
        ready: For the platform's question whether the node takes callers.
        metrics: For the metrics.
        advertised_peers: Where other nodes reach ``peers``, if that is
            another address, for example behind a port that is forwarded.
    """

    peers: AddressText
    callers: AddressText
    reports: AddressText
    ready: AddressText
    metrics: AddressText
    advertised_peers: AddressText | None = None


class MeshTargetSettings(Struct, frozen=True):
    """The target beside the node.

    Attributes:
        service: Its service.
        address: Where it answers.
        report_period_ms: Milliseconds between its reports.
    """

    service: str
    address: AddressText
    report_period_ms: Annotated[float, Meta(gt=0)] = 1500


class MeshStoreSettings(Struct, frozen=True):
    """Where the platform's store is."""

    address: AddressText


class BoundSettings(Struct, frozen=True):
    """The platform's bounds that decisions keep; others are left out.

    Attributes:
        grace_s: Seconds from SIGTERM to SIGKILL.
        retry_budget_ratio: Repeated requests for each request to a service.
        budget_window_s: Seconds over which that is counted.
        budget_extra: Repeated requests in a window beside that.
        cold_excess: By what factor a cold target's rate may be exceeded.
        cold_slack: Requests in a second beside that.
    """

    grace_s: Positive = 6
    retry_budget_ratio: Annotated[float, Meta(ge=0)] = 0.2
    budget_window_s: Positive = 10
    budget_extra: Annotated[float, Meta(ge=0)] = 50
    cold_excess: Positive = 1
    cold_slack: Annotated[float, Meta(ge=0)] = 0


class MeshSettings(Struct, frozen=True):
    """All settings of a node.

    Attributes:
        node: Where the node is.
        listen: Where it listens.
        target: The target beside it.
        store: The platform's store.
        bounds: The platform's bounds by name; ``known_bounds`` has those
            that decisions keep.
        seeds: Addresses of nodes to meet; only their hosts count, as all
            nodes use the same port for their peers.
    """

    node: MeshNodeSettings
    listen: MeshListenSettings
    target: MeshTargetSettings
    store: MeshStoreSettings
    bounds: dict[str, float | bool] = {}
    seeds: tuple[AddressText, ...] = ()

    def known_bounds(self) -> BoundSettings:
        """Return the bounds that decisions keep.

        Raises:
            msgspec.ValidationError: A bound has a value that makes no sense.
        """
        return convert(self.bounds, BoundSettings)
