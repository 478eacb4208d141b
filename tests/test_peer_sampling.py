"""Tests that gossip stays in large zones and leaves small ones."""

from __future__ import annotations

from random import Random

import pytest

from bluebellsill.gossip_messages import Member
from bluebellsill.membership import Members, MemberState
from bluebellsill.peer_sampling import PeerSampler

_DRAWS = 1000


def _members(nodes_per_zone: int) -> Members:
    ready = int(MemberState.READY)
    records = [
        Member(f'10.{zone}.0.{index}:1', 1, 0, ready, f'zone-{zone}', 's')
        for zone in range(3)
        for index in range(nodes_per_zone)
    ]
    members = Members(records[0])
    for record in records[1:]:
        members.merge(record, 0)
    return members


@pytest.mark.parametrize(
    ('nodes_per_zone', 'lowest', 'highest'),
    # Of a small zone a quarter, its share of the peers; of a large one three
    # quarters and a third of the rest.
    [(3, 0.2, 0.3), (30, 0.78, 0.88)],
)
def test_share_of_draws_in_the_own_zone(
    nodes_per_zone: int, lowest: float, highest: float
) -> None:
    sampler = PeerSampler(_members(nodes_per_zone), Random(1))
    drawn = [one for _ in range(_DRAWS) for one in sampler.sample_near(3)]
    assert len(drawn) == 3 * _DRAWS
    near = sum(one.startswith('10.0.') for one in drawn) / len(drawn)
    assert lowest <= near <= highest


def test_one_draw_names_no_member_twice() -> None:
    sampler = PeerSampler(_members(10), Random(1))
    for _ in range(_DRAWS):
        drawn = sampler.sample_near(8)
        assert len(set(drawn)) == 8
        assert '10.0.0.0:1' not in drawn
