"""What the steps of one scenario with real processes share."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from demo.harness import Deployment, Pair, wait_until
from tests.callers import Callers, Outcome, call

if TYPE_CHECKING:
    from bluebellsill.operator_client import ApiError

MAX_WAIT = 30.0  # seconds
QUIET = 1.0  # seconds without new work
CERTAIN = 5.0  # seconds until keys of a new deployment are certain
_FIRST = 50  # answers


class World:
    """What the steps of one scenario share."""

    def __init__(self, running: Deployment) -> None:
        self.running = running
        self.callers: Callers | None = None
        self.outcomes: list[Outcome] = []
        self.revision = 0
        self.key = ''
        self.path = ''
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

    def start(
        self,
        count: int,
        zones: str,
        behaviour: dict[str, Any] | None = None,
    ) -> None:
        """Start bookings targets, the zones in turn, and declare them."""
        names = zones.split(', ')
        places = [(names[one % len(names)], 'bookings') for one in range(count)]
        self.running.start_pairs(places, behaviour or {})
        self.running.declare({'bookings': {'expected_targets': count}})

    def start_callers(self, path: str, **options: Any) -> Callers:
        """Start callers at all nodes and wait for their first answers."""
        entries = [pair.callers for pair in self.running.pairs]
        callers = Callers(entries, path, **options)
        self.callers = callers
        wait_until(lambda: callers.kinds()['whole'] >= _FIRST, MAX_WAIT)
        return callers

    def take_out(self, zone: str) -> None:
        """Take an availability zone out as an operator."""
        client = self.operator().client()
        change = client.put('availability-zones', zone, {'in_service': False})
        self.revision = change['revision']

    def remove_entry(self, pair: Pair) -> None:
        """Let callers use the other entry nodes only."""
        if self.callers is not None:
            self.callers.entries.remove(pair.callers)

    def count(self, name: str) -> int:
        """Return what all targets together counted."""
        targets = [pair for pair in self.running.pairs if pair.target]
        stats = [pair.target_stats()['counts'] for pair in targets]
        return sum(int(counts.get(name, 0)) for counts in stats)


def requests(pair: Pair) -> int:
    """Return how many requests the target of a pair has got."""
    return int(pair.target_stats()['counts'].get('requests', 0))


def pay(key: str, entry: str, path: str = '/bookings/pay') -> Outcome:
    """Pay once with a key, whose order has the same name."""
    return call(entry, path, method='POST', key=key, order=key)
