"""Steps shared by several features."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from time import sleep

import pytest
from pytest_bdd import given, parsers, then, when

from demo.harness import deployment
from tests.callers import call
from tests.world import MAX_WAIT, QUIET_SECONDS, World, requests


@pytest.fixture
def world() -> Iterator[World]:
    with deployment() as running:
        world = World(running)
        yield world
        if world.callers is not None:
            world.callers.stop()


@given(parsers.parse('{count:d} bookings targets over the zones {zones}'))
def start(world: World, count: int, zones: str) -> None:
    world.start(count, zones, {})


@given('callers of bookings')
def start_callers(world: World) -> None:
    world.start_callers('/bookings/list')


@when(parsers.parse('operators take zone {zone} out of service'))
@given(parsers.parse('operators take zone {zone} out of service'))
def take_out_of_service(world: World, zone: str) -> None:
    world.take_out_of_service(zone)


@when('the store becomes unavailable')
def make_store_unavailable(world: World) -> None:
    world.running.switch_store('down')


@when(parsers.parse('the node of zone {zone} is frozen'))
def freeze(world: World, zone: str) -> None:
    # Callers of the frozen node itself can only time out. The test observes
    # the calls that other entry nodes forward to it.
    world.remove_entry(world.of_zone(zone))
    sleep(QUIET_SECONDS)
    world.of_zone(zone).node.send(signal.SIGSTOP)


@when(parsers.parse('the node of zone {zone} is resumed'))
def resume(world: World, zone: str) -> None:
    # Longer than the threshold above which a node detects that it was paused.
    sleep(2)
    world.of_zone(zone).node.send(signal.SIGCONT)


@when(parsers.parse('{count:d} calls enter at the node of zone {zone}'))
def call_entry(world: World, count: int, zone: str) -> None:
    _call_entry(world, zone, count, '/bookings/x', 0)


@when(
    parsers.parse(
        '{count:d} calls of {size:d} bytes enter at the node of zone {zone}',
    ),
)
def call_entry_for_large_body(
    world: World, count: int, size: int, zone: str
) -> None:
    _call_entry(world, zone, count, f'/bookings/x?size={size}', size)


def _call_entry(
    world: World, zone: str, count: int, path: str, size: int
) -> None:
    entry = world.of_zone(zone).callers
    world.outcomes += [call(entry, path, size=size) for _ in range(count)]


@when(parsers.parse('{seconds:d} seconds pass'))
def wait_seconds(seconds: int) -> None:
    sleep(seconds)


@then('every caller got a complete answer')
def all_complete(world: World) -> None:
    outcomes = world.all_outcomes()
    assert outcomes
    assert [one for one in outcomes if not one.is_complete] == []


@then('no caller got a wrong answer')
def none_wrong(world: World) -> None:
    wrong = [
        one
        for one in world.all_outcomes()
        if one.status == 200 and not one.is_complete
    ]
    assert wrong == []


@then(parsers.parse('the target of zone {zone} has executed nothing'))
def executed_nothing(world: World, zone: str) -> None:
    assert requests(world.of_zone(zone)) == 0
    assert all(one.is_complete for one in world.outcomes)


@then('it exits with code 0')
def exits(world: World) -> None:
    assert world.stopped_process.wait(MAX_WAIT) == 0
