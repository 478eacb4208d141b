"""Members find one another, and find out who has failed."""

from __future__ import annotations

from random import Random

import pytest

from bluebellsill.gossip_messages import Ack, Member, Ping, SyncRequest
from bluebellsill.membership import Members, MemberState
from bluebellsill.swim import Swim
from tests.cluster import Cluster

_FIRST = '10.0.0.1:7000'
_LAST = '10.0.0.8:7000'


@pytest.fixture
def cluster() -> Cluster:
    cluster = Cluster(8, seed=7, loss=0.05)
    cluster.run(20)
    return cluster


def test_strangers_meet_through_seeds(cluster: Cluster) -> None:
    # A lost ping may raise a suspicion at any moment; it must not last.
    assert cluster.run_until(cluster.are_equal, 5)
    for swim in cluster.swims_by_id.values():
        assert len(swim.members.live()) == 8


def test_dead_member_is_gone_in_seconds(cluster: Cluster) -> None:
    cluster.dead.add(_LAST)
    cluster.run(10)
    assert cluster.states(_LAST) == {(MemberState.GONE, 1)}


def test_frozen_member_comes_back_as_a_new_one(cluster: Cluster) -> None:
    cluster.frozen.add(_LAST)
    cluster.run(12)
    assert cluster.states(_LAST) == {(MemberState.GONE, 1)}
    cluster.frozen.clear()
    back = {(int(MemberState.READY), 2)}
    assert cluster.run_until(lambda: cluster.states(_LAST) == back, 12)


def test_short_freeze_is_refuted(cluster: Cluster) -> None:
    cluster.frozen.add(_LAST)
    cluster.run(1.5)
    cluster.frozen.clear()
    cluster.run(8)
    assert cluster.states(_LAST) == {(MemberState.READY, 1)}


def test_cut_between_two_is_no_failure(cluster: Cluster) -> None:
    cluster.part([_FIRST], [_LAST])
    cluster.run(20)
    assert cluster.states(_LAST) == {(MemberState.READY, 1)}


def test_parted_groups_meet_again(cluster: Cluster) -> None:
    ids = sorted(cluster.swims_by_id)
    cluster.part(ids[:3], ids[3:])
    cluster.run(30)
    live = cluster.swims_by_id[ids[0]].members.live
    assert cluster.run_until(lambda: len(live()) == 3, 30)
    cluster.cut.clear()
    assert cluster.run_until(lambda: len(live()) == 8, 60)
    assert cluster.run_until(cluster.are_equal, 10)


def test_restarted_member_replaces_its_former_self(cluster: Cluster) -> None:
    cluster.dead.add(_LAST)
    cluster.run(1)
    cluster.start(_LAST, incarnation=9)
    cluster.run(12)
    assert cluster.states(_LAST) == {(MemberState.READY, 9)}


def test_messages_a_member_do_not_grow_with_the_group() -> None:
    rates = []
    for size in (8, 32):
        cluster = Cluster(size, seed=3)
        cluster.run(20)
        before = cluster.sent
        cluster.run(20)
        rates.append((cluster.sent - before) / size / 20)
    # Two pings, two acks and a fifth of a sync and its answer a second.
    assert max(rates) < 5


def test_lone_member_that_is_found_asks_for_all_the_others() -> None:
    ready = int(MemberState.READY)
    members = Members(Member('10.0.0.1:1', 1, 0, ready, 'a', 's'))
    swim = Swim(members, Random(1), lambda: 0)
    finder = Member('10.0.0.2:1', 1, 0, ready, 'a', 's')
    sends = swim.handle(Ping(7, finder, 0, []), 0)
    assert [type(send.message) for send in sends] == [Ack, SyncRequest]
    assert len(swim.handle(Ping(8, finder, 0, []), 0)) == 1
