"""State shared by the steps of a scenario with real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from demo.harness import Deployment, Pair, wait_until
from tests.callers import Callers, Outcome, call

if TYPE_CHECKING:
    from bluebellsill.operator_client import ApiError

MAX_WAIT = 30.0  # seconds
QUIET_SECONDS = 1.0  # without new requests, after which a target is idle
# Seconds after the start of a deployment until its nodes accept idempotency
# keys as new.
KEY_GRACE_SECONDS = 5.0
_FIRST_ANSWERS = 50  # complete ones, until callers count as running


class World:
    """State shared by the steps of one scenario."""

    def __init__(self, running: Deployment) -> None:
        self.running = running
        self.callers: Callers | None = None
        self.outcomes: list[Outcome] = []
        self.revision = 0
        self.key = ''
        self.path = ''
        self.api_errors: list[ApiError] = []
        self.stopped_process: Any = None
        self.new_pair: Pair | None = None

    def of_zone(self, zone: str) -> Pair:
        """Return the first pair of a zone."""
        return self.running.of_zone(zone)[0]

    def operator_pair(self) -> Pair:
        """Return a pair whose node is running, for operator requests."""
        return self.running.pairs[0]

    def all_outcomes(self) -> list[Outcome]:
        """Stop the callers; return the outcomes of all calls so far."""
        if self.callers is not None:
            self.callers.stop()
            self.outcomes += self.callers.outcomes
            self.callers = None
        return self.outcomes

    def start(
        self,
        count: int,
        zones: str,
        behaviour: dict[str, Any] | None = None,
    ) -> None:
        """Start bookings targets round-robin over the zones; declare them."""
        names = zones.split(', ')
        places = [
            (names[index % len(names)], 'bookings') for index in range(count)
        ]
        self.running.start_pairs(places, behaviour or {})
        self.running.declare({'bookings': {'expected_targets': count}})

    def start_callers(self, path: str, **options: Any) -> Callers:
        """Start callers of all nodes and wait for the first answers."""
        entries = [pair.callers for pair in self.running.pairs]
        callers = Callers(entries, path, **options)
        self.callers = callers
        wait_until(lambda: callers.kinds()['whole'] >= _FIRST_ANSWERS, MAX_WAIT)
        return callers

    def take_out_of_service(self, zone: str) -> None:
        """Take an availability zone out of service, as an operator."""
        client = self.operator_pair().client()
        change = client.put('availability-zones', zone, {'in_service': False})
        self.revision = change['revision']

    def remove_entry(self, pair: Pair) -> None:
        """Stop callers from using the node of a pair as their entry."""
        if self.callers is not None:
            self.callers.entries.remove(pair.callers)

    def count(self, name: str) -> int:
        """Return the sum of one counter over all targets."""
        targets = [pair for pair in self.running.pairs if pair.target]
        stats = [pair.target_stats()['counts'] for pair in targets]
        return sum(int(counts.get(name, 0)) for counts in stats)


def requests(pair: Pair) -> int:
    """Return how many requests the target of a pair has received."""
    return int(pair.target_stats()['counts'].get('requests', 0))


def pay(key: str, entry: str, path: str = '/bookings/pay') -> Outcome:
    """Send one payment; its order is named like its idempotency key."""
    return call(entry, path, method='POST', key=key, order=key)
