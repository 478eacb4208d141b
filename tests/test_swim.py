"""Tests that members discover each other and detect failed members."""

from __future__ import annotations

from random import Random

import pytest
from msgspec.structs import replace

from bluebellsill.gossip_messages import (
    Ack,
    Member,
    Ping,
    Sync,
    SyncRequest,
)
from bluebellsill.membership import Members, MemberState
from bluebellsill.replica_version import NO_VERSION
from bluebellsill.swim import Swim
from tests.cluster import Cluster

_FIRST = '10.0.0.1:7000'
_LAST = '10.0.0.8:7000'


@pytest.fixture
def cluster() -> Cluster:
    cluster = Cluster(8, seed=7, loss=0.05)
    cluster.run(20)
    return cluster


def test_members_discover_each_other_through_seeds(cluster: Cluster) -> None:
    # A lost ping may cause a suspicion at any time, but it must be refuted.
    assert cluster.run_until(cluster.views_agree, 5)
    for swim in cluster.swims_by_id.values():
        assert len(swim.members.live()) == 8


def test_dead_member_is_gone_within_seconds(cluster: Cluster) -> None:
    cluster.dead.add(_LAST)
    cluster.run(10)
    assert cluster.states(_LAST) == {(MemberState.GONE, 1)}


def test_frozen_member_rejoins_with_new_incarnation(cluster: Cluster) -> None:
    cluster.frozen.add(_LAST)
    cluster.run(12)
    assert cluster.states(_LAST) == {(MemberState.GONE, 1)}
    cluster.frozen.clear()
    rejoined = {(int(MemberState.READY), 2)}
    assert cluster.run_until(lambda: cluster.states(_LAST) == rejoined, 12)


def test_suspicion_after_short_freeze_is_refuted(cluster: Cluster) -> None:
    cluster.frozen.add(_LAST)
    cluster.run(1.5)
    cluster.frozen.clear()
    cluster.run(8)
    assert cluster.states(_LAST) == {(MemberState.READY, 1)}


def test_cut_link_between_two_members_is_no_failure(cluster: Cluster) -> None:
    cluster.partition([_FIRST], [_LAST])
    cluster.run(20)
    assert cluster.states(_LAST) == {(MemberState.READY, 1)}


def test_partitioned_groups_merge_again(cluster: Cluster) -> None:
    ids = sorted(cluster.swims_by_id)
    cluster.partition(ids[:3], ids[3:])
    cluster.run(30)
    live = cluster.swims_by_id[ids[0]].members.live
    assert cluster.run_until(lambda: len(live()) == 3, 30)
    cluster.cut_links.clear()
    assert cluster.run_until(lambda: len(live()) == 8, 60)
    assert cluster.run_until(cluster.views_agree, 10)


def test_restarted_member_replaces_old_incarnation(cluster: Cluster) -> None:
    cluster.dead.add(_LAST)
    cluster.run(1)
    cluster.start(_LAST, incarnation=9)
    cluster.run(12)
    assert cluster.states(_LAST) == {(MemberState.READY, 9)}


def test_message_rate_of_member_is_independent_of_group_size() -> None:
    rates = []
    for size in (8, 32):
        cluster = Cluster(size, seed=3)
        cluster.run(20)
        before = cluster.sent
        cluster.run(20)
        rates.append((cluster.sent - before) / size / 20)
    # Each second a member sends two pings, two acks and, as it syncs every
    # five seconds, 0.2 sync requests and 0.2 answers.
    assert max(rates) < 5


def test_lone_member_requests_sync_on_first_contact() -> None:
    ready = int(MemberState.READY)
    members = Members(Member('10.0.0.1:1', 1, 0, ready, 'a', 's'))
    swim = Swim(members, Random(1), lambda: NO_VERSION)
    peer = Member('10.0.0.2:1', 1, 0, ready, 'a', 's')
    datagrams = swim.handle(Ping(7, peer, 0, []), 0)
    assert [type(one.message) for one in datagrams] == [Ack, SyncRequest]
    assert len(swim.handle(Ping(8, peer, 0, []), 0)) == 1


def test_bytes_between_zones_stay_low_when_all_members_change() -> None:
    """A fleet that starts changes every record, and each goes to all members.

    What each member sends then may grow with the number of records, but not
    also with the times that each of them is repeated, and most of it stays in
    the zone. 60 records of 60 bytes are 3,600 bytes.
    """
    cluster = Cluster(60, seed=3, loss=0.02)
    assert cluster.run_until(cluster.views_agree, 20)
    cluster.run(8)
    sent, crossed = cluster.sent_bytes, cluster.crossed_bytes
    for member_id, swim in cluster.swims_by_id.items():
        swim.members.update_own(slots=2)
        cluster.post(member_id, swim.push())
    changed = {2}
    assert cluster.run_until(lambda: _slots(cluster) == changed, 10)
    cluster.run(4)
    members = len(cluster.swims_by_id)
    records = members * 60
    assert (cluster.sent_bytes - sent) / members < 10 * records
    assert (cluster.crossed_bytes - crossed) / members < 4 * records


def _slots(cluster: Cluster) -> set[int]:
    return {
        record.slots
        for swim in cluster.swims_by_id.values()
        for record in swim.members.by_id.values()
    }


def test_member_that_joins_learns_the_members_of_its_service_first() -> None:
    """Of thousands, one sync brings 120; a crash is known to a few of them."""
    own = Member('10.9.0.1:1', 1, 0, int(MemberState.READY), 'a', 'large')
    members = Members(own)
    swim = Swim(members, Random(1), lambda: NO_VERSION)
    peers = {f'10.0.{index}.1:1' for index in range(5)}
    for index in range(3000):
        service = 'small' if f'10.0.{index}.1:1' in peers else 'large'
        member_id = f'10.0.{index}.1:1'
        members.merge(
            Member(member_id, 1, 0, int(MemberState.READY), 'a', service), 0
        )
    joining = Member('10.8.0.1:1', 1, 0, int(MemberState.JOINING), 'a', 'small')
    request = SyncRequest(joining, 0, [0 for _ in range(64)])
    answers = [datagram.message for datagram in swim.handle(request, 0)]
    records = [
        one
        for answer in answers
        if isinstance(answer, Sync)
        for one in answer.members
    ]
    assert peers <= {one.id for one in records}
    assert len({one.id for one in records}) == len(records) == 120
    # A large service must not keep the others from being learned.
    large = replace(joining, service='large')
    answers = [
        datagram.message
        for datagram in swim.handle(replace(request, sender=large), 0)
    ]
    assert len(answers) == 10
