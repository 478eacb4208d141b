"""Decoding of valid and invalid platform data by the adapter."""

from __future__ import annotations

import json
from typing import Any

import pytest

from bluebellsill.errors import ErrorKind
from bluebellsill.http import Request, Response
from bluebellsill.platform.endpoints import TargetReportApi
from bluebellsill.platform.routing_document import decode_plan
from bluebellsill.platform.target_dialect import PlatformDialect
from bluebellsill.target_reports import Departure, TargetReport

_RULE = {
    'name': 'r-1',
    'prefix': '/shop/',
    'route_type': 'non_idempotent',
    'timeout_ms': 1500,
    'target_latency_ms': 500,
    'priority': 2,
    'max_attempts': 3,
    'service': 'shop',
}


def _document(rule: dict[str, Any], **changes: Any) -> bytes:
    hosts = [{'hostname': 'a.example', 'path_rules': [rule]}]
    document = {'version': 'r12', 'services': [], 'virtual_hosts': hosts}
    return json.dumps(document | changes).encode()


def test_document_is_decoded_to_a_plan() -> None:
    service = {'name': 'shop', 'health_path': '/h', 'cold_per_s': 7.5, 'new': 1}
    plan = decode_plan(_document(_RULE, services=[service])).unwrap()
    route = plan.table.match('a.example', '/shop/x')
    assert route is not None
    assert plan.version == 12
    assert not route.is_idempotent
    assert (route.timeout, route.target_latency) == (1.5, 0.5)
    assert (route.max_sends, route.weighted_services[0].service) == (3, 'shop')
    urgent_plan = decode_plan(_document(_RULE | {'priority': 0})).unwrap()
    urgent_route = urgent_plan.table.match('a.example', '/shop/x')
    assert urgent_route is not None
    assert urgent_route.importance > route.importance
    assert plan.services_by_name['shop'].health_path == '/h'
    assert plan.services_by_name['shop'].cold_per_s == 7.5


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'{"version":"r1"',
        b'{"version":"1","virtual_hosts":[]}',
        b'[]',
        _document(_RULE | {'service': None}),
        _document(_RULE | {'timeout_ms': 'soon'}),
        _document(_RULE | {'prefix': 'shop'}),
        _document(_RULE | {'service': None, 'weighted_services': []}),
    ],
)
def test_invalid_document_is_rejected(payload: bytes) -> None:
    assert decode_plan(payload).is_err()


class _Reply:
    def __init__(self) -> None:
        self.status = 0

    def send(self, response: Response) -> None:
        self.status = int(response.status)


class _ReportReceiver:
    """An API with the reports and departures that it accepted."""

    def __init__(self) -> None:
        self.reports: list[TargetReport] = []
        self.departures: list[Departure] = []
        self.api = TargetReportApi(
            'shop',
            '10.0.0.1:80',
            self.reports.append,
            self.departures.append,
        )

    def send(self, method: str, path: str, body: bytes = b'') -> int:
        """Send a request and return the status of the response."""
        reply: Any = _Reply()
        self.api.handle(Request(method, path, [], body), reply)
        return int(reply.status)


def _report(**changes: Any) -> bytes:
    document = {
        'address': '10.0.0.1:80',
        'born': 1700,
        'info': {'service': 'shop', 'version': 'v1', 'zone': 'a', 'slots': 6},
        'status': {'state': 'ready', 'sequence': 4, 'cold_left_ms': 500},
    }
    return json.dumps(document | changes).encode()


def test_report_is_decoded_to_an_announcement() -> None:
    reports = _ReportReceiver()
    assert reports.send('PUT', '/instances/i-1', _report()) == 200
    report = reports.reports[0]
    assert (report.name, report.born_ms, report.sequence) == ('i-1', 1700, 4)
    assert report.announcement.slots == 6
    assert report.announcement.cold_seconds == 0.5
    assert reports.send('DELETE', '/instances/i-1') == 200
    assert reports.departures == [Departure('i-1', 0)]


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'\xff\xfe',
        b'[]',
        _report(address='10.0.0.9:80'),
        _report(address=7),
        _report(info={'service': 'shop'}),
        _report(status={'state': 'resting', 'sequence': 1}),
        _report(status={'state': 'ready', 'sequence': '1'}),
        _report(born=1.5),
        _report(
            info={'service': 'pay', 'version': 'v1', 'zone': 'a', 'slots': 6}
        ),
    ],
)
def test_invalid_report_is_rejected(body: bytes) -> None:
    reports = _ReportReceiver()
    assert reports.send('PUT', '/instances/i-1', body) == 400
    assert not reports.reports
    assert reports.send('PUT', '/instances/i-1', _report()) == 200


@pytest.mark.parametrize(
    ('status', 'headers', 'kind'),
    [
        (200, [], None),
        (500, [], None),
        (503, [], None),
        (503, [('bluebellsill-not-executed', '1')], ErrorKind.OVERLOADED),
        (429, [('bluebellsill-not-executed', '1')], ErrorKind.OVERLOADED),
        (421, [], ErrorKind.NO_TARGET),
    ],
)
def test_rejection_requires_header_or_misdirected_status(
    status: int, headers: list[tuple[str, str]], kind: ErrorKind | None
) -> None:
    assert PlatformDialect().rejection(Response(status, headers)) is kind


@pytest.mark.parametrize(
    ('text', 'factor', 'slots'),
    [
        ('3,0,6,500', 5, 6),
        ('3,0,6,100', 1, 6),
        ('3,0,6', None, 0),
        ('', None, 0),
        ('3,0,6,x', None, 0),
        ('3,0,6,-5', None, 0),
    ],
)
def test_invalid_load_header_is_ignored(
    text: str, factor: float | None, slots: int
) -> None:
    response = Response(200, [('bluebellsill-server-load', text)])
    dialect = PlatformDialect()
    assert dialect.slowness(response) == factor
    assert dialect.health(response).slots == slots
