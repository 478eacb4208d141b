"""An availability zone that is out gets no new work."""

from __future__ import annotations

from time import sleep

from pytest_bdd import parsers, scenarios, then

from demo.harness import wait_until
from tests.world import QUIET, World, requests

scenarios('features/zones.feature')


@then(parsers.parse('within {limit:d} seconds zone {zone} gets no new work'))
def gets_no_work(world: World, limit: int, zone: str) -> None:
    pairs = world.running.of_zone(zone)

    def is_quiet() -> bool:
        idle = min(pair.target_stats()['idle_seconds'] for pair in pairs)
        return idle > QUIET

    wait_until(is_quiet, limit + QUIET)
    before = [requests(pair) for pair in pairs]
    sleep(2)
    assert [requests(pair) for pair in pairs] == before
