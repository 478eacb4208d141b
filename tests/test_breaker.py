"""Tests of the circuit breaker of a target."""

from __future__ import annotations

from bluebellsill.breaker import Breaker


def _fail(breaker: Breaker, times: int, now: float = 1) -> None:
    for _ in range(times):
        breaker.on_failure(now)


def test_opens_after_consecutive_failures() -> None:
    breaker = Breaker()
    _fail(breaker, 5)
    assert breaker.allows_request(1)
    _fail(breaker, 1)
    assert breaker.is_open
    assert not breaker.allows_request(1.2)


def test_successes_keep_it_closed_and_share_shows_failures() -> None:
    breaker = Breaker()
    for _ in range(20):
        _fail(breaker, 2)
        breaker.on_success(1)
    assert not breaker.is_open
    assert 0.5 < breaker.failure_share(1) < 0.8
    assert breaker.failure_share(8) < 0.1


def test_trials_back_off_and_a_success_closes_it() -> None:
    breaker = Breaker()
    _fail(breaker, 6, 0)
    allowed = 0
    for step in range(1000):
        now = step / 100
        if breaker.allows_request(now):
            allowed += 1
            breaker.on_failure(now)
    assert 3 <= allowed <= 8
    breaker.on_success(10)
    assert not breaker.is_open
    assert breaker.allows_request(10)


def test_reset_closes_it_and_clears_the_share() -> None:
    breaker = Breaker()
    _fail(breaker, 9)
    breaker.reset()
    assert breaker.allows_request(1)
    assert breaker.failure_share(1) == 0
