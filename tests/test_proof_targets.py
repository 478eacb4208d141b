"""Targets are protected and callers get complete answers."""

from __future__ import annotations

import signal
from http.client import HTTPConnection
from time import sleep

from pytest_bdd import given, parsers, scenarios, then, when

from demo.harness import wait_until
from tests.callers import Callers, call
from tests.world import MAX_WAIT, World

scenarios('features/targets.feature')

_WARM_UP_ANSWERS = 400  # after which four targets are warm


@given(
    parsers.parse(
        '{count:d} bookings targets that crash when cold,'
        ' over the zones {zones}',
    ),
)
def start_crashing_when_cold(world: World, count: int, zones: str) -> None:
    world.start(count, zones, {'crashes_when_cold': True})


@given(parsers.parse('callers of bookings that wait {ms:d} ms for each answer'))
def start_slow_callers(world: World, ms: int) -> None:
    # Cold targets take three times as long. Warm them up, so that slow
    # answers do not affect the result.
    warming = world.start_callers('/bookings/list', threads=8)
    wait_until(lambda: warming.kinds()['whole'] >= _WARM_UP_ANSWERS, MAX_WAIT)
    warming.stop()
    world.start_callers(f'/bookings/list?ms={ms}')


@when('a node is told to stop')
def stop_node(world: World) -> None:
    pair = world.running.pairs[-1]
    world.stopped_process = pair.node
    pair.node.send(signal.SIGTERM)


@when('a target is told to stop')
def stop_target(world: World) -> None:
    world.stopped_process = world.running.pairs[-1].target
    world.stopped_process.send(signal.SIGTERM)


@when(
    parsers.parse(
        '{count:d} callers send the request that crashes targets, in sequence',
    ),
)
def crash(world: World, count: int) -> None:
    pairs = world.running.pairs
    for index in range(count):
        call(pairs[index % len(pairs)].callers, '/bookings/poison')
        sleep(0.5)


@when(parsers.parse('the target of zone {zone} truncates its bodies'))
def truncate_bodies(world: World, zone: str) -> None:
    world.of_zone(zone).change_target(cuts_body=True)


@when(
    parsers.parse('a caller disconnects while its request of {ms:d} ms runs'),
)
def disconnect(world: World, ms: int) -> None:
    host, _, port = world.operator_pair().callers.partition(':')
    connection = HTTPConnection(host, int(port))
    connection.request('GET', f'/bookings/x?ms={ms}')
    wait_until(lambda: world.count('requests') == 1, MAX_WAIT)
    connection.close()


@then(
    parsers.parse('within {limit:d} seconds some target is told to cancel it'),
)
def request_is_cancelled(world: World, limit: int) -> None:
    wait_until(lambda: world.count('cancelled') == 1, limit)


@then('no call was interrupted')
def none_interrupted(world: World) -> None:
    # A caller whose connection is refused had no request in flight.
    interrupted = [
        one
        for one in world.all_outcomes()
        if not one.is_complete and one.kind != 'ConnectionRefusedError'
    ]
    assert interrupted == []


@when(
    parsers.parse(
        '{count:d} callers call at once while zones a and b leave service'
    ),
)
def surge(world: World, count: int) -> None:
    entries = [pair.callers for pair in world.running.pairs]
    world.callers = Callers(entries, '/bookings/list', threads=count)
    for zone in ('a', 'b'):
        world.take_out_of_service(zone)


@then('no target has crashed')
def none_crashed(world: World) -> None:
    assert not any(
        pair.target and pair.target.has_ended for pair in world.running.pairs
    )


@then('every caller got a complete answer, or one that says not run')
def complete_or_not_run(world: World) -> None:
    outcomes = world.all_outcomes()
    assert sum(one.is_complete for one in outcomes) > len(outcomes) / 2
    unclear = [
        one for one in outcomes if not one.is_complete and one.run != 'not-run'
    ]
    assert unclear == []


@then(parsers.parse('at most {limit:d} targets have crashed'))
def crashes_are_limited(world: World, limit: int) -> None:
    targets = [pair.target for pair in world.running.pairs if pair.target]
    ended = sum(1 for target in targets if target.has_ended)
    assert 1 <= ended <= limit


@then('similar requests are answered')
def similar_requests_are_answered(world: World) -> None:
    for pair in world.running.pairs:
        assert call(pair.callers, '/bookings/poise').is_complete
