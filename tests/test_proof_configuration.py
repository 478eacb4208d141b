"""Accepted configuration takes effect on every node and is kept."""

from __future__ import annotations

from pytest_bdd import parsers, scenarios, then, when

from bluebellsill.operator_client import ApiError
from demo.harness import wait_until
from tests.callers import call
from tests.world import MAX_WAIT, World

scenarios('features/configuration.feature')


@when('the store loses the replies to writes')
def lose_write_replies(world: World) -> None:
    world.running.switch_store('lose_answers')


@when('a node joins zone a with seeds')
def join(world: World) -> None:
    seeds = [pair.id for pair in world.running.pairs]
    world.new_pair = world.running.add('a', 'bookings', seeds=seeds)


@when('two operators change bookings from the same revision')
def race(world: World) -> None:
    revision = (
        world.operator_pair().client().get('services/bookings')['revision']
    )
    for pair in world.running.pairs[:2]:
        try:
            pair.client().put('services', 'bookings', {'slots': 5}, revision)
        except ApiError as error:
            world.api_errors.append(error)


@then(
    parsers.parse(
        'within {limit:d} seconds the new node has the revision of the others',
    ),
)
def has_revision(world: World, limit: int) -> None:
    assert world.new_pair is not None
    client = world.new_pair.client()

    def has_caught_up() -> bool:
        return bool(client.get('node')['revision'] == world.revision)

    wait_until(has_caught_up, limit)


@then('a call that enters at the new node is answered')
def new_node_answers(world: World) -> None:
    new_pair = world.new_pair
    assert new_pair is not None

    def is_answered() -> bool:
        return call(new_pair.callers, '/bookings/x').is_complete

    wait_until(is_answered, MAX_WAIT)


@then(
    parsers.parse('within {limit:d} seconds the change is in force everywhere')
)
def in_force(world: World, limit: int) -> None:
    world.operator_pair().client().wait(world.revision, limit)


@then('the change was made once')
def changed_once(world: World) -> None:
    zones = world.operator_pair().client().get('availability-zones')
    assert zones['revision'] == world.revision == 2


@then('one is refused with the revision that came first')
def one_refused(world: World) -> None:
    assert [error.kind for error in world.api_errors] == ['revision_conflict']
    assert 'is at revision 2, not 1' in str(world.api_errors[0])
