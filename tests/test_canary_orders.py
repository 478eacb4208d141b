"""Orders and versions reach all nodes, also those of other builds."""

from __future__ import annotations

from typing import Any

import msgspec
from result import Err, Ok

from bluebellsill.balancing_policy import RoundRobin
from bluebellsill.gossip_messages import Member
from bluebellsill.membership import Members, MemberState
from bluebellsill.operator_feed import (
    FeedSnapshot,
    FeedUpdate,
    OrderWritten,
)
from bluebellsill.operator_state import OperatorState
from bluebellsill.platform.kv_store import Item, ItemEvent, ItemPage, ItemWatch
from bluebellsill.platform.operator_keys import ORDER_PREFIX, OperatorKeys
from bluebellsill.replica_version import NO_VERSION, StorePosition
from bluebellsill.retries import BudgetRules, RetryBudget
from bluebellsill.router_registry import RouterRegistry

_ORDER = OrderWritten(4, 'shop', b'{}')


def _state() -> OperatorState:
    return OperatorState(lambda _: Err('no document'))


def _snapshot(
    revision: int, *orders: OrderWritten, epoch: int = 1
) -> FeedSnapshot:
    position = StorePosition(epoch, revision)
    return FeedSnapshot(position, b'', frozenset(), orders)


def _services(state: OperatorState) -> list[tuple[str, int, int]]:
    return [
        (one.service, one.epoch, one.revision) for one in state.orders.written
    ]


def test_order_is_replicated_with_its_position() -> None:
    """All nodes must take the same write for the same order."""
    first, second = _state(), _state()
    first.apply_snapshot(_snapshot(5, _ORDER), 'store')
    second.merge(*first.export(NO_VERSION), 'peer')
    assert _services(second) == [('shop', 1, 4)]


def test_peer_that_does_not_know_orders_removes_none() -> None:
    """A node of an earlier build exports a later state without them."""
    state = _state()
    state.apply_snapshot(_snapshot(5, _ORDER), 'store')
    exported = msgspec.msgpack.encode((9, b'', (), 1, 0, (), ()))
    state.merge(exported, [], 'peer')
    assert state.position.revision == 9
    assert _services(state) == [('shop', 1, 4)]


def test_removed_order_is_no_longer_in_force() -> None:
    """A node that reads a snapshot may not see the removal itself."""
    state = _state()
    state.apply_snapshot(_snapshot(5, _ORDER), 'store')
    position = StorePosition(1, 6)
    update = FeedUpdate((OrderWritten(6, 'shop', b''),), position)
    state.apply_update(update, 'store')
    assert not _services(state)
    state.apply_snapshot(_snapshot(8, _ORDER), 'store')
    state.apply_snapshot(_snapshot(9), 'store')
    assert not _services(state)


def test_order_that_a_restored_store_lacks_stays_in_force() -> None:
    """Without it a version that was rolled back would get requests."""
    state = _state()
    state.apply_snapshot(_snapshot(5, _ORDER), 'store')
    state.apply_snapshot(_snapshot(3, epoch=2), 'store')
    assert _services(state) == [('shop', 1, 4)]
    repeated = OrderWritten(6, 'shop', b'{}')
    update = FeedUpdate((repeated,), StorePosition(2, 6))
    state.apply_update(update, 'store')
    assert _services(state) == [('shop', 2, 6)]


class _Store:
    epoch = 1

    def range(self, prefix: str, after: str, on_done: Any) -> None:
        item = Item(f'{ORDER_PREFIX}shop', b'{}', 4)
        on_done(Ok(ItemPage([item], 5)))

    def watch(self, prefix: str, after: int, wait: float, on_done: Any) -> None:
        key = f'{ORDER_PREFIX}shop'
        events = [ItemEvent(key, 6, b'[]'), ItemEvent(key, 7, deleted=True)]
        on_done(Ok(ItemWatch(events, 7)))


def test_orders_are_read_with_the_operators_keys() -> None:
    """An order must not cost a call of its own."""
    store: Any = _Store()
    answers: list[Any] = []
    keys = OperatorKeys(store)
    keys.read(answers.append)
    keys.watch(StorePosition(1, 5), 1, answers.append)
    assert answers[0].ok_value.orders == (_ORDER,)
    assert answers[1].ok_value.changes == (
        OrderWritten(6, 'shop', b'[]'),
        OrderWritten(7, 'shop', b''),
    )


def test_member_of_an_earlier_build_has_no_version() -> None:
    """A fleet is updated node by node."""
    earlier = msgspec.msgpack.encode(('1:1', 1, 0, 1, 'a', 's', 6, False))
    member = msgspec.msgpack.decode(earlier, type=Member)
    assert member.target_version == ''


def _member(index: int, version: str) -> Member:
    ready = int(MemberState.READY)
    return Member(
        f'10.0.{index}.1:1', 1, 0, ready, 'a', 's', 6, target_version=version
    )


class _NoExclusions:
    def subscribe(self, listener: Any) -> None:
        """Nothing changes."""

    def is_zone_out(self, name: str) -> bool:
        return False

    def is_target_out(self, node_id: str) -> bool:
        return False


class _Traffic:
    """Half of the calls go to the targets of version v2."""

    def __init__(self) -> None:
        self.calls = 0

    def split(self, members: Any) -> tuple[list[Member], list[Member]]:
        old = [one for one in members if one.target_version == 'v1']
        return old, [one for one in members if one.target_version == 'v2']

    def takes_canary(self, now: float, *, has_canary: bool) -> bool:
        self.calls += 1
        return has_canary and self.calls % 2 == 0

    def on_outcome(self, *_: Any, **__: Any) -> None:
        """Nothing is counted here."""


class _Rules:
    """The versions matter once there is traffic."""

    def __init__(self) -> None:
        self.traffic: _Traffic | None = None
        self.notify: Any = None

    def subscribe(self, listener: Any) -> None:
        self.notify = listener

    def of_service(self, service: str) -> _Traffic | None:
        return self.traffic


def _registry(rules: _Rules) -> RouterRegistry:
    members = Members(_member(0, ''))
    for index in range(1, 7):
        members.merge(_member(index, 'v2' if index > 4 else 'v1'), 0)
    return RouterRegistry(
        members,
        _NoExclusions(),
        RoundRobin,
        lambda: RetryBudget(BudgetRules(), 0),
        rules,
    )


def test_versions_are_not_looked_at_without_an_order() -> None:
    """A service may have targets of several versions for other reasons."""
    registry = _registry(_Rules())
    router = registry.of_service('s').router
    chosen = [router.choose((), 1) for _ in range(140)]
    assert len({view.id for view in chosen if view}) == 7


def test_call_goes_to_the_version_that_the_release_selects() -> None:
    """The exposure is counted by calls, so each must go where it is counted."""
    rules = _Rules()
    registry = _registry(rules)
    registry.of_service('s')
    rules.traffic = _Traffic()
    rules.notify('s')
    routing = registry.of_service('s')
    new = {'10.0.5.1:1', '10.0.6.1:1'}
    chosen = [routing.router.choose((), 1) for _ in range(100)]
    assert sum(view.id in new for view in chosen if view) == 50
    assert routing.traffic is rules.traffic


def test_retry_goes_to_the_version_in_force() -> None:
    """A request that failed at the new version must not fail twice for it."""
    rules = _Rules()
    rules.traffic = _Traffic()
    router = _registry(rules).of_service('s').router
    tried = ['10.0.5.1:1']
    for _ in range(4):
        view = router.choose(tried, 1)
        assert view is not None
        assert view.id not in {'10.0.5.1:1', '10.0.6.1:1'}
        tried.append(view.id)
    assert router.choose(tried, 1) is None
    assert not rules.traffic.calls
