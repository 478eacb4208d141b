"""Watches the store where this node is a reader of its zone."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import DecodeError, ValidationError, json
from result import Err, Result

from bluebellsill.change_records import ConfigurationError, Head
from bluebellsill.logs import get_logger
from bluebellsill.rollout import readers_of
from bluebellsill.writer import HEAD_KEY, ConfigurationWriter

if TYPE_CHECKING:
    from random import Random

    from bluebellsill.membership import Members
    from bluebellsill.store import StoreFailure, Versioned
    from bluebellsill.swim import Swim

__all__ = ('SEEDS_KEY', 'ConfigurationReader')

SEEDS_KEY = 'members/seeds'
CHECK_PERIOD = 1.0  # seconds
_WATCH_SECONDS = 25.0  # seconds, below the longest wait of the store
_MIN_BACKOFF = 0.2  # seconds
_MAX_BACKOFF = 5.0  # seconds
_SEEDS_PERIOD = 30.0  # seconds
_SEEDS_PER_ZONE = 3  # nodes; one of them is likely to live
_MIN_CONFLICT_WAIT = 0.05  # seconds
_MAX_CONFLICT_WAIT = 0.5  # seconds
_MAX_SEEDS = 96  # nodes in all zones


class ConfigurationReader:
    """Keeps a watch on the store and the list of seeds in it.

    Only the readers of an availability zone watch, so the calls of the
    store grow with the zones and not with the nodes. A node that has
    just started reads the store once, to meet the others.
    """

    def __init__(
        self,
        writer: ConfigurationWriter,
        members: Members,
        swim: Swim,
        random: Random,
    ) -> None:
        """Create a reader; ``start`` begins its work."""
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
        """Read the store once and go on as a reader if chosen."""
        timers = self._writer.timers
        timers.every(CHECK_PERIOD, self._check)
        timers.every(_SEEDS_PERIOD, self._refresh_seeds)
        self._read_seeds()
        self._writer.store.get(HEAD_KEY, self._on_read)

    def stop(self) -> None:
        """Start no more calls."""
        self._is_stopped = True

    @property
    def is_reader(self) -> bool:
        """Whether this node watches the store for its zone."""
        own = self._members.own
        ids = [member.id for member in self._members.live_in_zone(own.zone)]
        return own.id in readers_of(own.zone, ids)

    def _check(self) -> None:
        if self._is_watching or self._is_stopped or not self.is_reader:
            return
        self._is_watching = True
        self._writer.store.watch(
            HEAD_KEY,
            self._version,
            _WATCH_SECONDS,
            self._on_watched,
        )

    def _on_watched(self, done: Result[Versioned, StoreFailure]) -> None:
        self._is_watching = False
        if isinstance(done, Err):
            self._log.warning('watch failed', reason=done.err_value.reason)
            self._is_watching = True
            self._writer.timers.after(self._take_backoff(), self._end_wait)
            return
        self._backoff = _MIN_BACKOFF
        self._on_read(done)
        self._check()

    def _end_wait(self) -> None:
        self._is_watching = False
        self._check()

    def _take_backoff(self) -> float:
        backoff = self._backoff
        self._backoff = min(_MAX_BACKOFF, 2 * backoff)
        return backoff * self._random.uniform(0.5, 1)

    def _on_read(self, done: Result[Versioned, StoreFailure]) -> None:
        if isinstance(done, Err):
            self._log.warning('read failed', reason=done.err_value.reason)
            return
        record = done.ok_value
        if not record.version:
            return
        try:
            head = Head.decode(record.payload)
        except ConfigurationError as error:
            self._log.error('head record ignored', reason=str(error))
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
        self._writer.store.get(SEEDS_KEY, self._on_seeds)

    def _refresh_seeds(self) -> None:
        if not self._is_stopped and self.is_reader:
            self._read_seeds()

    def _on_seeds(self, done: Result[Versioned, StoreFailure]) -> None:
        if isinstance(done, Err):
            delay = self._take_backoff()
            if len(self._members.by_id) == 1 and not self._is_stopped:
                self._writer.timers.after(delay, self._read_seeds)
            return
        record = done.ok_value
        seeds = _decode_seeds(record.payload)
        self._swim.seeds = list({*self._swim.seeds, *seeds})
        wanted = self._wanted_seeds(seeds)
        if wanted == seeds or self._is_stopped:
            return
        self._writer.store.put(
            SEEDS_KEY,
            json.encode(wanted),
            record.version,
            self._on_seeds_written,
        )

    def _on_seeds_written(self, done: Result[int, StoreFailure]) -> None:
        if isinstance(done, Err) and done.err_value.is_conflict:
            delay = self._random.uniform(_MIN_CONFLICT_WAIT, _MAX_CONFLICT_WAIT)
            self._writer.timers.after(delay, self._read_seeds)

    def _wanted_seeds(self, seeds: dict[str, str]) -> dict[str, str]:
        """Return the seeds without the dead, with this node if needed."""
        own = self._members.own
        by_id = self._members.by_id
        live = {member.id for member in self._members.live()}
        kept = {
            seed: zone
            for seed, zone in seeds.items()
            # A seed that was never met may belong to the other side.
            if seed in live or seed not in by_id
        }
        in_zone = [zone for zone in kept.values() if zone == own.zone]
        if len(in_zone) < _SEEDS_PER_ZONE and len(kept) < _MAX_SEEDS:
            kept[own.id] = own.zone
        return kept


def _decode_seeds(payload: bytes) -> dict[str, str]:
    if not payload:
        return {}
    try:
        return json.decode(payload, type=dict[str, str])
    except (DecodeError, ValidationError):
        return {}
