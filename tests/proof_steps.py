"""Steps that several features share."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from time import sleep

import pytest
from pytest_bdd import given, parsers, then, when

from demo.harness import deployment
from tests.callers import call
from tests.world import MAX_WAIT, QUIET, World, requests


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


@when(parsers.parse('operators take zone {zone} out'))
@given(parsers.parse('operators take zone {zone} out'))
def take_out(world: World, zone: str) -> None:
    world.take_out(zone)


@when('the store goes down')
def store_down(world: World) -> None:
    world.running.switch_store('down')


@when(parsers.parse('the node of zone {zone} is frozen'))
def freeze(world: World, zone: str) -> None:
    # A caller whose own entry node is frozen can only time out; the calls
    # that the others place at the frozen node are what is looked at.
    world.remove_entry(world.of_zone(zone))
    sleep(QUIET)
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


@when(parsers.parse('{seconds:d} seconds pass'))
def let_pass(seconds: int) -> None:
    sleep(seconds)


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


@then(parsers.parse('the target of zone {zone} has run nothing'))
def ran_nothing(world: World, zone: str) -> None:
    assert requests(world.of_zone(zone)) == 0
    assert all(one.is_whole for one in world.outcomes)


@then('it ends with code 0')
def ends(world: World) -> None:
    assert world.stopped.wait(MAX_WAIT) == 0
