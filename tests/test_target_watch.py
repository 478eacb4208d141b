"""A crash is told whatever shows it: a refusal, silence or a restart."""

from __future__ import annotations

from collections.abc import Iterator
from math import ceil
from socket import create_server
from types import SimpleNamespace

import pytest

from bluebellsill._connect_check import HOLD
from bluebellsill.announcement import Announcement
from bluebellsill.clock import ManualClock
from bluebellsill.http import Response
from bluebellsill.metrics import Metrics
from bluebellsill.reactor import Source
from bluebellsill.resources import Service
from bluebellsill.streams import Address
from bluebellsill.target_dialect import OwnDialect
from bluebellsill.target_watch import TargetWatch
from bluebellsill.timers import TimerService


class Owner:
    """Notes what it is told."""

    def __init__(self) -> None:
        self.crashes: list[list[int]] = []
        self.cold = 0
        self.changes = 0

    def service_of(self, name: str) -> Service:
        """Return the same service for each name."""
        return Service()

    def on_target_cold(self) -> None:
        """Count."""
        self.cold += 1

    def on_target_changed(self) -> None:
        """Count."""
        self.changes += 1

    def on_target_temperature(self, cold_until: float) -> None:
        """Ignore what the target says of being cold."""

    def on_probed(self, response: Response) -> None:
        """Ignore what else a probe tells."""

    def on_found(self, announcement: Announcement) -> None:
        """Ignore a target that was looked for."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Note the fingerprints."""
        self.crashes.append(fingerprints)


class Setting:
    """A watch over a target that never answers a socket."""

    def __init__(self) -> None:
        # It accepts connections, so that no refusal shows a crash.
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
            OwnDialect(),
        )
        self.has_crashed: list[bool] = []

    def announce(self, start_id: str, *, is_leaving: bool = False) -> None:
        """Announce a start of the target."""
        self.watch.announce(
            Announcement('s', str(self.address), start_id, is_leaving),
        )

    def lose(self, *fingerprints: int) -> None:
        """Lose a connection with requests in flight."""
        self.watch.on_loss([*fingerprints], self.has_crashed.append)

    def let_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(ceil(seconds * 10)):
            self.clock.advance(0.1)
            self.timers.run_due()


@pytest.fixture
def setting() -> Iterator[Setting]:
    setting = Setting()
    setting.announce('one')
    yield setting
    setting.listener.close()


def test_crash_is_told_when_announcements_lapse(setting: Setting) -> None:
    setting.lose(7, 8)
    setting.let_pass(4)
    assert setting.owner.crashes == [[7, 8]]
    assert not setting.watch.is_ready


def test_crash_is_told_when_the_target_has_restarted(setting: Setting) -> None:
    setting.lose(7)
    setting.announce('two')
    assert setting.owner.crashes == [[7]]
    assert setting.owner.cold == 2


def test_crash_is_told_once(setting: Setting) -> None:
    setting.lose(7)
    setting.let_pass(4)
    setting.announce('two')
    assert setting.owner.crashes == [[7]]


def test_listener_that_closes_late_shows_a_crash(setting: Setting) -> None:
    setting.lose(7)
    (check,) = setting.sources
    check.on_writable()
    assert setting.owner.crashes == []
    assert setting.has_crashed == []
    setting.listener.close()
    check.on_readable()
    assert setting.owner.crashes == [[7]]
    assert setting.has_crashed == [True]


def test_living_target_is_told_after_a_moment(setting: Setting) -> None:
    setting.lose(7)
    setting.lose(8)
    assert setting.has_crashed == []
    setting.let_pass(HOLD)
    assert setting.has_crashed == [False, False]
    assert setting.owner.crashes == []
    assert setting.watch.is_ready


def test_check_of_a_former_start_says_nothing_of_the_next(
    setting: Setting,
) -> None:
    setting.lose(7)
    setting.announce('two')
    assert setting.has_crashed == [True]
    assert setting.sources == []
    setting.let_pass(HOLD)
    assert setting.watch.is_ready


def test_old_losses_are_no_crash(setting: Setting) -> None:
    setting.lose(7)
    for _ in range(20):
        setting.let_pass(0.5)
        setting.announce('one')
        setting.watch.on_answer()
    setting.announce('two')
    assert setting.owner.crashes == []


def test_leaving_target_is_not_ready(setting: Setting) -> None:
    setting.announce('one', is_leaving=True)
    assert not setting.watch.is_ready
    assert setting.owner.changes == 2
