"""The promises of the brief, proved with real processes."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from http.client import HTTPConnection
from time import sleep
from typing import Any

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from bluebellsill.operator_client import ApiError
from demo.harness import Deployment, Pair, deployment, wait_until
from tests.callers import Callers, Outcome, call, new_key

scenarios('features/proofs.feature')

_QUIET = 1.0  # seconds without new work
_MAX_WAIT = 30.0  # seconds
_CERTAIN = 5.0  # seconds
_WARM = 400  # answers that warm four targets


class World:
    """What the steps of one scenario share."""

    def __init__(self, running: Deployment) -> None:
        self.running = running
        self.callers: Callers | None = None
        self.outcomes: list[Outcome] = []
        self.revision = 0
        self.refused: list[ApiError] = []
        self.stopped: Any = None
        self.newcomer: Pair | None = None

    def of_zone(self, zone: str) -> Pair:
        """Return the first pair of a zone."""
        return self.running.of_zone(zone)[0]

    def operator(self) -> Pair:
        """Return a pair whose node runs."""
        return self.running.pairs[0]

    def all_outcomes(self) -> list[Outcome]:
        """Return what all calls of the scenario came to."""
        if self.callers is not None:
            self.callers.stop()
            self.outcomes += self.callers.outcomes
            self.callers = None
        return self.outcomes


@pytest.fixture
def world() -> Iterator[World]:
    with deployment() as running:
        world = World(running)
        yield world
        if world.callers is not None:
            world.callers.stop()


@given(parsers.parse('{count:d} bookings targets over the zones {zones}'))
def start(world: World, count: int, zones: str) -> None:
    _start(world, count, zones, {})


@given(
    parsers.parse(
        '{count:d} bookings targets that fall over when cold,'
        ' over the zones {zones}',
    ),
)
def start_brittle(world: World, count: int, zones: str) -> None:
    _start(world, count, zones, {'crashes_when_cold': True})


def _start(
    world: World,
    count: int,
    zones: str,
    behaviour: dict[str, Any],
) -> None:
    running = world.running
    names = zones.split(', ')
    places = [(names[one % len(names)], 'bookings') for one in range(count)]
    running.start_pairs(places, behaviour)
    running.declare({'bookings': {'expected_targets': count}})


@given('callers of bookings')
def start_callers(world: World) -> None:
    _start_callers(world, '/bookings/list')


@given(parsers.parse('callers of bookings that wait {ms:d} ms for each answer'))
def start_patient_callers(world: World, ms: int) -> None:
    # Cold targets take three times as long, which is not what is shown.
    _start_callers(world, '/bookings/list', threads=8)
    warming = world.callers
    assert warming is not None
    wait_until(lambda: warming.kinds()['whole'] >= _WARM, _MAX_WAIT)
    warming.stop()
    _start_callers(world, f'/bookings/list?ms={ms}')


@given('callers that pay with keys, again until they know')
def start_paying_callers(world: World) -> None:
    # Keys of the first seconds of a deployment are not certain.
    sleep(_CERTAIN)
    _start_callers(world, '/bookings/pay', posts=True)


def _start_callers(world: World, path: str, **options: Any) -> None:
    entries = [pair.callers for pair in world.running.pairs]
    world.callers = Callers(entries, path, **options)
    callers = world.callers
    wait_until(lambda: callers.kinds()['whole'] >= 50, _MAX_WAIT)


@when(parsers.parse('operators take zone {zone} out'))
@given(parsers.parse('operators take zone {zone} out'))
def take_out(world: World, zone: str) -> None:
    client = world.operator().client()
    change = client.put('availability-zones', zone, {'in_service': False})
    world.revision = change['revision']


@when('the store goes down')
def store_down(world: World) -> None:
    world.running.switch_store('down')


@when('the store loses the answers of writes')
def store_loses_answers(world: World) -> None:
    world.running.switch_store('lose_answers')


@when(parsers.parse('the node of zone {zone} is frozen'))
def freeze(world: World, zone: str) -> None:
    # A caller whose own entry node is frozen can only time out; the calls
    # that the others place at the frozen node are what is looked at.
    _remove_entry(world, world.of_zone(zone))
    sleep(_QUIET)
    world.of_zone(zone).node.send(signal.SIGSTOP)


@when(parsers.parse('the node of zone {zone} is woken'))
def wake(world: World, zone: str) -> None:
    # Longer than what counts as a pause.
    sleep(2)
    world.of_zone(zone).node.send(signal.SIGCONT)


@when(parsers.parse('{count:d} calls enter at the node of zone {zone}'))
def enter(world: World, count: int, zone: str) -> None:
    _enter(world, zone, count, '/bookings/x', 0)


@when(
    parsers.parse(
        '{count:d} calls of {size:d} bytes enter at the node of zone {zone}',
    ),
)
def enter_long(world: World, count: int, size: int, zone: str) -> None:
    _enter(world, zone, count, f'/bookings/x?size={size}', size)


def _enter(world: World, zone: str, count: int, path: str, size: int) -> None:
    entry = world.of_zone(zone).callers
    world.outcomes += [call(entry, path, size=size) for _ in range(count)]


@when('a node joins zone a with seeds')
def join(world: World) -> None:
    seeds = [pair.id for pair in world.running.pairs]
    world.newcomer = world.running.add('a', 'bookings', seeds=seeds)


@when('two operators change bookings from the same revision')
def race(world: World) -> None:
    revision = world.operator().client().get('services/bookings')['revision']
    for pair in world.running.pairs[:2]:
        try:
            pair.client().put('services', 'bookings', {'slots': 5}, revision)
        except ApiError as error:
            world.refused.append(error)


@when('a node is told to stop')
def stop_node(world: World) -> None:
    pair = world.running.pairs[-1]
    world.stopped = pair.node
    pair.node.send(signal.SIGTERM)


@when('a target is told to stop')
def stop_target(world: World) -> None:
    world.stopped = world.running.pairs[-1].target
    world.stopped.send(signal.SIGTERM)


@when('a node is killed')
def kill_node(world: World) -> None:
    _remove_entry(world, world.running.pairs[-1])
    world.running.pairs[-1].node.kill()


@when('another node is frozen for 2 seconds')
def freeze_shortly(world: World) -> None:
    node = world.running.pairs[1].node
    node.send(signal.SIGSTOP)
    sleep(2)
    node.send(signal.SIGCONT)


def _remove_entry(world: World, pair: Pair) -> None:
    if world.callers is not None:
        world.callers.entries.remove(pair.callers)


@when(parsers.parse('{seconds:d} seconds pass'))
def let_pass(seconds: int) -> None:
    sleep(seconds)


@when(
    parsers.parse(
        '{count:d} callers send the request that crashes targets, one by one',
    ),
)
def crash(world: World, count: int) -> None:
    pairs = world.running.pairs
    for index in range(count):
        call(pairs[index % len(pairs)].callers, '/bookings/poison')
        sleep(0.5)


@when(parsers.parse('the target of zone {zone} cuts its bodies short'))
def cut_bodies(world: World, zone: str) -> None:
    world.of_zone(zone).change_target(cuts_body=True)


@when(parsers.parse('{count:d} payments are each sent through 3 nodes at once'))
def pay_at_once(world: World, count: int) -> None:
    # Keys of the first seconds of a deployment are not certain.
    sleep(_CERTAIN)
    entries = [pair.callers for pair in world.running.pairs[:3]]
    with ThreadPoolExecutor(len(entries)) as pool:
        for _ in range(count):
            key = new_key()
            world.outcomes += pool.map(partial(_pay, key), entries)


def _pay(key: str, entry: str) -> Outcome:
    path = '/bookings/pay'
    return call(entry, path, method='POST', key=key, order=key)


@when(
    parsers.parse('a caller goes away while its request of {ms:d} ms runs'),
)
def go_away(world: World, ms: int) -> None:
    host, _, port = world.operator().callers.partition(':')
    connection = HTTPConnection(host, int(port))
    connection.request('GET', f'/bookings/x?ms={ms}')
    wait_until(lambda: _count(world, 'requests') == 1, _MAX_WAIT)
    connection.close()


@when(
    parsers.parse('a target is killed while it runs a payment of {ms:d} ms'),
)
def kill_target(world: World, ms: int) -> None:
    sleep(_CERTAIN)
    entry = world.operator().callers
    key = new_key()
    path = f'/bookings/pay?ms={ms}'

    def pay() -> Outcome:
        return call(entry, path, method='POST', key=key, order=key)

    with ThreadPoolExecutor(1) as pool:
        first = pool.submit(pay)
        wait_until(lambda: _count(world, 'requests') == 1, _MAX_WAIT)
        for pair in world.running.pairs:
            if _requests(pair):
                assert pair.target is not None
                pair.target.kill()
        world.outcomes.append(first.result())
    world.outcomes += [pay() for _ in range(3)]


def _count(world: World, name: str) -> int:
    targets = [pair for pair in world.running.pairs if pair.target]
    stats = [pair.target_stats()['counts'] for pair in targets]
    return sum(int(counts.get(name, 0)) for counts in stats)


@then(
    parsers.parse('within {limit:d} seconds some target has been told to stop'),
)
def told_to_stop(world: World, limit: int) -> None:
    wait_until(lambda: _count(world, 'cancelled') == 1, limit)


@then('the payment is answered as unknown, also when it is sent again')
def is_unknown(world: World) -> None:
    kinds = {one.kind for one in world.outcomes}
    assert kinds == {'outcome_unknown'}
    assert {one.run for one in world.outcomes} == {'unknown'}


@then(parsers.parse('within {limit:d} seconds zone {zone} gets no new work'))
def gets_no_work(world: World, limit: int, zone: str) -> None:
    pairs = world.running.of_zone(zone)

    def is_quiet() -> bool:
        idle = min(pair.target_stats()['idle_seconds'] for pair in pairs)
        return idle > _QUIET

    wait_until(is_quiet, limit + _QUIET)
    before = [_requests(pair) for pair in pairs]
    sleep(2)
    assert [_requests(pair) for pair in pairs] == before


def _requests(pair: Pair) -> int:
    return int(pair.target_stats()['counts'].get('requests', 0))


@then('every caller has got a whole answer')
def all_whole(world: World) -> None:
    outcomes = world.all_outcomes()
    assert outcomes
    assert [one for one in outcomes if not one.is_whole] == []


@then('no caller has got a wrong answer')
def none_wrong(world: World) -> None:
    wrong = [
        one
        for one in world.all_outcomes()
        if one.status == 200 and not one.is_whole
    ]
    assert wrong == []


@then('no call was cut off')
def none_cut(world: World) -> None:
    # A caller that finds the listener closed had nothing in flight.
    cut = [
        one
        for one in world.all_outcomes()
        if not one.is_whole and one.kind != 'ConnectionRefusedError'
    ]
    assert cut == []


@then(parsers.parse('the target of zone {zone} has run nothing'))
def ran_nothing(world: World, zone: str) -> None:
    assert _requests(world.of_zone(zone)) == 0
    assert all(one.is_whole for one in world.outcomes)


@then(
    parsers.parse(
        'within {limit:d} seconds the new node has the revision of the others',
    ),
)
def has_revision(world: World, limit: int) -> None:
    assert world.newcomer is not None
    client = world.newcomer.client()

    def has_caught_up() -> bool:
        return bool(client.get('node')['revision'] == world.revision)

    wait_until(has_caught_up, limit)


@then('a call that enters at the new node is answered')
def newcomer_answers(world: World) -> None:
    newcomer = world.newcomer
    assert newcomer is not None

    def is_answered() -> bool:
        return call(newcomer.callers, '/bookings/x').is_whole

    wait_until(is_answered, _MAX_WAIT)


@then(
    parsers.parse('within {limit:d} seconds the change is in force everywhere')
)
def in_force(world: World, limit: int) -> None:
    world.operator().client().wait(world.revision, limit)


@then('the change was made once')
def made_once(world: World) -> None:
    zones = world.operator().client().get('availability-zones')
    assert zones['revision'] == world.revision == 2


@then('one is told the revision that came first')
def one_refused(world: World) -> None:
    assert [error.kind for error in world.refused] == ['revision_conflict']
    assert 'is at revision 2, not 1' in str(world.refused[0])


@then('it ends with code 0')
def ends(world: World) -> None:
    assert world.stopped.wait(_MAX_WAIT) == 0


@then('no payment ran twice')
def none_twice(world: World) -> None:
    world.all_outcomes()
    runs = _runs(world)
    assert [key for key, count in runs.items() if count > 1] == []


@then('every payment that was answered ran')
def answered_ran(world: World) -> None:
    answered = sum(1 for one in world.outcomes if one.status == 200)
    assert 0 < answered <= len(_runs(world))


def _runs(world: World) -> dict[str, int]:
    """Return how often each payment ran at all targets together."""
    runs: dict[str, int] = {}
    for pair in world.running.pairs:
        stats = pair.target_stats()
        for key in stats['keys']:
            runs[key] = runs.get(key, 0) + stats['repeated'].get(key, 1)
    return runs


@when(
    parsers.parse('{count:d} callers call at once while zones a and b go out'),
)
def surge(world: World, count: int) -> None:
    entries = [pair.callers for pair in world.running.pairs]
    world.callers = Callers(entries, '/bookings/list', threads=count)
    for zone in ('a', 'b'):
        take_out(world, zone)


@then('no target has crashed')
def none_crashed(world: World) -> None:
    assert not any(
        pair.target and pair.target.has_ended for pair in world.running.pairs
    )


@then('every caller has got a whole answer, or one that says not run')
def whole_or_not_run(world: World) -> None:
    outcomes = world.all_outcomes()
    assert sum(one.is_whole for one in outcomes) > len(outcomes) / 2
    unclear = [
        one for one in outcomes if not one.is_whole and one.run != 'not-run'
    ]
    assert unclear == []


@then(parsers.parse('at most {limit:d} targets have crashed'))
def crashed(world: World, limit: int) -> None:
    targets = [pair.target for pair in world.running.pairs if pair.target]
    ended = sum(1 for target in targets if target.has_ended)
    assert 1 <= ended <= limit


@then('requests that look like it are answered')
def neighbours_answered(world: World) -> None:
    for pair in world.running.pairs:
        assert call(pair.callers, '/bookings/poise').is_whole
