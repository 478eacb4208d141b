"""The settings of a platform node, whose operators write to the store."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct, convert

from bluebellsill.overload import OrderName
from bluebellsill.settings import AddressText

__all__ = (
    'BoundSettings',
    'LimitSettings',
    'MeshListenSettings',
    'MeshNodeSettings',
    'MeshOverloadSettings',
    'MeshSettings',
    'MeshStoreSettings',
    'MeshTargetSettings',
)

Positive = Annotated[float, Meta(gt=0)]


class MeshNodeSettings(Struct, frozen=True):
    """The identity and location of the node.

    Attributes:
        name: The name of the VM in the logs.
        availability_zone: The availability zone of the VM.
        is_first_start: Whether the whole deployment starts for the first
            time, so that no state of an earlier run of a node exists.
    """

    name: str
    availability_zone: str
    is_first_start: bool = False


class MeshListenSettings(Struct, frozen=True):
    """The addresses on which the node listens.

    Attributes:
        peers: For other nodes, over TCP and UDP; also the node's ID, unless
            ``advertised_peers`` is set.
        callers: For callers on the VM and for the target's own calls.
        reports: For the reports of the target.
        ready: For the platform's readiness check.
        metrics: For the metrics.
        advertised_peers: The address at which other nodes reach ``peers``,
            if it differs, for example because of port forwarding.
    """

    peers: AddressText
    callers: AddressText
    reports: AddressText
    ready: AddressText
    metrics: AddressText
    advertised_peers: AddressText | None = None


class MeshTargetSettings(Struct, frozen=True):
    """The target on the same VM.

    Attributes:
        service: The service of the target.
        address: The address on which the target serves requests.
        report_period_ms: Milliseconds between the target's reports.
    """

    service: str
    address: AddressText
    report_period_ms: Annotated[float, Meta(gt=0)] = 1500


class MeshStoreSettings(Struct, frozen=True):
    """The address of the platform's store."""

    address: AddressText


class MeshOverloadSettings(Struct, frozen=True):
    """What happens when a target cannot run all calls.

    Attributes:
        order: Which waiting calls start first: ``priority``, or ``cost`` for
            those whose clients lose most. A routing document with teams
            selects ``cost`` in any case.
    """

    order: OrderName = 'priority'


class BoundSettings(Struct, frozen=True):
    """The platform's bounds that the node enforces, without the others.

    Attributes:
        grace_s: Seconds from SIGTERM to SIGKILL.
        retry_budget_ratio: Permitted retries per request to a service.
        budget_window_s: The window of the retry budget, in seconds.
        budget_extra: Retries that each window permits in addition.
        cold_excess: The factor by which a cold target's rate may be exceeded.
        cold_slack: Requests per second that a cold target may receive in
            addition.
    """

    grace_s: Positive = 6
    retry_budget_ratio: Annotated[float, Meta(ge=0)] = 0.2
    budget_window_s: Positive = 10
    budget_extra: Annotated[float, Meta(ge=0)] = 50
    cold_excess: Positive = 1
    cold_slack: Annotated[float, Meta(ge=0)] = 0


class LimitSettings(Struct, frozen=True):
    """The limits of the VM, None where they are not stated.

    Attributes:
        memory_mb: The memory in MiB.
        max_descriptors: The number of descriptors that a process may open.
    """

    memory_mb: Positive | None = None
    max_descriptors: Annotated[int, Meta(gt=0)] | None = None


class MeshSettings(Struct, frozen=True):
    """All settings of a node.

    Attributes:
        node: The identity and location of the node.
        listen: The addresses on which it listens.
        target: The target on the same VM.
        store: The platform's store.
        bounds: The platform's bounds by name; ``enforced_bounds`` returns those
            that the node enforces.
        overload: What happens when a target cannot run all calls.
        limits: The limits of the VM.
        seeds: Addresses of nodes to join through; only the hosts are used,
            as all nodes listen for peers on the same port.
    """

    node: MeshNodeSettings
    listen: MeshListenSettings
    target: MeshTargetSettings
    store: MeshStoreSettings
    bounds: dict[str, float | bool] = {}
    overload: MeshOverloadSettings = MeshOverloadSettings()
    limits: LimitSettings = LimitSettings()
    seeds: tuple[AddressText, ...] = ()

    def enforced_bounds(self) -> BoundSettings:
        """Return the bounds that the node enforces.

        Raises:
            msgspec.ValidationError: The value of a bound is invalid.
        """
        return convert(self.bounds, BoundSettings)
