"""A payment is executed at most once."""

from __future__ import annotations

import signal
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from time import sleep

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellsill.rendezvous import rank
from demo.harness import Pair, wait_until
from demo.ledger import Ledger, ledger
from tests.callers import new_key
from tests.world import KEY_GRACE_SECONDS, MAX_WAIT, World, pay, requests

scenarios('features/payments.feature')


@pytest.fixture
def book() -> Iterator[Ledger]:
    with ledger() as found:
        yield found


@given('callers that pay with keys and retry until they know the outcome')
def start_paying_callers(world: World) -> None:
    # Nodes refuse new keys in the first seconds of a deployment.
    sleep(KEY_GRACE_SECONDS)
    world.start_callers('/bookings/pay', posts=True)


@when('a node is killed')
def kill_node(world: World) -> None:
    world.remove_entry(world.running.pairs[-1])
    world.running.pairs[-1].node.kill()


@when('another node is frozen for 2 seconds')
def freeze_briefly(world: World) -> None:
    node = world.running.pairs[1].node
    node.send(signal.SIGSTOP)
    sleep(2)
    node.send(signal.SIGCONT)


@when(parsers.parse('{count:d} payments are each sent through 3 nodes at once'))
def pay_at_once(world: World, count: int) -> None:
    # Nodes refuse new keys in the first seconds of a deployment.
    sleep(KEY_GRACE_SECONDS)
    entries = [pair.callers for pair in world.running.pairs[:3]]
    with ThreadPoolExecutor(len(entries)) as pool:
        for _ in range(count):
            key = new_key()
            world.outcomes += pool.map(partial(pay, key), entries)


@when(
    parsers.parse('a target is killed while it runs a payment of {ms:d} ms'),
)
def kill_target(world: World, ms: int) -> None:
    sleep(KEY_GRACE_SECONDS)
    key = new_key()
    entry = world.operator_pair().callers
    send = partial(pay, key, entry, f'/bookings/pay?ms={ms}')
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(send)
        wait_until(lambda: world.count('requests') == 1, MAX_WAIT)
        for pair in world.running.pairs:
            if requests(pair):
                assert pair.target is not None
                pair.target.kill()
        world.outcomes.append(first.result())
    world.outcomes += [send() for _ in range(3)]


@given(
    parsers.parse(
        '{count:d} bookings targets over the zones {zones},'
        ' whose orders a ledger counts',
    ),
)
def start_with_ledger(
    world: World,
    book: Ledger,
    count: int,
    zones: str,
) -> None:
    world.start(count, zones, {'ledger': book.address})
    sleep(KEY_GRACE_SECONDS)


@when(
    parsers.parse(
        'the {one} and the {other} of a payment of {ms:d} ms are killed',
    ),
)
def kill_together(world: World, one: str, other: str, ms: int) -> None:
    _kill_while_it_runs(world, (one, other), ms)


@when(parsers.parse('the entry node of a payment of {ms:d} ms is killed'))
def kill_entry(world: World, ms: int) -> None:
    _kill_while_it_runs(world, ('entry node',), ms)


def _kill_while_it_runs(world: World, names: Iterable[str], ms: int) -> None:
    # A node without a target of its own, so that no process has two roles.
    entry = world.running.add('a', '')
    world.running.wait_ready()
    world.key, first_holder = _new_key(world)
    world.path = f'/bookings/pay?ms={ms}'
    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(pay, world.key, entry.callers, world.path)
        wait_until(lambda: world.count('requests') == 1, MAX_WAIT)
        pairs = world.running.of_service('bookings')
        (runner,) = [pair for pair in pairs if requests(pair)]
        processes = {
            'entry node': entry.node,
            'first holder': first_holder.node,
            'node of the target': runner.node,
            'target': runner.target,
        }
        for name in names:
            processes[name].kill()
        world.outcomes.append(first.result())


@then('the last answer is whole')
def last_is_whole(world: World) -> None:
    assert world.outcomes[-1].is_complete


def _new_key(world: World) -> tuple[str, Pair]:
    """Return a new key and the first of its holders."""
    by_id = {pair.id: pair for pair in world.running.of_service('bookings')}
    key = new_key()
    holders = rank(f'outside\0bookings\0{key}', by_id, 2)
    return key, by_id[holders[0]]


@when(
    parsers.parse(
        'the payment is retried through the others for {seconds:d} seconds'
    ),
)
def retry(world: World, seconds: int) -> None:
    others = [pair for pair in world.running.pairs if not pair.node.has_ended]
    for turn in range(seconds * 4):
        entry = others[turn % len(others)].callers
        world.outcomes.append(pay(world.key, entry, world.path))
        sleep(0.25)


@then('it has taken effect once')
def took_effect_once(world: World, book: Ledger) -> None:
    assert book.runs(world.key) == 1


@then('no caller was told that it was not executed')
def none_told_not_run(world: World) -> None:
    assert [one for one in world.outcomes if one.run == 'not-run'] == []


@then('the outcome of the payment is unknown, also when it is retried')
def is_unknown(world: World) -> None:
    kinds = {one.kind for one in world.outcomes}
    assert kinds == {'outcome_unknown'}
    assert {one.run for one in world.outcomes} == {'unknown'}


@then('no payment was executed twice')
def none_executed_twice(world: World) -> None:
    world.all_outcomes()
    runs = _runs(world)
    assert [key for key, count in runs.items() if count > 1] == []


@then('every payment that was answered was executed')
def answered_was_executed(world: World) -> None:
    # A payment may be answered several times: a repeated key gets the response
    # of the run that it names.
    answered = {one.key for one in world.outcomes if one.status == 200}
    assert answered
    assert answered <= _runs(world).keys()


def _runs(world: World) -> dict[str, int]:
    """Return how often each payment was executed, over all targets."""
    runs: dict[str, int] = {}
    for pair in world.running.pairs:
        stats = pair.target_stats()
        for key in stats['keys']:
            runs[key] = runs.get(key, 0) + stats['repeated'].get(key, 1)
    return runs
