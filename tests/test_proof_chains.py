"""Deadlines, cancellation and retries across chains of services."""

from __future__ import annotations

from http.client import HTTPConnection

from pytest_bdd import given, parsers, scenarios, then, when

from demo.harness import Pair, wait_until
from tests.callers import call
from tests.world import MAX_WAIT, World, requests

scenarios('features/chains.feature')


def _path(world: World, query: str = '') -> str:
    names = list(dict.fromkeys(pair.service for pair in world.running.pairs))
    return f'/{names[0]}/x?chain={",".join(names[1:])}{query}'


@given(parsers.parse('a chain of {count:d} services over the zones {zones}'))
def start_chain(world: World, count: int, zones: str) -> None:
    _start(world, count, 1, zones)


@given(
    parsers.parse(
        'a chain of {count:d} services with {each:d} targets each over the'
        ' zones {zones}',
    ),
)
def start_wide_chain(world: World, count: int, each: int, zones: str) -> None:
    _start(world, count, each, zones)


def _start(world: World, count: int, each: int, zones: str) -> None:
    places = zones.split(', ')
    names = [f'service-{one}' for one in range(1, count + 1)]
    spread = [(names[one // each], one) for one in range(count * each)]
    world.running.start_pairs(
        [(places[one % len(places)], name) for name, one in spread],
    )
    specs = {names[0]: {}}
    for before, name in zip(names, names[1:], strict=False):
        specs[name] = {'callers': [before]}
    world.running.declare(specs)


@when(parsers.parse('{count:d} callers call the chain in sequence'))
def call_chain(world: World, count: int) -> None:
    entry = world.operator_pair().callers
    path = _path(world)
    world.outcomes += [call(entry, path) for _ in range(count)]


@when(
    parsers.parse(
        'a caller waits {wait:d} ms for a chain whose services take {ms:d} ms'
        ' each',
    ),
)
def call_slow_chain(world: World, wait: int, ms: int) -> None:
    path = _path(world, f'&ms={ms}')
    world.outcomes.append(
        call(world.operator_pair().callers, path, deadline_ms=wait),
    )


@when('a caller disconnects while the last service of the chain works')
def disconnect_from_chain(world: World) -> None:
    host, _, port = world.operator_pair().callers.partition(':')
    connection = HTTPConnection(host, int(port))
    connection.request('GET', _path(world, '&ms=1500'))
    last = world.running.pairs[-1]
    wait_until(lambda: requests(last) == 1, MAX_WAIT)
    connection.close()


@when(
    parsers.parse(
        'the last service fails and {count:d} callers call the chain in'
        ' sequence',
    ),
)
def call_failing_chain(world: World, count: int) -> None:
    for pair in _last_pairs(world):
        pair.change_target(is_failing=True)
    call_chain(world, count)


@then('each service got less time than the one before')
def deadlines_decrease(world: World) -> None:
    deadlines = [
        pair.target_stats()['last_deadline_ms'] for pair in world.running.pairs
    ]
    assert deadlines == sorted(deadlines, reverse=True)
    assert 0 < deadlines[-1] < deadlines[0]


@then('it is told that its deadline passed, or that the chain failed')
def deadline_exceeded(world: World) -> None:
    # All services share one deadline. The first target may see its own call
    # fail and answer before its node reports the timeout.
    (outcome,) = world.outcomes
    timed_out = (504, 'timed_out', 'unknown')
    answer = (outcome.status, outcome.kind, outcome.run)
    assert answer in {timed_out, (502, '', '')}


@then(parsers.parse('within {limit:d} seconds no service works on it'))
def no_service_works(world: World, limit: int) -> None:
    wait_until(lambda: not _running_requests(world), limit)
    before = world.count('requests')
    wait_until(lambda: not _running_requests(world), limit)
    assert world.count('requests') == before


def _last_pairs(world: World) -> list[Pair]:
    """Return the pairs of the last service of the chain."""
    return world.running.of_service(world.running.pairs[-1].service)


def _running_requests(world: World) -> int:
    return sum(pair.target_stats()['running'] for pair in world.running.pairs)


@then(parsers.parse('the last service got at most {limit:d} requests'))
def retries_are_limited(world: World, limit: int) -> None:
    received = sum(requests(pair) for pair in _last_pairs(world))
    assert 0 < received <= limit
