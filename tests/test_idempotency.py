"""A request with a key runs at most once under crashes and partitions."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bluebellsill.holder_history import (
    KEY_AGE_MARGIN,
    RETENTION,
    Certainty,
    HolderHistory,
    key_time,
)
from bluebellsill.idempotency import (
    MAX_KEPT_BODY,
    ClaimState,
    KeyRecords,
    Outcome,
)
from tests.keyed_world import DETECTION_DELAY, KeyedCluster

_STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                'call',
                'call',
                'call',
                'again',
                'again',
                'again',
                'crash',
                'restart',
                'part',
                'heal',
            ],
        ),
        st.integers(0, 4),
        st.floats(0, 6),
        st.booleans(),
        st.booleans(),
    ),
    max_size=40,
)


def _run_steps(
    cluster: KeyedCluster, steps: list[tuple[str, int, float, bool, bool]]
) -> None:
    ids = sorted(cluster.nodes_by_id)
    keys: list[str] = []
    for action, number, wait, has_timestamp, loses_settle in steps:
        node_id = ids[number % len(ids)]
        cluster.advance(wait)
        if action == 'call':
            keys.append(cluster.new_key(has_timestamp=has_timestamp))
            cluster.call(node_id, keys[-1], loses_settle=loses_settle)
        elif action == 'again' and keys:
            key = keys[number % len(keys)]
            cluster.call(node_id, key, loses_settle=loses_settle)
        elif action == 'crash':
            cluster.crash(node_id)
        elif action == 'restart':
            cluster.restart(node_id)
        elif action == 'part':
            cluster.partition(ids[: number % len(ids)])
        elif action == 'heal':
            cluster.heal()


@settings(max_examples=1500)
@given(st.integers(3, 5), st.integers(0, 2**32), _STEPS)
def test_key_runs_at_most_once(size, seed, steps) -> None:  # noqa: ANN001
    cluster = KeyedCluster(size, seed)
    _run_steps(cluster, steps)
    assert not [key for key, runs in cluster.runs_by_key.items() if runs > 1]


@pytest.mark.parametrize('seed', range(20))
def test_random_steps_run_each_key_at_most_once(seed: int) -> None:
    cluster = KeyedCluster(3 + seed % 3, seed)
    actions = ['call'] * 6 + ['again'] * 8
    actions += ['crash', 'restart', 'restart', 'part', 'heal']
    steps = [
        (
            cluster.random.choice(actions),
            cluster.random.randrange(100),
            cluster.random.expovariate(2),
            cluster.random.random() < 0.8,
            cluster.random.random() < 0.2,
        )
        for _ in range(600)
    ]
    _run_steps(cluster, steps)
    assert max(cluster.runs_by_key.values()) == 1
    assert len(cluster.runs_by_key) > 5


def test_new_keys_run_soon_after_a_crash() -> None:
    cluster = KeyedCluster(3, 1)
    cluster.crash('10.0.0.1:1')
    cluster.advance(DETECTION_DELAY[1] + KEY_AGE_MARGIN)
    for _ in range(10):
        key = cluster.new_key(has_timestamp=True)
        cluster.call('10.0.0.0:1', key, loses_settle=False)
    assert sum(cluster.runs_by_key.values()) == 10


def test_minority_side_of_a_partition_runs_nothing() -> None:
    cluster = KeyedCluster(5, 1)
    cluster.partition(['10.0.0.0:1', '10.0.0.1:1'])
    cluster.advance(DETECTION_DELAY[1] + KEY_AGE_MARGIN)
    for entry in ('10.0.0.0:1', '10.0.0.4:1'):
        for _ in range(10):
            key = cluster.new_key(has_timestamp=True)
            cluster.call(entry, key, loses_settle=False)
    assert sum(cluster.runs_by_key.values()) == 10


def _claim(  # noqa: ANN202
    records: KeyRecords, owner: str, fingerprint: int = 1, now: float = 0
):
    return records.claim(
        'k',
        owner,
        fingerprint,
        lifetime=5,
        now=now,
        certainty=Certainty.CERTAIN,
    )


def test_recorded_answer_is_replayed() -> None:
    records = KeyRecords()
    assert _claim(records, 'a').state is ClaimState.GRANTED
    assert _claim(records, 'b').state is ClaimState.IN_PROGRESS
    records.settle('k', 'a', Outcome.ANSWERED, (201, [], b'paid'))
    grant = _claim(records, 'c')
    assert (grant.state, grant.status) == (ClaimState.COMPLETED, 201)
    assert grant.body == b'paid'


def test_key_reused_for_another_request_is_refused() -> None:
    records = KeyRecords()
    _claim(records, 'a', fingerprint=1)
    assert _claim(records, 'b', fingerprint=2).state is ClaimState.REUSED


def test_outcome_of_an_unsettled_claim_is_unknown() -> None:
    records = KeyRecords()
    _claim(records, 'a')
    assert _claim(records, 'b', now=6).state is ClaimState.UNKNOWN
    assert _claim(records, 'b', now=RETENTION).state is ClaimState.UNKNOWN


def test_only_the_owner_releases_a_claim() -> None:
    records = KeyRecords()
    _claim(records, 'a')
    records.settle('k', 'b', Outcome.NOT_RUN)
    assert _claim(records, 'c').state is ClaimState.IN_PROGRESS
    records.settle('k', 'a', Outcome.NOT_RUN)
    assert _claim(records, 'c').state is ClaimState.GRANTED


def test_long_answer_is_known_but_its_body_is_not_kept() -> None:
    records = KeyRecords()
    _claim(records, 'a')
    body = bytes(MAX_KEPT_BODY + 1)
    records.settle('k', 'a', Outcome.ANSWERED, (200, [], body))
    assert _claim(records, 'b').state is ClaimState.COMPLETED_WITHOUT_BODY


def test_key_time_is_read_from_a_version_7_uuid() -> None:
    made_at = key_time('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')  # RFC 9562, A.6
    assert made_at == 1645557742.0
    assert key_time('order-17') is None


def test_history_without_members_holds_nothing() -> None:
    assert HolderHistory(0).holders('k') == []
