"""New tries of one request are told from new requests."""

from __future__ import annotations

from bluebellsill.repeats import Repeats


def test_new_try_counts_from_the_first_one() -> None:
    repeats = Repeats()
    repeats.on_unserved(7, 10.0, 8.0, 8.1)
    assert repeats.first_at(7, 10.02, 8.4) == 8.0
    repeats.on_unserved(7, 10.02, 8.0, 8.5)
    assert repeats.first_at(7, 9.99, 9.0) == 8.0


def test_equal_request_of_another_caller_is_new() -> None:
    """It has the same content, but its caller gives up at another time."""
    repeats = Repeats()
    repeats.on_unserved(7, 10.0, 8.0, 8.1)
    assert repeats.first_at(7, 10.4, 8.4) == 8.4
    assert repeats.first_at(6, 10.0, 8.4) == 8.4


def test_one_new_try_uses_up_one_request() -> None:
    repeats = Repeats()
    repeats.on_unserved(7, 10.0, 8.0, 8.1)
    repeats.first_at(7, 10.0, 8.4)
    assert repeats.first_at(7, 10.0, 8.5) == 8.5
    assert not len(repeats)


def test_memory_is_bounded() -> None:
    repeats = Repeats()
    for one in range(20000):
        now = one / 1000
        repeats.on_unserved(one, now + 1, now, now)
    assert len(repeats) <= 4096
    for one in range(20000):
        repeats.on_unserved(7, 1000, 20, 20)
    assert len(repeats) <= 4096
