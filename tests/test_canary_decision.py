"""A release completes a good version in time and ends a bad one early.

Each test guards against a bad version that reaches more requests than the
bound allows, and against a good one that is rolled back or comes too late.
"""

from __future__ import annotations

from collections import defaultdict
from random import Random

import pytest

from bluebellsill.rollouts.order import CanaryStage
from tests.canary_world import Behaviour, Run, World, good


def _release(world: World, duration: float = 60) -> CanaryStage:
    """Play a release until its time limit, and return how it has ended."""
    world.order(duration)
    world.play(duration)
    if world.behave is not good:
        world.check_bounds()
    return world.store.status[-1]


def _fails(share: float) -> Behaviour:
    """Return a version of which a share of the responses fails."""
    return lambda run: (run.luck < share, good(run)[1])


def _slow(share: float) -> Behaviour:
    """Return a version of which a share of the responses takes long."""
    return lambda run: (
        good(run)[0],
        good(run)[1] * (4 if run.luck < share else 1),
    )


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('rate', [2, 20, 200, 600])
def test_good_version_is_completed_in_time(rate: float, seed: int) -> None:
    world = World(rate=rate, seed=seed, old=20 if rate > 300 else 10)
    assert _release(world) is CanaryStage.COMPLETED
    assert not world.refused


@pytest.mark.parametrize('duration', [12, 30, 120])
def test_good_version_is_completed_within_other_limits(
    duration: float,
) -> None:
    world = World(rate=100)
    assert _release(world, duration) is CanaryStage.COMPLETED


@pytest.mark.parametrize(
    ('rate', 'behave'),
    [
        # With 10 requests a second the bound leaves 110 requests, too few to
        # tell a version of which 5% fail from one of which 0.5% fail.
        *((10, one) for one in (_fails(0.3), _fails(1), _slow(0.3), _slow(1))),
        *(
            (rate, one)
            for rate in (200, 600)
            for one in (
                _fails(0.05),
                _fails(0.3),
                _fails(1),
                _slow(0.3),
                _slow(1),
            )
        ),
    ],
)
def test_version_that_is_bad_at_once_is_rolled_back(
    rate: float, behave: Behaviour
) -> None:
    world = World(rate=rate, behave=behave, old=20 if rate > 300 else 10)
    assert _release(world) is CanaryStage.ROLLED_BACK


@pytest.mark.parametrize('turns_at', [5, 20, 38])
@pytest.mark.parametrize('behave', [_fails(0.3), _slow(0.5)])
def test_version_that_turns_bad_later_is_rolled_back(
    turns_at: float, behave: Behaviour
) -> None:
    def turns_bad(run: Run) -> tuple[bool, float]:
        return behave(run) if run.at > turns_at else good(run)

    world = World(behave=turns_bad)
    assert _release(world) is CanaryStage.ROLLED_BACK


@pytest.mark.parametrize('turns_at', [14, 35])
def test_version_that_is_a_little_slow_later_is_rolled_back(
    turns_at: float,
) -> None:
    """Slow responses have to be told from slowed targets in 5 s."""

    def turns_bad(run: Run) -> tuple[bool, float]:
        return _slow(0.2)(run) if run.at > turns_at else good(run)

    world = World(rate=600, old=20, behave=turns_bad)
    assert _release(world) is CanaryStage.ROLLED_BACK


@pytest.mark.parametrize('behave', [_fails(0.5), _slow(0.8)])
def test_version_that_is_bad_under_load_is_rolled_back(
    behave: Behaviour,
) -> None:
    def is_loaded(run: Run) -> tuple[bool, float]:
        return behave(run) if run.load >= 3 else good(run)

    world = World(rate=250, behave=is_loaded)
    assert _release(world) is CanaryStage.ROLLED_BACK


@pytest.mark.parametrize('behave', [_fails(0.3), _slow(0.5)])
def test_version_that_is_bad_on_one_route_is_rolled_back(
    behave: Behaviour,
) -> None:
    def is_bad_write(run: Run) -> tuple[bool, float]:
        return behave(run) if run.route == 'write' else good(run)

    world = World(rate=100, behave=is_bad_write)
    assert _release(world) is CanaryStage.ROLLED_BACK


@pytest.mark.parametrize('seed', range(4))
def test_bad_version_with_little_traffic_is_rolled_back(seed: int) -> None:
    world = World(rate=3, behave=_fails(0.5), seed=seed)
    assert _release(world) is CanaryStage.ROLLED_BACK


def test_good_version_without_requests_is_completed() -> None:
    world = World(rate=0)
    assert _release(world) is CanaryStage.COMPLETED


def test_new_version_without_targets_is_rolled_back_at_the_limit() -> None:
    """Without a target there is nothing that could serve the requests."""
    world = World(new=0)
    assert _release(world, 20) is not CanaryStage.COMPLETED
    world.play(2)
    assert world.store.status[-1] is CanaryStage.ROLLED_BACK
    assert not world.refused


def test_killed_target_is_no_evidence_against_a_version() -> None:
    """All requests of one moment at one target fail when it is killed."""

    def is_killed(run: Run) -> tuple[bool, float]:
        return (True, 0.01) if 10 < run.at < 10.3 else good(run)

    world = World(behave=is_killed)
    world.order(60)
    world.play(60)
    assert world.store.status[-1] is CanaryStage.COMPLETED


@pytest.mark.parametrize('new', [2, 10])
def test_slowed_targets_are_no_evidence_against_a_version(new: int) -> None:
    """Neighbours slow any target for 0.2 s; the new version has few targets."""
    random = Random(7)
    bursts: dict[str, list[float]] = defaultdict(
        lambda: [random.uniform(0, 60) for _ in range(12)]
    )

    def disturb(target: str, at: float) -> float:
        is_slow = any(start < at < start + 0.2 for start in bursts[target])
        return 5 if is_slow else 1

    world = World(old=4, new=new, disturb=disturb)
    assert _release(world) is CanaryStage.COMPLETED
