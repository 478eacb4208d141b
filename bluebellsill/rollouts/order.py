"""The order of a canary release, and how far the release has come."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, unique
from typing import TYPE_CHECKING

from bluebellsill.replica_version import StorePosition

if TYPE_CHECKING:
    from bluebellsill.messages import OutcomeRow

__all__ = ('CanaryOrder', 'CanaryRecord', 'CanaryStage')


@unique
class CanaryStage(str, Enum):
    """The stages of a canary release.

    In ``SWITCHING`` all requests go to the new version, and requests that run
    at the old targets end.
    """

    RUNNING = 'running'
    SWITCHING = 'switching'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def is_final(self) -> bool:
        """Whether the release has ended."""
        return self in {CanaryStage.COMPLETED, CanaryStage.ROLLED_BACK}


@dataclass(frozen=True, slots=True)
class CanaryOrder:
    """An operator's order to release a version of a service's targets.

    Attributes:
        service: The service.
        target_version: The new version of its targets.
        duration: Seconds until the release must have ended.
        position: The state of the store in which the order was written.
    """

    service: str
    target_version: str
    duration: float
    position: StorePosition = StorePosition(0, 0)

    def is_same(self, other: CanaryOrder) -> bool:
        """Return whether both are one order.

        Operators repeat an order that a restored store has lost. Within an
        epoch a second write is a new order.
        """
        mine = (self.service, self.target_version, self.duration)
        if mine != (other.service, other.target_version, other.duration):
            return False
        return (
            self.position == other.position
            or self.position.epoch != other.position.epoch
        )


@dataclass(frozen=True, slots=True)
class CanaryRecord:
    """What the store keeps of a release, so that any node can continue it.

    Attributes:
        order: The order.
        stage: How far it has come.
        elapsed: Seconds since the order when this was written.
        written_at: When this was written, in seconds since the Unix epoch.
        base_versions: The versions that ran before the order.
        requests: The requests that reached the service since the order.
        canary_requests: How many of them were sent to the new version.
        rows: The outcomes by route and version.
    """

    order: CanaryOrder
    stage: CanaryStage
    elapsed: float = 0
    written_at: float = 0
    base_versions: frozenset[str] = frozenset()
    requests: int = 0
    canary_requests: int = 0
    rows: tuple[OutcomeRow, ...] = field(default=())
