"""Runs the canary releases of a node: its part in each ordered one."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from time import time
from typing import TYPE_CHECKING, Protocol

from result import Err

from bluebellsill.logs import get_logger
from bluebellsill.membership import MemberState
from bluebellsill.messages import CanaryShare
from bluebellsill.rendezvous import rank
from bluebellsill.replica_version import StorePosition
from bluebellsill.rollouts.acting import ActingRole
from bluebellsill.rollouts.decision import CanaryDecision, Fleet
from bluebellsill.rollouts.order import CanaryOrder, CanaryStage
from bluebellsill.rollouts.traffic import ServiceTraffic

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Callable

    from result import Result

    from bluebellsill.clock import Clock
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.messages import CanaryReport, Message
    from bluebellsill.order_set import OrderSet, WrittenOrder
    from bluebellsill.rollouts.acting import HeldLease, ReleaseStore
    from bluebellsill.rollouts.order import CanaryRecord

__all__ = ('CanaryReleases', 'MessageSender', 'OrderSource')

_REPORT_PERIOD = 1.0  # seconds
_PUSH_PERIOD = 1.0  # seconds between messages with an unchanged share
_SAVE_PERIOD = 3.0  # seconds between writes of the evidence
_CANDIDATES = 16  # nodes that may take the lease of a service
_FIRST_PATIENCE = 0.3  # seconds until the first candidate takes the lease
# Seconds without news after which the acting node is taken to be gone. Its
# lease ends 3 s after the last renewal.
_PATIENCE = 2.0
_PATIENCE_STEP = 1.0  # seconds between the turns of two candidates
_READ_AFTER = 1.5  # seconds without news after which a node reads the record
_READ_PERIOD = 3.0  # seconds
_LAST_PUSHES = 3  # of the outcome, before the acting node steps down
# Seconds after the order in which members may be found whose versions ran
# before it.
_BASE_TIME = 3.0
_MAX_PAST = 4  # earlier orders of a service that are remembered


class OrderSource(Protocol):
    """The operators' orders as a node has them."""

    @property
    def orders(self) -> OrderSet:
        """The orders of canary releases."""

    @property
    def position(self) -> StorePosition:
        """The state of the store that they are from."""

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after every change."""

    def is_zone_out(self, name: str) -> bool:
        """Return whether an availability zone is out of service."""


class MessageSender(Protocol):
    """Sends messages to other nodes."""

    def send(self, peer: str, message: Message) -> None:
        """Send a message that has no reply."""


@dataclass(slots=True)
class _Release:
    """One order, and this node's part in it.

    Attributes:
        traffic: What this node does as an entry node.
        role: The lease.
        decision: What this node decides while it holds the lease.
        seen_at: When this node learned of the order.
        base_versions: The versions that ran before, as far as an earlier
            order tells.
        acting_as: The lease for which the decision has been brought up.
        saved_stage: The stage that the store has; None if unknown.
        saved_at: When the record was written last.
        pushed: The message that was sent last.
        pushed_at: When it was sent.
        reported_at: When the outcomes were reported last.
        read_at: When the record was read last; None before.
        has_read: Whether such a read has been answered.
        ended_epoch: The epoch in which the store has the outcome; None if
            this is not known.
        last_pushes: How often the outcome is still to be sent.
    """

    traffic: ServiceTraffic
    role: ActingRole
    decision: CanaryDecision
    seen_at: float
    base_versions: frozenset[str] = frozenset()
    acting_as: HeldLease | None = None
    saved_stage: CanaryStage | None = None
    saved_at: float = 0
    pushed: CanaryShare | None = None
    pushed_at: float = 0
    reported_at: float = 0
    read_at: float | None = None
    has_read: bool = False
    ended_epoch: int | None = None
    last_pushes: int = field(default=_LAST_PUSHES)

    @property
    def order(self) -> CanaryOrder:
        """The order."""
        return self.traffic.order


class CanaryReleases:
    """Follows the orders, reports outcomes, and decides while it acts.

    Without an order it makes no call and sends no message.
    """

    def __init__(
        self,
        members: Members,
        sender: MessageSender,
        orders: OrderSource,
        store: ReleaseStore,
        decode: Callable[[WrittenOrder], Result[CanaryOrder, str]],
        clock: Clock,
        counts: Counter[str],
    ) -> None:
        """Subscribe to the orders; call ``tick`` twice a second.

        Args:
            members: The nodes, with the versions of their targets.
            sender: Sends messages to other nodes.
            orders: The orders.
            store: The keys of the releases.
            decode: Decodes an order.
            clock: The time source.
            counts: The counters of the node.
        """
        self._members = members
        self._sender = sender
        self._orders = orders
        self._store = store
        self._decode = decode
        self._clock = clock
        self._counts = counts
        self._by_service: dict[str, _Release] = {}
        self._past_by_service: dict[str, list[_Release]] = {}
        self._written_by_service: dict[str, WrittenOrder] = {}
        self._listeners: list[Callable[[str], None]] = []
        self._log = get_logger('rollouts')
        orders.subscribe(self._on_orders)

    def of_service(self, service: str) -> ServiceTraffic | None:
        """Return how the requests for a service are divided.

        None means that versions are not looked at.
        """
        release = self._by_service.get(service)
        return release.traffic if release else None

    def subscribe(self, listener: Callable[[str], None]) -> None:
        """Call ``listener`` with a service whose targets are to be chosen anew."""
        self._listeners.append(listener)

    @property
    def running(self) -> int:
        """The number of releases that have not ended, as far as known."""
        return sum(
            not one.traffic.stage.is_final for one in self._by_service.values()
        )

    @property
    def acting(self) -> int:
        """The number of releases on which this node decides."""
        return sum(
            one.role.lease is not None for one in self._by_service.values()
        )

    def tick(self) -> None:
        """Do what is due."""
        now = self._clock.now()
        for service, release in tuple(self._by_service.items()):
            if release.role.lease is not None:
                self._act(release, now)
            elif self._is_open(release):
                self._stand_by(release, now)
            self._report(release, now)
            if release.traffic.refresh(now):
                self._notify(service)

    def on_share(self, news: CanaryShare) -> None:
        """Handle a message of the acting node."""
        release = self._by_service.get(news.service)
        if release is None or not _is_about(release.order, news):
            self._counts['canary_shares_ignored'] += 1
            return
        if not release.traffic.on_share(news, self._clock.now()):
            self._counts['canary_shares_ignored'] += 1
            return
        lease = release.role.lease
        if lease is not None and release.traffic.token > lease.token:
            release.role.release('a later lease is in use')
            release.decision.is_completing = False
        if news.is_recorded:
            release.ended_epoch = news.epoch
        self._refresh(release)

    def on_report(self, report: CanaryReport) -> None:
        """Handle the report of an entry node."""
        release = self._by_service.get(report.service)
        is_wanted = (
            release is not None
            and release.role.lease is not None
            and release.order.target_version == report.target_version
        )
        if release is None or not is_wanted:
            self._counts['canary_reports_ignored'] += 1
            return
        self._counts['canary_reports'] += 1
        release.decision.on_report(report, self._clock.now())

    # Orders.

    def _on_orders(self) -> None:
        written_by_service = {
            one.service: one for one in self._orders.orders.written
        }
        for service in tuple(self._by_service):
            if service not in written_by_service:
                self._remove(service)
        for service, written in written_by_service.items():
            if self._written_by_service.get(service) != written:
                self._written_by_service[service] = written
                self._on_order(written)

    def _on_order(self, written: WrittenOrder) -> None:
        decoded = self._decode(written)
        if isinstance(decoded, Err):
            self._log.error(
                'canary order ignored',
                service=written.service,
                revision=written.revision,
                reason=decoded.err_value,
            )
            return
        order = decoded.ok_value
        known = self._by_service.get(order.service)
        if known is not None and known.order.is_same(order):
            known.traffic.order = order
            known.decision.order = order
            return
        self._log.info(
            'canary ordered',
            service=order.service,
            target_version=order.target_version,
            duration_s=order.duration,
            epoch=order.position.epoch,
            revision=order.position.revision,
            replaces=known.order.target_version if known else None,
        )
        if known is not None:
            known.role.release('another order')
        self._by_service[order.service] = self._make(order, known)
        self._notify(order.service)

    def _make(self, order: CanaryOrder, known: _Release | None) -> _Release:
        """Return the state of an order, which may be one written again."""
        past = self._past_by_service.setdefault(order.service, [])
        if known is not None:
            past.append(known)
        del past[:-_MAX_PAST]
        for release in past:
            if release.order.is_same(order):
                past.remove(release)
                release.traffic.order = order
                release.decision.order = order
                return release
        now = self._clock.now()
        base = frozenset[str]()
        if known is not None:
            base = _base_after(known.order, known.traffic.stage, known.traffic)
        traffic = ServiceTraffic(order, base - {order.target_version})
        if known is not None:
            traffic.token = known.traffic.token
        role = ActingRole(self._store, order.service, self._members.own.id)
        return _Release(traffic, role, CanaryDecision(order, now), now, base)

    def _remove(self, service: str) -> None:
        release = self._by_service.pop(service)
        self._written_by_service.pop(service, None)
        self._past_by_service.pop(service, None)
        release.role.release('order removed')
        self._log.info('canary order removed', service=service)
        self._notify(service)

    # Nodes that do not act.

    def _is_open(self, release: _Release) -> bool:
        """Whether the store is not known to have the outcome."""
        return release.ended_epoch != self._orders.position.epoch

    def _stand_by(self, release: _Release, now: float) -> None:
        """Read the record without news, and take the lease in turn."""
        heard_at = release.traffic.heard_at
        silent_since = release.seen_at if heard_at is None else heard_at
        first = _FIRST_PATIENCE if heard_at is None else _PATIENCE
        silence = now - silent_since
        if silence < first:
            return
        turn = self._turn(release.order.service)
        is_due = turn is not None and silence >= first + _PATIENCE_STEP * turn
        if is_due or silence >= _READ_AFTER:
            self._read(release, now)
        if is_due and release.has_read:
            release.role.acquire(now)

    def _turn(self, service: str) -> int | None:
        """Return this node's place among those that may take the lease."""
        own_id = self._members.own.id
        ids = [
            one.id
            for one in self._members.live()
            if one.target_version and not one.is_store_lost
        ]
        order = rank(service, ids, _CANDIDATES)
        return order.index(own_id) if own_id in order else None

    def _read(self, release: _Release, now: float) -> None:
        read_at = release.read_at
        if read_at is not None and now - read_at < _READ_PERIOD:
            return
        release.read_at = now

        def on_read(done: Result[CanaryRecord | None, str]) -> None:
            if isinstance(done, Err):
                self._log.info(
                    'canary record not read',
                    service=release.order.service,
                    reason=done.err_value,
                )
                return
            release.has_read = True
            record = done.ok_value
            if record is None:
                return
            if record.order.is_same(release.order):
                release.traffic.on_record(record)
                if record.stage.is_final:
                    release.ended_epoch = self._store.epoch
            self._refresh(release)

        self._store.read_stale(release.order.service, on_read)

    def _report(self, release: _Release, now: float) -> None:
        traffic = release.traffic
        if traffic.stage.is_final or not traffic.acting_id:
            return
        if now - release.reported_at < _REPORT_PERIOD:
            return
        release.reported_at = now
        report = traffic.take_report()
        if report is None:
            return
        if traffic.acting_id == self._members.own.id:
            self.on_report(report)
        else:
            self._counts['canary_reports_sent'] += 1
            self._sender.send(traffic.acting_id, report)

    # The acting node.

    def _act(self, release: _Release, now: float) -> None:
        role, decision = release.role, release.decision
        role.tick(now)
        if role.lease is None:
            decision.is_completing = False
            return
        if release.acting_as is not role.lease:
            self._begin_acting(release, now)
        ready = self._ready(release.order.service)
        self._find_base(release, ready, now)
        was = decision.stage
        fleet = _fleet(ready, release.order.target_version)
        is_confirmed = role.is_confirmed(now)
        decision.decide(now, fleet, may_advance=is_confirmed)
        if decision.stage is not was:
            self._counts[f'canary_{decision.stage.value}'] += 1
        if is_confirmed and decision.is_ready_to_complete(now):
            # What is saved has to be the completion from here on.
            decision.is_completing = True
        self._save(release, now)
        if role.lease is not None:
            self._push(release, now)

    def _begin_acting(self, release: _Release, now: float) -> None:
        role, decision, traffic = (
            release.role,
            release.decision,
            release.traffic,
        )
        release.acting_as = role.lease
        release.saved_stage = None
        release.pushed = None
        release.last_pushes = _LAST_PUSHES
        record = role.record
        if record is not None and record.order.is_same(release.order):
            decision.resume(record, now, time())
        elif record is not None:
            release.base_versions = _base_after(
                record.order, record.stage, record
            )
        if not decision.base_versions:
            base = release.base_versions - {release.order.target_version}
            decision.base_versions = base
        if traffic.stage is CanaryStage.ROLLED_BACK:
            decision.roll_back('rolled back by an earlier acting node', now)

    def _find_base(
        self, release: _Release, ready: list[Member], now: float
    ) -> None:
        """Find the versions that run beside the new one without an order."""
        if release.base_versions or release.decision.stage.is_final:
            return
        is_early = now - release.seen_at < _BASE_TIME
        if is_early or not release.decision.base_versions:
            found = {one.target_version for one in ready}
            found -= {'', release.order.target_version}
            release.decision.base_versions |= found

    def _save(self, release: _Release, now: float) -> None:
        decision = release.decision
        stage = decision.stage
        if decision.is_completing:
            stage = CanaryStage.COMPLETED
        if release.saved_stage is stage and (
            stage.is_final or now - release.saved_at < _SAVE_PERIOD
        ):
            return

        def on_saved(stored: CanaryRecord | None) -> None:
            if stored is None or not stored.order.is_same(release.order):
                return
            release.saved_stage = stored.stage
            is_new = decision.stage is not CanaryStage.COMPLETED
            if stored.stage is CanaryStage.COMPLETED and is_new:
                decision.on_completed(now)
                self._counts['canary_completed'] += 1

        release.saved_at = now
        record = replace(decision.record(now, time()), stage=stage)
        release.role.save(record, now, on_saved)

    def _push(self, release: _Release, now: float) -> None:
        news = _news(release, self._members.own.id)
        if news == release.pushed and now - release.pushed_at < _PUSH_PERIOD:
            return
        release.pushed = news
        release.pushed_at = now
        for member in self._members.live():
            # Nodes that do not state a version may be of an earlier build,
            # which closes the connection on a message that it does not know.
            if member.target_version and member.id != news.sender_id:
                self._counts['canary_shares_sent'] += 1
                self._sender.send(member.id, news)
        self.on_share(news)
        if news.is_recorded:
            release.last_pushes -= 1
            if not release.last_pushes:
                release.role.release('release has ended')

    def _ready(self, service: str) -> list[Member]:
        return [
            one
            for one in self._members.of_service(service)
            if one.state == MemberState.READY
            and not self._orders.is_zone_out(one.zone)
        ]

    def _refresh(self, release: _Release) -> None:
        """Have the targets chosen anew after news."""
        release.traffic.refresh(self._clock.now())
        self._notify(release.order.service)

    def _notify(self, service: str) -> None:
        for listener in self._listeners:
            listener(service)


def _news(release: _Release, sender_id: str) -> CanaryShare:
    lease, decision = release.role.lease, release.decision
    token = lease.token if lease else StorePosition(0, 0)
    order = release.order
    stage = decision.stage
    return CanaryShare(
        order.service,
        order.target_version,
        order.position.epoch,
        order.position.revision,
        token.epoch,
        token.revision,
        sender_id,
        stage.value,
        decision.share,
        decision.width,
        sorted(decision.base_versions),
        stage.is_final and release.saved_stage is stage,
    )


def _is_about(order: CanaryOrder, news: CanaryShare) -> bool:
    """Return whether a message is about an order.

    The sender may not know yet that the order was written again.
    """
    position = StorePosition(news.order_epoch, news.order_revision)
    version, duration = news.target_version, order.duration
    return order.is_same(CanaryOrder(news.service, version, duration, position))


def _base_after(
    order: CanaryOrder,
    stage: CanaryStage,
    known: ServiceTraffic | CanaryRecord,
) -> frozenset[str]:
    """Return the versions that an earlier order has left in force."""
    if stage is CanaryStage.COMPLETED:
        return frozenset((order.target_version,))
    return known.base_versions - {order.target_version}


def _fleet(ready: list[Member], version: str) -> Fleet:
    new = [one for one in ready if one.target_version == version]
    old = [one for one in ready if one.target_version != version]
    return Fleet(
        len(old),
        len(new),
        sum(one.slots for one in old),
        sum(one.slots for one in new),
    )
