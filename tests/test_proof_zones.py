"""An availability zone out of service gets no new requests."""

from __future__ import annotations

from time import sleep

from pytest_bdd import parsers, scenarios, then

from demo.harness import wait_until
from tests.world import QUIET_SECONDS, World, requests

scenarios('features/zones.feature')


@then(
    parsers.parse('within {limit:d} seconds zone {zone} gets no new requests')
)
def gets_no_requests(world: World, limit: int, zone: str) -> None:
    pairs = world.running.of_zone(zone)

    def is_quiet() -> bool:
        idle = min(pair.target_stats()['idle_seconds'] for pair in pairs)
        return idle > QUIET_SECONDS

    wait_until(is_quiet, limit + QUIET_SECONDS)
    before = [requests(pair) for pair in pairs]
    sleep(2)
    assert [requests(pair) for pair in pairs] == before
