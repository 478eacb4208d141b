"""Store watch of the nodes that are readers of their availability zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import json
from result import Err, Result

from bluebellsill.change_records import ConfigurationError, Head
from bluebellsill.configuration_writer import HEAD_KEY, ConfigurationWriter
from bluebellsill.decoding import decode_json
from bluebellsill.logs import get_logger
from bluebellsill.rollout import readers_of

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.store import StoreFailure, VersionedRecord
    from bluebellsill.swim import Swim

__all__ = ('SEEDS_KEY', 'ConfigurationReader')

SEEDS_KEY = 'members/seeds'
CHECK_PERIOD = 1.0  # seconds between checks of the reader role
_WATCH_WAIT = 25.0  # seconds; below the maximum wait of the store
_MIN_BACKOFF = 0.2  # seconds
_MAX_BACKOFF = 5.0  # seconds
_SEEDS_REFRESH_PERIOD = 30.0  # seconds
_SEEDS_PER_ZONE = 3  # nodes; at least one of them is likely to be alive
_MIN_CONFLICT_DELAY = 0.05  # seconds
_MAX_CONFLICT_DELAY = 0.5  # seconds
_MAX_SEEDS = 96  # nodes, over all zones


class ConfigurationReader:
    """Watches the configuration and maintains the seed list in the store.

    Only the readers of an availability zone watch the store, so that its
    load grows with the number of zones and not of nodes. Every node reads
    the store once when it starts, to discover its peers.
    """

    def __init__(
        self,
        writer: ConfigurationWriter,
        members: Members,
        swim: Swim,
        random: Random,
    ) -> None:
        """Create a reader; call ``start`` to activate it."""
        self._writer = writer
        self._members = members
        self._swim = swim
        self._random = random
        self._version = 0
        self._is_watching = False
        self._is_stopped = False
        self._backoff = _MIN_BACKOFF
        self._log = get_logger('reader')

    def start(self) -> None:
        """Read the store once, then watch it while this node is a reader."""
        timers = self._writer.timers
        timers.every(CHECK_PERIOD, self._watch_if_reader)
        timers.every(_SEEDS_REFRESH_PERIOD, self._refresh_seeds)
        self._read_seeds()
        self._writer.store.get(HEAD_KEY, self._on_head_read)

    def stop(self) -> None:
        """Stop sending store requests."""
        self._is_stopped = True

    @property
    def is_reader(self) -> bool:
        """Whether this node is a reader of its availability zone."""
        own = self._members.own
        ids = [member.id for member in self._members.live_in_zone(own.zone)]
        return own.id in readers_of(own.zone, ids)

    def _watch_if_reader(self) -> None:
        if self._is_watching or self._is_stopped or not self.is_reader:
            return
        self._is_watching = True
        self._writer.store.watch(
            HEAD_KEY,
            self._version,
            _WATCH_WAIT,
            self._on_watch_done,
        )

    def _on_watch_done(
        self, outcome: Result[VersionedRecord, StoreFailure]
    ) -> None:
        self._is_watching = False
        if isinstance(outcome, Err):
            self._log.warning(
                'store watch failed', reason=outcome.err_value.reason
            )
            self._is_watching = True
            self._writer.timers.after(
                self._next_backoff(), self._on_backoff_elapsed
            )
            return
        self._backoff = _MIN_BACKOFF
        self._on_head_read(outcome)
        self._watch_if_reader()

    def _on_backoff_elapsed(self) -> None:
        self._is_watching = False
        self._watch_if_reader()

    def _next_backoff(self) -> float:
        backoff = self._backoff
        self._backoff = min(_MAX_BACKOFF, 2 * backoff)
        return backoff * self._random.uniform(0.5, 1)

    def _on_head_read(
        self, outcome: Result[VersionedRecord, StoreFailure]
    ) -> None:
        if isinstance(outcome, Err):
            self._log.warning(
                'store read failed', reason=outcome.err_value.reason
            )
            return
        record = outcome.ok_value
        if not record.version:
            return
        try:
            head = Head.decode(record.payload)
        except ConfigurationError as error:
            self._log.error('invalid head record ignored', reason=str(error))
            return
        self._writer.catch_up(
            head,
            lambda caught_up: self._on_caught_up(
                record.version,
                caught_up=caught_up,
            ),
        )

    def _on_caught_up(self, version: int, *, caught_up: bool) -> None:
        if caught_up:
            self._version = version

    def _read_seeds(self) -> None:
        self._writer.store.get(SEEDS_KEY, self._on_seeds_read)

    def _refresh_seeds(self) -> None:
        if not self._is_stopped and self.is_reader:
            self._read_seeds()

    def _on_seeds_read(
        self, outcome: Result[VersionedRecord, StoreFailure]
    ) -> None:
        if isinstance(outcome, Err):
            delay = self._next_backoff()
            if len(self._members.by_id) == 1 and not self._is_stopped:
                self._writer.timers.after(delay, self._read_seeds)
            return
        record = outcome.ok_value
        seeds = _decode_seeds(record.payload)
        self._swim.seeds = list({*self._swim.seeds, *seeds})
        updated = self._updated_seeds(seeds)
        if updated == seeds or self._is_stopped:
            return
        self._writer.store.put(
            SEEDS_KEY,
            json.encode(updated),
            record.version,
            self._on_seeds_written,
        )

    def _on_seeds_written(self, outcome: Result[int, StoreFailure]) -> None:
        if isinstance(outcome, Err) and outcome.err_value.is_conflict:
            delay = self._random.uniform(
                _MIN_CONFLICT_DELAY, _MAX_CONFLICT_DELAY
            )
            self._writer.timers.after(delay, self._read_seeds)

    def _updated_seeds(self, seeds: dict[str, str]) -> dict[str, str]:
        """Drop dead seeds and add this node if its zone has too few."""
        own = self._members.own
        by_id = self._members.by_id
        live = {member.id for member in self._members.live()}
        kept = {
            seed: zone
            for seed, zone in seeds.items()
            # A seed that is not a known member may be alive on the other
            # side of a network partition.
            if seed in live or seed not in by_id
        }
        in_zone = [zone for zone in kept.values() if zone == own.zone]
        if len(in_zone) < _SEEDS_PER_ZONE and len(kept) < _MAX_SEEDS:
            kept[own.id] = own.zone
        return kept


def _decode_seeds(payload: bytes) -> dict[str, str]:
    if not payload:
        return {}
    decoded = decode_json(payload, dict[str, str])
    if isinstance(decoded, Err):
        get_logger('reader').warning(
            'seeds in the store ignored', reason=decoded.err_value
        )
        return {}
    return decoded.ok_value
