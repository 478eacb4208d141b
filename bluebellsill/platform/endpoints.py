"""HTTP endpoints of a node for the platform and its target."""

from __future__ import annotations

from http import HTTPStatus
from importlib import import_module
from time import time
from typing import TYPE_CHECKING, Annotated, Literal
from urllib.parse import parse_qs

from msgspec import Meta, Struct
from result import Err

from bluebellsill.announcement import Announcement
from bluebellsill.decoding import WireInteger, decode_json
from bluebellsill.http import Request, Response, json_response
from bluebellsill.logs import get_logger
from bluebellsill.platform.headers import CREDENTIALS
from bluebellsill.target_reports import Departure, TargetReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.explain import Explainer
    from bluebellsill.http_server import Reply
    from bluebellsill.metrics import Metrics

__all__ = (
    'EXPLAIN_PATH',
    'HOST_FIELD',
    'METRICS_PATH',
    'PATH_FIELD',
    'READY_PATH',
    'REPORT_PREFIX',
    'ExplainApi',
    'Info',
    'MetricsApi',
    'ReadyApi',
    'Report',
    'Status',
    'TargetReportApi',
)

EXPLAIN_PATH = '/explain'
METRICS_PATH = '/metrics'
READY_PATH = '/ready'
REPORT_PREFIX = '/instances/'
# Fields of the query of an explanation; the key is in a header, because queries
# get into histories and logs.
HOST_FIELD = 'host'
PATH_FIELD = 'path'
_MAX_QUERY_FIELDS = 8  # more than are known
_MS_PER_SECOND = 1000
_MAX_SLOTS = 100000  # more than any server has; rejects corrupt reports
_MAX_COLD_MS = 3_600_000  # an hour; rejects corrupt reports
# Milliseconds. A start that lies further in the future cannot be explained by
# clocks that differ; it would make all true reports look outdated.
_MAX_CLOCK_SKEW_MS = 86_400_000
_DRAINING = 'draining'
_CONTENT_TYPE = ('content-type', 'text/plain; version=0.0.4')


class Info(Struct, frozen=True):
    """The properties of a target that are fixed while its process runs."""

    service: str
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]


class Status(Struct, frozen=True):
    """The current state of a target.

    Attributes:
        state: Whether the target accepts new requests.
        sequence: The number of this report since the process started.
        cold_left_ms: How long the target stays cold, in milliseconds.
    """

    state: Literal['ready', 'draining']
    sequence: WireInteger
    cold_left_ms: Annotated[float, Meta(ge=0, le=_MAX_COLD_MS)] = 0


class Report(Struct, frozen=True):
    """One report; ``born`` is the process start time in Unix milliseconds."""

    address: str
    info: Info
    status: Status
    born: WireInteger = 0


class _DepartureBody(Struct, frozen=True):
    """The optional body of a departure message; see ``Report``."""

    born: WireInteger = 0


class TargetReportApi:
    """Receives the reports of the target that the node serves."""

    def __init__(
        self,
        service: str,
        address: str,
        on_report: Callable[[TargetReport], None],
        on_departure: Callable[[Departure], None],
    ) -> None:
        """Create an API that accepts reports of one target only.

        Args:
            service: The service of that target.
            address: The address at which that target serves requests.
            on_report: Called with each valid report.
            on_departure: Called when the target announces its departure.
        """
        self._service = service
        self._address = address
        self._on_report = on_report
        self._on_departure = on_departure
        self._log = get_logger('reports')

    def handle(self, request: Request, reply: Reply) -> None:
        """Handle a report or a departure; 404 if the path names no target."""
        path = request.path.partition('?')[0]
        name = path.removeprefix(REPORT_PREFIX)
        if path.startswith(REPORT_PREFIX) and name:
            self._dispatch(name, request, reply)
        else:
            reply.send(Response(HTTPStatus.NOT_FOUND))

    def _dispatch(self, name: str, request: Request, reply: Reply) -> None:
        if request.method == 'PUT':
            self._accept_report(name, request.body, reply)
        elif request.method == 'DELETE':
            self._accept_departure(name, request.body, reply)
        else:
            reply.send(Response(HTTPStatus.METHOD_NOT_ALLOWED))

    def _accept_report(self, name: str, body: bytes, reply: Reply) -> None:
        decoded = decode_json(body, Report)
        if isinstance(decoded, Err):
            self._reject(name, decoded.err_value, reply)
            return
        report = decoded.ok_value
        if _is_in_future(report.born):
            reason = f'start time {report.born} lies in the future'
            self._reject(name, reason, reply)
            return
        found = (report.info.service, report.address)
        if found != (self._service, self._address):
            self._reject(name, f'not the target of this node: {found}', reply)
            return
        self._on_report(_to_target_report(name, report))
        reply.send(json_response(HTTPStatus.OK, {}))

    def _accept_departure(self, name: str, body: bytes, reply: Reply) -> None:
        decoded = decode_json(body or b'{}', _DepartureBody)
        if isinstance(decoded, Err):
            self._reject(name, decoded.err_value, reply)
            return
        born_ms = decoded.ok_value.born
        if _is_in_future(born_ms):
            reason = f'start time {born_ms} lies in the future'
            self._reject(name, reason, reply)
            return
        self._on_departure(Departure(name, born_ms))
        reply.send(json_response(HTTPStatus.OK, {}))

    def _reject(self, name: str, reason: str, reply: Reply) -> None:
        self._log.warning('report refused', name=name, reason=reason)
        reply.send(json_response(HTTPStatus.BAD_REQUEST, {'reason': reason}))


class ReadyApi:
    """Reports to the platform whether the node accepts callers."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Create an API that responds according to ``is_ready``."""
        self._is_ready = is_ready

    def handle(self, request: Request, reply: Reply) -> None:
        """Respond with 200 if the node is ready, else with 503."""
        if request.path == READY_PATH:
            is_ready = self._is_ready()
            reply.send(
                Response(
                    HTTPStatus.OK
                    if is_ready
                    else HTTPStatus.SERVICE_UNAVAILABLE,
                ),
            )
        else:
            reply.send(Response(HTTPStatus.NOT_FOUND))


class ExplainApi:
    """Tells what the node would do with a request, as JSON."""

    def __init__(self, explainer: Explainer) -> None:
        """Create an API that asks an explainer."""
        self._explainer = explainer

    def handle(self, request: Request, reply: Reply) -> None:
        """Respond with the explanation of the request in the query."""
        if request.method != 'GET':
            reply.send(Response(HTTPStatus.METHOD_NOT_ALLOWED))
            return
        host, path = _explained(request.path.partition('?')[2])
        if not host or not path.startswith('/'):
            reason = f'{HOST_FIELD} and {PATH_FIELD} are required'
            reply.send(
                json_response(HTTPStatus.BAD_REQUEST, {'reason': reason})
            )
            return
        keys = [pair for pair in request.headers if pair[0] == CREDENTIALS]
        explained = Request('GET', path, [('host', host), *keys])
        explanation = self._explainer.explain(explained)
        reply.send(json_response(HTTPStatus.OK, explanation))


class MetricsApi:
    """Serves the metrics in the Prometheus text format, and explanations."""

    def __init__(
        self, metrics: Metrics, explain_api: ExplainApi | None = None
    ) -> None:
        """Create an API that serves the metrics of one node.

        Args:
            metrics: The metrics.
            explain_api: Serves explanations; None without them.
        """
        self._metrics = metrics
        self._explain_api = explain_api

    def handle(self, request: Request, reply: Reply) -> None:
        """Respond with all metrics, or with an explanation."""
        path = request.path.partition('?')[0]
        if path == EXPLAIN_PATH and self._explain_api is not None:
            self._explain_api.handle(request, reply)
            return
        if request.path != METRICS_PATH:
            reply.send(Response(HTTPStatus.NOT_FOUND))
            return
        body = _render(self._metrics)
        reply.send(Response(HTTPStatus.OK, [_CONTENT_TYPE], body))


def _explained(query: str) -> tuple[str, str]:
    """Return the host and the path in a query, empty if they are absent."""
    try:
        fields = parse_qs(
            query, encoding='latin-1', max_num_fields=_MAX_QUERY_FIELDS
        )
    except ValueError:
        return '', ''
    host = fields.get(HOST_FIELD, [''])[0]
    return host, fields.get(PATH_FIELD, [''])[0]


def _render(metrics: Metrics) -> bytes:
    """Return the metrics in the Prometheus text format.

    The library is imported on first use: importing it takes a tenth of a
    node's start time, and callers wait until the node has started.
    """
    module = import_module('bluebellsill.exposition')
    text: bytes = module.exposition(metrics)
    return text


def _is_in_future(born_ms: int) -> bool:
    return born_ms > time() * _MS_PER_SECOND + _MAX_CLOCK_SKEW_MS


def _to_target_report(name: str, report: Report) -> TargetReport:
    return TargetReport(
        name,
        report.born,
        report.status.sequence,
        Announcement(
            report.info.service,
            report.address,
            f'{name}/{report.born}',
            is_leaving=report.status.state == _DRAINING,
            slots=report.info.slots,
            cold_seconds=report.status.cold_left_ms / _MS_PER_SECOND,
            name=name,
            target_version=report.info.version,
        ),
    )
