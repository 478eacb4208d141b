"""One node decides on a release, whatever happens to it and to the store."""

from __future__ import annotations

from typing import Any

from bluebellsill.messages import CanaryShare
from bluebellsill.rollouts.order import CanaryStage
from tests.canary_world import Run, World, good


def _fails(run: Run) -> tuple[bool, float]:
    return run.luck < 0.4, good(run)[1]


def _until_acting(world: World) -> Any:
    """Play until a node acts, and return it."""
    for _ in range(40):
        world.play(0.25)
        if world.acting():
            return world.acting()[0]
    raise AssertionError('no node acts')


def _stages(world: World) -> set[CanaryStage]:
    """Return what the nodes believe."""
    found = set()
    for node in world.nodes:
        traffic = node.releases.of_service('shop')
        if node.is_alive and not node.is_cut_off and traffic is not None:
            found.add(traffic.stage)
    return found


def test_nothing_is_called_or_sent_without_an_order() -> None:
    """A deployment without orders pays nothing for them."""
    world = World()
    world.play(10)
    assert not world.store.calls
    assert not any(node.counts for node in world.nodes)
    assert all(node.releases.of_service('shop') is None for node in world.nodes)


def test_another_node_continues_when_the_acting_one_is_killed() -> None:
    """The time and the evidence so far must not be lost."""
    world = World(rate=100)
    world.order(60)
    acting = _until_acting(world)
    world.play(20)
    world.kill(acting)
    world.play(8)
    assert world.acting() and world.acting()[0] is not acting
    assert world.store.record is not None
    assert world.store.record[0].requests > 1000
    world.play(31)
    assert world.store.status[-1] is CanaryStage.COMPLETED


def test_bad_version_is_rolled_back_although_the_acting_node_is_killed() -> (
    None
):
    """No evidence is needed twice, and no node stays with the share."""

    def turns_bad(run: Run) -> tuple[bool, float]:
        return _fails(run) if run.at > 20 else good(run)

    world = World(rate=100, behave=turns_bad)
    world.order(60)
    acting = _until_acting(world)
    world.play(19)
    world.kill(acting)
    world.play(41)
    assert world.store.status[-1] is CanaryStage.ROLLED_BACK
    world.check_bounds()


def test_message_of_an_earlier_acting_node_is_ignored() -> None:
    """A node that was cut off tells a share that is no longer in force."""
    world = World(rate=100)
    world.order(60)
    first = _until_acting(world)
    world.play(5)
    first.is_cut_off = True
    first.client.is_away = True
    world.play(10)
    second = [one for one in world.acting() if one is not first]
    assert second and first in world.acting()
    first.is_cut_off = False
    old_token = first.releases._by_service['shop'].role.lease.token
    news = CanaryShare(
        *('shop', 'v2', 1, 9),
        *(old_token.epoch, old_token.revision),
        *(first.id, 'switching', 1.0, 5, ['v1']),
    )
    other = next(one for one in world.nodes if one not in (first, second[0]))
    other.releases.on_share(news)
    assert other.counts['canary_shares_ignored'] == 1
    world.play(3)
    assert world.acting() == second
    first.client.is_away = False
    world.play(42)
    assert world.store.status[-1] is CanaryStage.COMPLETED


def test_late_write_of_an_earlier_acting_node_fails() -> None:
    """A completion that is executed late must not follow a roll-back."""
    world = World(rate=100)
    world.order(60)
    first = _until_acting(world)
    world.play(49)
    assert first.releases._by_service['shop'].traffic.stage is (
        CanaryStage.SWITCHING
    )
    first.client.loses = True
    first.client.late = 8
    first.is_cut_off = True
    world.play(3)
    assert first.releases._by_service['shop'].decision.is_completing
    world.behave = _fails
    world.play(8)
    assert world.store.status[-1] is CanaryStage.ROLLED_BACK
    world.play(10)
    assert CanaryStage.COMPLETED not in world.store.status


def test_nothing_is_completed_while_the_store_is_away() -> None:
    """A status that the store does not have is no status."""
    world = World(rate=100)
    world.order(40)
    world.play(28)
    for node in world.nodes:
        node.client.is_away = True
    world.play(8)
    assert _stages(world) == {CanaryStage.RUNNING}
    for node in world.nodes:
        node.client.is_away = False
    world.play(5)
    assert _stages(world) == {world.store.status[-1]}
    assert world.store.status[-1].is_final


def test_short_loss_of_the_store_does_not_prevent_the_completion() -> None:
    """The time kept for the switch has to cover some seconds of it."""
    world = World(rate=100)
    world.order(60)
    world.play(46)
    for node in world.nodes:
        node.client.is_away = True
    world.play(6)
    for node in world.nodes:
        node.client.is_away = False
    world.play(8)
    assert world.store.status[-1] is CanaryStage.COMPLETED


def test_roll_back_acts_at_once_while_the_store_is_away() -> None:
    """A bad version must not be kept until the store answers again."""
    world = World(rate=200)
    world.order(60)
    world.play(10)
    for node in world.nodes:
        node.client.is_away = True
    world.behave = _fails
    world.play(6)
    assert _stages(world) == {CanaryStage.ROLLED_BACK}
    world.check_bounds()
    assert world.store.status == [CanaryStage.RUNNING]
    for node in world.nodes:
        node.client.is_away = False
    world.play(10)
    assert world.store.status[-1] is CanaryStage.ROLLED_BACK
    world.check_bounds()


def test_lost_answers_do_not_stop_a_release() -> None:
    """The completion may have been written although nobody was told."""
    world = World(rate=100)
    world.order(60)
    world.play(50)
    for node in world.nodes:
        node.client.loses = True
        node.client.late = 1
    world.play(4)
    for node in world.nodes:
        node.client.loses = False
    world.play(6)
    assert world.store.status[-1] is CanaryStage.COMPLETED
    assert _stages(world) == {CanaryStage.COMPLETED}
    assert not world.refused


def test_outcome_that_a_restored_store_has_lost_is_written_again() -> None:
    """A bad version must not be tried a second time after a restore."""
    world = World(rate=200, behave=_fails)
    world.store.copy()
    world.order(60)
    world.play(15)
    assert world.store.status[-1] is CanaryStage.ROLLED_BACK
    world.store.status.clear()
    sent = len(world.sent)
    world.store.restore()
    world.put_order(12, 2, 'v2', 60)
    world.play(12)
    assert world.store.status == [CanaryStage.ROLLED_BACK]
    assert len(world.sent) == sent


def test_release_goes_on_after_a_restore() -> None:
    """The lease and the record may be gone, or be those of before."""
    world = World(rate=100)
    world.order(60)
    world.play(10)
    world.store.copy()
    world.play(6)
    world.store.restore()
    world.put_order(30, 2, 'v2', 60)
    world.play(43)
    assert world.store.status[-1] is CanaryStage.COMPLETED
    assert len(world.acting()) <= 1


def test_node_without_news_uses_the_old_version_only() -> None:
    """A node that is cut off does not learn of a roll-back."""
    world = World(rate=400)
    world.order(60)
    acting = _until_acting(world)
    world.play(10)
    node = next(one for one in world.nodes if one is not acting)
    node.is_cut_off = True
    node.client.is_away = True
    world.play(5.5)
    traffic = node.releases.of_service('shop')
    assert traffic is not None
    for _ in range(100):
        assert not traffic.takes_canary(world.now(), has_canary=True)


def test_new_node_learns_that_a_version_was_completed() -> None:
    """Nobody sends the share any more after a release has ended."""
    world = World(rate=100)
    world.order(20)
    world.play(25)
    assert not world.acting()
    member = world.nodes[0].members.own
    fresh = world._make(member, [one.members.own for one in world.nodes])
    fresh.orders.put(world.nodes[0].orders.orders, fresh.orders.position)
    world.play(3)
    traffic = fresh.releases.of_service('shop')
    assert traffic is not None
    assert traffic.stage is CanaryStage.COMPLETED
    chosen, canaries = traffic.split([one.members.own for one in world.nodes])
    assert {one.target_version for one in chosen} == {'v2'}
    assert not canaries


def test_malformed_record_and_order_are_ignored() -> None:
    """Other writers may leave anything under the keys."""
    world = World(rate=10)
    world.put_order(7, 1, '', 60)
    world.play(3)
    assert all(node.releases.of_service('shop') is None for node in world.nodes)
    assert not world.store.calls


def test_second_order_of_a_rolled_back_version_starts_anew() -> None:
    """Operators may have mended what was wrong outside the version."""
    world = World(rate=200, behave=_fails)
    world.order(60)
    world.play(12)
    assert world.store.status[-1] is CanaryStage.ROLLED_BACK
    world.behave = good
    world.order(40, revision=50)
    world.play(40)
    assert world.store.status[-1] is CanaryStage.COMPLETED


def test_version_of_an_earlier_order_gets_nothing_in_the_next() -> None:
    """Targets that were rolled back drain for some seconds."""
    world = World(rate=100, behave=_fails)
    world.order(60)
    world.play(15)
    sent = len(world.sent)
    world.put_order(40, 1, 'v3', 60)
    world.play(20)
    assert len(world.sent) == sent


def test_share_with_invalid_numbers_is_ignored() -> None:
    """A peer of another build may send what makes no sense."""
    world = World(rate=100)
    world.order(60)
    acting = _until_acting(world)
    world.play(3)
    node = next(one for one in world.nodes if one is not acting)
    pushed = acting.releases._by_service['shop'].pushed
    assert pushed is not None
    for share in (float('nan'), -1.0, 2.0):
        fields = {
            name: getattr(pushed, name) for name in pushed.__struct_fields__
        }
        node.releases.on_share(CanaryShare(**{**fields, 'share': share}))
    fields['stage'] = 'unheard-of'
    node.releases.on_share(CanaryShare(**fields))
    assert node.counts['canary_shares_ignored'] == 4


def test_node_that_hears_nobody_learns_the_outcome_from_the_store() -> None:
    """At the completion the old targets stop without draining."""
    world = World(rate=100)
    world.order(30)
    acting = _until_acting(world)
    node = next(one for one in world.nodes if one is not acting)
    node.is_cut_off = True
    world.play(32)
    assert world.store.status[-1] is CanaryStage.COMPLETED
    traffic = node.releases.of_service('shop')
    assert traffic is not None
    assert traffic.stage is CanaryStage.COMPLETED
