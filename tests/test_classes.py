"""Tests of the classes of requests, which set the shedding priority."""

from __future__ import annotations

import pytest

from bluebellsill.resources import (
    Kind,
    Priority,
    RequestClass,
    Service,
    parse_spec,
)
from tests.node_session import NodeSession

_PAY = {'name': 'payments', 'path': '/bookings/pay', 'priority': 'critical'}


@pytest.mark.parametrize(
    ('path', 'name'),
    [
        ('/bookings/pay', 'payments'),
        ('/bookings/pay?ms=4', 'payments'),
        ('/bookings/pay/deposit', 'payments'),
        ('/bookings/payload', 'default'),
        ('/bookings', 'default'),
        ('/bookings/list/7', 'lists'),
    ],
)
def test_class_of_a_path(path: str, name: str) -> None:
    service = Service(
        priority=Priority.NORMAL,
        classes=(
            RequestClass('payments', '/bookings/pay', Priority.CRITICAL),
            RequestClass('lists', '/bookings/list/', Priority.BROWSE),
        ),
    )
    assert service.class_of(path).name == name


def test_first_matching_class_is_used() -> None:
    service = Service(
        classes=(
            RequestClass('one', '/s/a', Priority.BROWSE),
            RequestClass('two', '/s/a/b', Priority.CRITICAL),
        ),
    )
    assert service.class_of('/s/a/b').name == 'one'


def test_every_fault_of_every_class_is_reported() -> None:
    wrong = [
        {'name': 'Payments', 'path': '/bookings/pay', 'weight': 2},
        _PAY,
        {'path': 'bookings', 'priority': 'urgent'},
    ]
    faults = parse_spec(Kind.SERVICE, 'bookings', {'classes': wrong}).err()
    assert {fault.key for fault in faults or []} == {
        'spec.classes[0].name',
        'spec.classes[0].weight',
        'spec.classes[2].name',
        'spec.classes[2].path',
        'spec.classes[2].priority',
    }


def test_call_has_priority_of_its_class(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    session = NodeSession(monkeypatch)
    session.declare(Kind.SERVICE, 'bookings', priority='browse', classes=[_PAY])
    session.add_target_node('10.0.0.2:1', 'bookings')
    session.call('coach', 'GET', '/bookings/list')
    assert 'priority=0' in session.lines[-1]
    session.call('secretary', 'POST', '/bookings/pay')
    assert 'priority=2' in session.lines[-1]
