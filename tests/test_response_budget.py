"""Tests of the limit on what all incomplete responses take together.

Each may be within its own limit, and all of them fill the node's memory.
"""

from __future__ import annotations

import gc
import weakref
from types import SimpleNamespace

from bluebellsill.http_exchange import ResponseRules
from bluebellsill.response_budget import ResponseBudget, capacity_of_vm
from bluebellsill.response_reader import ResponseReader


class _Holder:
    """A connection that records why its response was dropped."""

    def __init__(self) -> None:
        self.reasons: list[str] = []

    def drop_response(self, reason: str) -> None:
        """Record the reason."""
        self.reasons.append(reason)


def test_largest_response_is_dropped_beyond_the_capacity() -> None:
    budget = ResponseBudget(100)
    small, large, late = _Holder(), _Holder(), _Holder()
    budget.hold(small, 10)
    budget.hold(large, 60)
    budget.hold(late, 30)
    assert budget.dropped == 0
    budget.hold(late, 31)
    assert budget.dropped == 1
    assert not small.reasons
    assert not late.reasons
    assert '101 bytes, this one 60' in large.reasons[0]
    budget.hold(late, 90)
    assert budget.dropped == 1


def test_released_memory_is_available_again() -> None:
    budget = ResponseBudget(100)
    for _ in range(5):
        holder = _Holder()
        budget.hold(holder, 90)
        budget.release(holder)
        budget.release(holder)
        assert not holder.reasons


def test_small_vm_still_receives_a_few_large_responses() -> None:
    assert capacity_of_vm(300) == 75 * 1024 * 1024
    assert capacity_of_vm(10) == 16 * 1024 * 1024
    assert capacity_of_vm(None) == 64 * 1024 * 1024


def test_closed_reader_frees_its_memory_at_once() -> None:
    """The parser refers to it: only a collection of garbage would do so."""
    rules = ResponseRules(allows_body_until_close=True)
    reader = ResponseReader(rules, '', is_head=False, is_first=True)
    reader.feed(b'HTTP/1.1 200 OK\r\n\r\n' + b'x' * 100000)
    owner = SimpleNamespace(reader=reader)
    reference = weakref.ref(reader)
    del reader
    gc.disable()
    try:
        owner.reader.close()
        del owner
        assert reference() is None
    finally:
        gc.enable()
