"""Tests crash detection and readiness of the target watch.

A lost connection counts as a crash if the target then refuses connections,
stops announcing itself or announces a new start.
"""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from socket import create_server
from types import SimpleNamespace

import pytest

from bluebellsill._connect_check import HOLD_SECONDS
from bluebellsill.announcement import Announcement
from bluebellsill.clock import ManualClock
from bluebellsill.http import Response
from bluebellsill.metrics import Metrics
from bluebellsill.reactor import Source
from bluebellsill.resources import Service
from bluebellsill.streams import Address
from bluebellsill.target_dialect import NativeDialect
from bluebellsill.target_watch import TargetWatch
from bluebellsill.timers import TimerService


class Owner:
    """Records the events of the watch."""

    def __init__(self) -> None:
        self.crashes: list[list[int]] = []
        self.cold = 0
        self.changes = 0

    def service_of(self, name: str) -> Service:
        """Return a service with default settings for every name."""
        return Service()

    def on_target_reset(self) -> None:
        """Count the event."""
        self.cold += 1

    def on_target_changed(self) -> None:
        """Count the event."""
        self.changes += 1

    def on_cold_until(self, cold_until: float) -> None:
        """Ignore the event."""

    def on_probed(self, response: Response, sent_at: float) -> None:
        """Ignore the event."""

    def on_target_discovered(self, announcement: Announcement) -> None:
        """Ignore the event."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Record the fingerprints."""
        self.crashes.append(fingerprints)


class WatchHarness:
    """A watch of a target that accepts connections but never answers."""

    def __init__(self) -> None:
        # The listener accepts connections, so no refusal reveals a crash.
        self.listener = create_server(('127.0.0.1', 0))
        self.address = Address(*self.listener.getsockname())
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.owner = Owner()
        self.sources: list[Source] = []
        reactor = SimpleNamespace(
            timers=self.timers,
            add=lambda source, **__: self.sources.append(source),
            want_write=lambda *_, **__: None,
            remove=self.sources.remove,
        )
        self.watch = TargetWatch(
            reactor,
            self.owner,
            Metrics(),
            NativeDialect(),
        )
        self.has_crashed: list[bool] = []

    def announce(self, start_id: str, *, is_leaving: bool = False) -> None:
        """Announce the target with the given start id."""
        self.watch.announce(
            Announcement('s', str(self.address), start_id, is_leaving),
        )

    def lose(self, *fingerprints: int) -> None:
        """Report a lost connection with requests in flight."""
        self.watch.on_loss([*fingerprints], self.has_crashed.append)

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the timers that are due."""
        for _ in range(ceil(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()


@pytest.fixture
def harness() -> Iterator[WatchHarness]:
    harness = WatchHarness()
    harness.announce('one')
    yield harness
    harness.listener.close()


def test_crash_is_reported_when_announcements_expire(
    harness: WatchHarness,
) -> None:
    harness.lose(7, 8)
    harness.advance(4)
    assert harness.owner.crashes == [[7, 8]]
    assert not harness.watch.is_ready


def test_crash_is_reported_when_the_target_has_restarted(
    harness: WatchHarness,
) -> None:
    harness.lose(7)
    harness.announce('two')
    assert harness.owner.crashes == [[7]]
    assert harness.owner.cold == 2


def test_crash_is_reported_once(harness: WatchHarness) -> None:
    harness.lose(7)
    harness.advance(4)
    harness.announce('two')
    assert harness.owner.crashes == [[7]]


def test_listener_that_closes_late_reveals_a_crash(
    harness: WatchHarness,
) -> None:
    harness.lose(7)
    (check,) = harness.sources
    check.on_writable()
    assert harness.owner.crashes == []
    assert harness.has_crashed == []
    harness.listener.close()
    check.on_readable()
    assert harness.owner.crashes == [[7]]
    assert harness.has_crashed == [True]


def test_no_crash_is_reported_if_the_connection_check_succeeds(
    harness: WatchHarness,
) -> None:
    harness.lose(7)
    harness.lose(8)
    assert harness.has_crashed == []
    harness.advance(HOLD_SECONDS)
    assert harness.has_crashed == [False, False]
    assert harness.owner.crashes == []
    assert harness.watch.is_ready


def test_connection_check_is_cancelled_when_the_target_restarts(
    harness: WatchHarness,
) -> None:
    harness.lose(7)
    harness.announce('two')
    assert harness.has_crashed == [True]
    assert harness.sources == []
    harness.advance(HOLD_SECONDS)
    assert harness.watch.is_ready


def test_old_losses_do_not_count_as_a_crash(harness: WatchHarness) -> None:
    harness.lose(7)
    for _ in range(20):
        harness.advance(0.5)
        harness.announce('one')
        harness.watch.on_answer()
    harness.announce('two')
    assert harness.owner.crashes == []


def test_leaving_target_is_not_ready(harness: WatchHarness) -> None:
    harness.announce('one', is_leaving=True)
    assert not harness.watch.is_ready
    assert harness.owner.changes == 2
