"""Headers with numbers that cannot be are read as not stated."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from bluebellsill.filters import DeadlineFilter
from bluebellsill.http import Request, Response
from bluebellsill.platform.headers import COLD_LEFT, LOAD
from bluebellsill.platform.target_dialect import PlatformDialect


@pytest.mark.parametrize('number', ['9' * 400, '9' * 5000, '-1', '２', '1e9'])
def test_odd_numbers_in_headers_of_a_target_are_not_stated(number: str) -> None:
    dialect = PlatformDialect()
    headers = [(COLD_LEFT, number), (LOAD, f'1,1,{number},{number}')]
    response = Response(200, headers, b'')
    assert dialect.slowness(response) is None
    health = dialect.health(response)
    assert (health.slots, health.cold_seconds) == (0, None)


@pytest.mark.parametrize('number', ['9' * 20, '9' * 400, '9' * 5000])
def test_long_deadline_of_a_caller_is_that_of_the_route(number: str) -> None:
    inbound: Any = SimpleNamespace(
        request=Request('GET', '/', [('deadline', number)], b''),
        route=SimpleNamespace(timeout=2.0),
        received_at=5.0,
    )
    DeadlineFilter(lambda: 5.0, 'deadline').apply(inbound).unwrap()
    assert inbound.deadline == 7.0
    assert inbound.caller_deadline >= 7.0
