"""The operators' declarations that are in force at a node."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import msgspec
from result import Err

from bluebellsill.decoding import decode_msgpack
from bluebellsill.logs import get_logger
from bluebellsill.operator_feed import (
    DocumentWritten,
    FeedSnapshot,
    FeedUpdate,
    OrderWritten,
)
from bluebellsill.order_set import NO_ORDERS, OrderSet, WrittenOrder
from bluebellsill.replica_version import ReplicaVersion, StorePosition
from bluebellsill.zone_exclusions import NO_EXCLUSIONS, ZoneExclusions

if TYPE_CHECKING:
    from collections.abc import Callable

    from result import Result

    from bluebellsill.operator_feed import FeedChange
    from bluebellsill.resources import Service
    from bluebellsill.routing_plan import RoutingPlan

__all__ = ('OperatorState',)


class _ExportedState(msgspec.Struct, array_like=True, frozen=True):
    """The state as nodes send it to each other.

    Nodes of earlier versions know only the first three fields.

    Attributes:
        revision: The revision of the store.
        document: The encoded routing document in force, empty without one.
        zones_out: All zones that are out of service.
        epoch: The epoch of the revision.
        document_version: The version of the routing document.
        zones_unconfirmed: The zones out of service that the present epoch
            does not confirm.
        zones_returned: The zones returned to service in the present epoch.
        orders: The orders of canary releases; None from a node that does not
            know them.
    """

    revision: int
    document: bytes
    zones_out: tuple[str, ...]
    epoch: int = 0
    document_version: int = 0
    zones_unconfirmed: tuple[str, ...] = ()
    zones_returned: tuple[str, ...] = ()
    orders: tuple[WrittenOrder, ...] | None = None


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_ExportedState)


@dataclass(frozen=True, slots=True)
class _State:
    """What is in force, but for the decoded routing document.

    Attributes:
        position: The newest state of the store that this reflects.
        document: The encoded routing document in force, empty without one.
        zones: The zones that are out of service.
        orders: The orders of canary releases; None in a received state that
            says nothing of them.
    """

    position: StorePosition = StorePosition(0, 0)
    document: bytes = b''
    zones: ZoneExclusions = NO_EXCLUSIONS
    orders: OrderSet | None = NO_ORDERS


class OperatorState:
    """The routing plan and the zones out of service.

    The zones follow the newest known state of the store. The routing document
    follows the version that operators give it: a store that was restored from
    a copy has an older document until operators have repeated their writes,
    and what was in force must not be undone meanwhile. A document that cannot
    be decoded or is older leaves the plan in force unchanged. Nodes replicate
    the document in its encoded form, and each node decodes it.
    """

    def __init__(
        self,
        decode: Callable[[bytes], Result[RoutingPlan, str]],
    ) -> None:
        """Create an empty state.

        Args:
            decode: Decodes a routing document.
        """
        self.plan: RoutingPlan | None = None
        self._decode = decode
        self._state = _State()
        # The highest version that a peer has in force and this node rejected,
        # so that it is not fetched over and over.
        self._rejected_version = 0
        self._listeners: list[Callable[[], None]] = []
        self._log = get_logger('operators')

    @property
    def position(self) -> StorePosition:
        """The state of the store in force; revision 0 before the first one."""
        return self._state.position

    @property
    def version(self) -> ReplicaVersion:
        """The position, and the version of the routing document in force."""
        in_force = self.plan.version if self.plan else 0
        return ReplicaVersion(self.position, in_force)

    @property
    def unconfirmed_zones(self) -> frozenset[str]:
        """The zones out of service that the restored store does not have."""
        return self._state.zones.unconfirmed

    @property
    def orders(self) -> OrderSet:
        """The orders of canary releases."""
        return self._state.orders or NO_ORDERS

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each change."""
        self._listeners.append(listener)

    def apply_snapshot(self, snapshot: FeedSnapshot, source: str) -> None:
        """Follow a snapshot of the store if its position is newer.

        Args:
            snapshot: The declarations of the operators.
            source: The origin of the snapshot, for the log.
        """
        zones = ZoneExclusions(out=snapshot.zones_out)
        orders = OrderSet.of(snapshot.orders, snapshot.position.epoch)
        received = _State(snapshot.position, snapshot.document, zones, orders)
        self._follow(received, source)

    def apply_update(self, update: FeedUpdate, source: str) -> None:
        """Apply the changes that are newer than the position in force.

        Args:
            update: All changes after a position that is in force or older,
                ordered by revision.
            source: The origin of the changes, for the log.
        """
        state = replace(self._state, document=b'')
        epoch = update.position.epoch
        for change in update.changes:
            changed_at = StorePosition(epoch, change.revision)
            if changed_at <= state.position:
                self._log.info(
                    'change ignored',
                    epoch=epoch,
                    revision=change.revision,
                    in_force=state.position.revision,
                    source=source,
                )
                continue
            state = _changed(state, change, changed_at)
        if state.position > self._state.position:
            self._replace(state, self._plan_of(state.document), source)

    def drop_unconfirmed_zones(self, epoch: int) -> None:
        """Stop to exclude zones that the restored store does not have.

        Args:
            epoch: Nothing is done if the store has been restored again since.
        """
        state = self._state
        if state.position.epoch == epoch and state.zones.unconfirmed:
            zones = state.zones.drop_unconfirmed()
            self._replace(replace(state, zones=zones), None, 'timeout')

    def lacks(self, version: ReplicaVersion) -> bool:
        """Return whether a peer at a version has anything to fetch."""
        known = max(self.version.document, self._rejected_version)
        return self.position < version.position or known < version.document

    def export(self, after: ReplicaVersion) -> tuple[bytes, list[bytes]]:
        """Return the state for a node that lacks some of it."""
        if not after.lacks(self.version):
            return b'', []
        state = self._state
        zones = state.zones
        exported = _ExportedState(
            state.position.revision,
            state.document,
            tuple(sorted(zones.all_out)),
            state.position.epoch,
            self.version.document,
            tuple(sorted(zones.unconfirmed)),
            tuple(sorted(zones.returned)),
            self.orders.written,
        )
        return _encoder.encode(exported), []

    def merge(self, snapshot: bytes, changes: list[bytes], peer: str) -> None:
        """Follow the exported state of a peer.

        Raises:
            ValueError: The snapshot cannot be decoded.
        """
        if not snapshot:
            return
        decoded = decode_msgpack(snapshot, _decoder)
        if isinstance(decoded, Err):
            raise ValueError(
                f'{peer} sent an invalid snapshot: {decoded.err_value}'
            )
        exported = decoded.ok_value
        unconfirmed = frozenset(exported.zones_unconfirmed)
        zones = ZoneExclusions(
            frozenset(exported.zones_out) - unconfirmed,
            unconfirmed,
            frozenset(exported.zones_returned),
        )
        position = StorePosition(exported.epoch, exported.revision)
        orders = None if exported.orders is None else OrderSet(exported.orders)
        received = _State(position, exported.document, zones, orders)
        self._follow(received, peer)
        if self.version.document < exported.document_version:
            self._rejected_version = exported.document_version

    def is_zone_out(self, name: str) -> bool:
        """Return whether an availability zone is out of service."""
        return name in self._state.zones.all_out

    def is_target_out(self, node_id: str) -> bool:
        """Return False, as only whole zones can be taken out of service."""
        return False

    def service(self, name: str) -> Service | None:
        """Return a service of the plan, or None if it is not declared."""
        return self.plan.services_by_name.get(name) if self.plan else None

    def _follow(self, received: _State, source: str) -> None:
        """Take over what is newer in a received state."""
        state = self._state
        is_newer = received.position > state.position
        is_same_epoch = received.position.epoch == state.position.epoch
        plan = self._plan_of(received.document)
        in_force = self.plan.version if self.plan else 0
        if is_newer:
            zones = state.zones.follow(
                received.zones, is_same_epoch=is_same_epoch
            )
            orders = self.orders.follow(received.orders, received.position)
            newer = replace(received, zones=zones, orders=orders)
            self._replace(newer, plan, source)
        elif plan is not None and plan.version > in_force:
            # Another node got this document before the store was restored.
            zones = state.zones
            if is_same_epoch:
                zones = zones.add_unconfirmed(received.zones.unconfirmed)
            newer = replace(state, document=received.document, zones=zones)
            self._replace(newer, plan, source)
        else:
            self._log.info(
                'snapshot ignored',
                epoch=received.position.epoch,
                revision=received.position.revision,
                in_force=state.position.revision,
                source=source,
            )

    def _replace(
        self, state: _State, plan: RoutingPlan | None, source: str
    ) -> None:
        """Put a state in force, with its document only if there is a plan."""
        previous = self._state
        if plan is None:
            state = replace(state, document=previous.document)
        else:
            self.plan = plan
        self._state = state
        self._log.info(
            'revision in force',
            epoch=state.position.epoch,
            revision=state.position.revision,
            before=previous.position.revision,
            version=self.plan.version if self.plan else None,
            zones_out=sorted(state.zones.all_out),
            zones_unconfirmed=sorted(state.zones.unconfirmed),
            document_bytes=len(state.document),
            orders=[one.service for one in self.orders.written],
            source=source,
        )
        for listener in self._listeners:
            listener()

    def _plan_of(self, document: bytes) -> RoutingPlan | None:
        """Return the plan of a document, None to leave the one in force."""
        if not document or document == self._state.document:
            return None
        decoded = self._decode(document)
        if isinstance(decoded, Err):
            self._log.error('document ignored', reason=decoded.err_value)
            return None
        plan = decoded.ok_value
        if self.plan is not None and plan.version < self.plan.version:
            self._log.warning(
                'document ignored',
                reason=f'version {plan.version} is older than the one in force',
                version=self.plan.version,
            )
            return None
        return plan


def _changed(
    state: _State, change: FeedChange, position: StorePosition
) -> _State:
    """Return a state after a change that led to a position of the store."""
    state = replace(state, position=position)
    if isinstance(change, DocumentWritten):
        return replace(state, document=change.document)
    if isinstance(change, OrderWritten):
        orders = state.orders or NO_ORDERS
        return replace(state, orders=orders.apply(change, position.epoch))
    if change.is_out:
        return replace(state, zones=state.zones.take_out(change.zone))
    return replace(state, zones=state.zones.bring_back(change.zone))
