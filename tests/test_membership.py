"""Tests that membership tables converge in any order of records."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from bluebellsill.gossip_messages import Member
from bluebellsill.membership import Members, MemberState

_RECORDS = st.builds(
    Member,
    st.sampled_from(['10.0.0.2:1', '10.0.0.3:1']),
    st.integers(1, 3),
    st.integers(0, 3),
    # GONE is left out: a GONE record of an unknown member is not merged, so
    # there the order matters.
    st.sampled_from([int(state) for state in MemberState if state < 4]),
    st.just('piraeus'),
    st.just('bookings'),
)


def _members() -> Members:
    own = Member('10.0.0.1:1', 5, 0, int(MemberState.READY), 'piraeus', 'x')
    return Members(own)


@given(st.lists(_RECORDS, max_size=12), st.randoms(use_true_random=False))
def test_order_does_not_matter(records: list[Member], random) -> None:  # noqa: ANN001
    one, other = _members(), _members()
    shuffled = records.copy()
    random.shuffle(shuffled)
    for record in records:
        one.merge(record, 0)
    for record in shuffled + records:
        other.merge(record, 0)
    assert one.by_id == other.by_id
    assert one.hashes() == other.hashes()


def test_suspected_member_refutes_suspicion() -> None:
    members = _members()
    suspicion = Member(
        members.own.id,
        5,
        0,
        int(MemberState.SUSPECT),
        'piraeus',
        'x',
    )
    assert members.merge(suspicion, 0)
    assert members.own.state == MemberState.READY
    assert (members.own.incarnation, members.own.version) == (5, 1)


def test_member_declared_gone_rejoins_with_new_incarnation() -> None:
    members = _members()
    gone = Member(members.own.id, 5, 3, int(MemberState.GONE), 'piraeus', 'x')
    members.merge(gone, 0)
    assert members.own.incarnation == 6


def test_gone_members_are_purged() -> None:
    members = _members()
    record = Member('10.0.0.2:1', 1, 0, int(MemberState.READY), 'a', 'x')
    gone = Member('10.0.0.2:1', 1, 0, int(MemberState.GONE), 'a', 'x')
    members.merge(record, 0)
    members.merge(gone, 10)
    assert not members.of_service('x') or members.own.service == 'x'
    members.purge_gone(10000)
    assert '10.0.0.2:1' not in members.by_id
