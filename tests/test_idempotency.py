"""A request with a key runs at most once, whatever fails."""

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
from tests.keyed_world import DETECTION, World

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


def _play(
    world: World, steps: list[tuple[str, int, float, bool, bool]]
) -> None:
    ids = sorted(world.nodes_by_id)
    keys: list[str] = []
    for action, number, wait, tells_time, loses_settle in steps:
        node_id = ids[number % len(ids)]
        world.step(wait)
        if action == 'call':
            keys.append(world.new_key(tells_time=tells_time))
            world.call(node_id, keys[-1], loses_settle=loses_settle)
        elif action == 'again' and keys:
            key = keys[number % len(keys)]
            world.call(node_id, key, loses_settle=loses_settle)
        elif action == 'crash':
            world.crash(node_id)
        elif action == 'restart':
            world.restart(node_id)
        elif action == 'part':
            world.part(ids[: number % len(ids)])
        elif action == 'heal':
            world.heal()


@settings(max_examples=1500)
@given(st.integers(3, 5), st.integers(0, 2**32), _STEPS)
def test_key_runs_at_most_once(size, seed, steps) -> None:  # noqa: ANN001
    world = World(size, seed)
    _play(world, steps)
    assert not [key for key, runs in world.runs_by_key.items() if runs > 1]


@pytest.mark.parametrize('seed', range(20))
def test_random_world_runs_each_key_at_most_once(seed: int) -> None:
    world = World(3 + seed % 3, seed)
    actions = ['call'] * 6 + ['again'] * 8
    actions += ['crash', 'restart', 'restart', 'part', 'heal']
    steps = [
        (
            world.random.choice(actions),
            world.random.randrange(100),
            world.random.expovariate(2),
            world.random.random() < 0.8,
            world.random.random() < 0.2,
        )
        for _ in range(600)
    ]
    _play(world, steps)
    assert max(world.runs_by_key.values()) == 1
    assert len(world.runs_by_key) > 5


def test_fresh_keys_run_soon_after_a_crash() -> None:
    world = World(3, 1)
    world.crash('10.0.0.1:1')
    world.step(DETECTION[1] + KEY_AGE_MARGIN)
    for _ in range(10):
        key = world.new_key(tells_time=True)
        world.call('10.0.0.0:1', key, loses_settle=False)
    assert sum(world.runs_by_key.values()) == 10


def test_minority_side_of_a_cut_runs_nothing() -> None:
    world = World(5, 1)
    world.part(['10.0.0.0:1', '10.0.0.1:1'])
    world.step(DETECTION[1] + KEY_AGE_MARGIN)
    for entry in ('10.0.0.0:1', '10.0.0.4:1'):
        for _ in range(10):
            key = world.new_key(tells_time=True)
            world.call(entry, key, loses_settle=False)
    assert sum(world.runs_by_key.values()) == 10


def _claim(
    holder: KeyRecords, owner: str, fingerprint: int = 1, now: float = 0
):  # noqa: ANN202
    return holder.claim(
        'k',
        owner,
        fingerprint,
        lifetime=5,
        now=now,
        certainty=Certainty.CERTAIN,
    )


def test_answer_is_replayed() -> None:
    holder = KeyRecords()
    assert _claim(holder, 'a').state is ClaimState.GRANTED
    assert _claim(holder, 'b').state is ClaimState.IN_PROGRESS
    holder.settle('k', 'a', Outcome.ANSWERED, (201, [], b'paid'))
    grant = _claim(holder, 'c')
    assert (grant.state, grant.status) == (ClaimState.COMPLETED, 201)
    assert grant.body == b'paid'


def test_key_of_another_request_is_refused() -> None:
    holder = KeyRecords()
    _claim(holder, 'a', fingerprint=1)
    assert _claim(holder, 'b', fingerprint=2).state is ClaimState.REUSED


def test_claim_that_nobody_settles_is_unknown() -> None:
    holder = KeyRecords()
    _claim(holder, 'a')
    assert _claim(holder, 'b', now=6).state is ClaimState.UNKNOWN
    assert _claim(holder, 'b', now=RETENTION).state is ClaimState.UNKNOWN


def test_only_the_owner_frees_a_claim() -> None:
    holder = KeyRecords()
    _claim(holder, 'a')
    holder.settle('k', 'b', Outcome.NOT_RUN)
    assert _claim(holder, 'c').state is ClaimState.IN_PROGRESS
    holder.settle('k', 'a', Outcome.NOT_RUN)
    assert _claim(holder, 'c').state is ClaimState.GRANTED


def test_long_answer_is_not_kept_but_known() -> None:
    holder = KeyRecords()
    _claim(holder, 'a')
    body = bytes(MAX_KEPT_BODY + 1)
    holder.settle('k', 'a', Outcome.ANSWERED, (200, [], body))
    assert _claim(holder, 'b').state is ClaimState.COMPLETED_WITHOUT_BODY


def test_key_time() -> None:
    made = key_time('017f22e2-79b0-7cc3-98c4-dc0c0c07398f')  # RFC 9562, A.6
    assert made == 1645557742.0
    assert key_time('order-17') is None


def test_history_without_members_holds_nothing() -> None:
    assert HolderHistory(0).holders('k') == []
