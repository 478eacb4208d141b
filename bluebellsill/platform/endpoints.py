"""What the platform and its targets ask a node for."""

from __future__ import annotations

from http import HTTPStatus
from importlib import import_module
from typing import TYPE_CHECKING, Annotated, Literal

from msgspec import DecodeError, Meta, Struct, json

from bluebellsill.announcement import Announcement
from bluebellsill.http import Request, Response, json_response
from bluebellsill.logs import get_logger
from bluebellsill.target_reports import Departure, TargetReport

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.http_server import Reply
    from bluebellsill.metrics import Metrics

__all__ = (
    'METRICS_PATH',
    'READY_PATH',
    'REPORT_PREFIX',
    'Info',
    'MetricsApi',
    'ReadyApi',
    'Report',
    'Status',
    'TargetReportApi',
)

METRICS_PATH = '/metrics'
READY_PATH = '/ready'
REPORT_PREFIX = '/instances/'
_SECOND = 1000  # milliseconds
_MAX_SLOTS = 100000  # beyond any server; keeps a wrong report out
_LEAVING = 'draining'
_TEXT = ('content-type', 'text/plain; version=0.0.4')


class Info(Struct, frozen=True):
    """What does not change in a target's life."""

    service: str
    version: str
    zone: str
    slots: Annotated[int, Meta(ge=1, le=_MAX_SLOTS)]


class Status(Struct, frozen=True):
    """What changes.

    Attributes:
        state: Whether the target wants new work.
        sequence: Counts the reports of one life.
        cold_left_ms: How long the target stays cold.
    """

    state: Literal['ready', 'draining']
    sequence: Annotated[int, Meta(ge=0)]
    cold_left_ms: Annotated[float, Meta(ge=0)] = 0


class Report(Struct, frozen=True):
    """One report; ``born`` is when the life began, in Unix milliseconds."""

    address: str
    info: Info
    status: Status
    born: Annotated[int, Meta(ge=0)] = 0


class _Farewell(Struct, frozen=True):
    """The body of a farewell, where it has one."""

    born: Annotated[int, Meta(ge=0)] = 0


class TargetReportApi:
    """Takes in the reports of the target beside the node."""

    def __init__(
        self,
        service: str,
        address: str,
        on_report: Callable[[TargetReport], None],
        on_departure: Callable[[Departure], None],
    ) -> None:
        """Create an API that believes the reports of one target only.

        Args:
            service: The service of the target beside the node.
            address: Where that target answers.
            on_report: Called with each valid report.
            on_departure: Called with each farewell.
        """
        self._service = service
        self._address = address
        self._on_report = on_report
        self._on_departure = on_departure
        self._log = get_logger('reports')

    def handle(self, request: Request, reply: Reply) -> None:
        """Acknowledge a report, or refuse one that names no target."""
        path = request.path.partition('?')[0]
        name = path.removeprefix(REPORT_PREFIX)
        if path.startswith(REPORT_PREFIX) and name:
            self._serve(name, request, reply)
        else:
            reply.send(Response(HTTPStatus.NOT_FOUND))

    def _serve(self, name: str, request: Request, reply: Reply) -> None:
        if request.method == 'PUT':
            self._take(name, request.body, reply)
        elif request.method == 'DELETE':
            self._leave(name, request.body, reply)
        else:
            reply.send(Response(HTTPStatus.METHOD_NOT_ALLOWED))

    def _take(self, name: str, body: bytes, reply: Reply) -> None:
        try:
            report = json.decode(body, type=Report)
        except DecodeError as error:
            self._refuse(name, str(error), reply)
            return
        found = (report.info.service, report.address)
        if found != (self._service, self._address):
            self._refuse(name, f'not the target here: {found}', reply)
            return
        self._on_report(_decoded(name, report))
        reply.send(json_response(HTTPStatus.OK, {}))

    def _leave(self, name: str, body: bytes, reply: Reply) -> None:
        try:
            farewell = (
                json.decode(body, type=_Farewell) if body else _Farewell()
            )
        except DecodeError as error:
            self._refuse(name, str(error), reply)
            return
        self._on_departure(Departure(name, farewell.born))
        reply.send(json_response(HTTPStatus.OK, {}))

    def _refuse(self, name: str, reason: str, reply: Reply) -> None:
        self._log.warning('report refused', name=name, reason=reason)
        reply.send(json_response(HTTPStatus.BAD_REQUEST, {'reason': reason}))


class ReadyApi:
    """Tells the platform whether the node takes callers."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        """Answer by what ``is_ready`` returns."""
        self._is_ready = is_ready

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer 200 or 503."""
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


class MetricsApi:
    """Shows the metrics as text."""

    def __init__(self, metrics: Metrics) -> None:
        """Show one node's metrics."""
        self._metrics = metrics

    def handle(self, request: Request, reply: Reply) -> None:
        """Answer with everything."""
        if request.path != METRICS_PATH:
            reply.send(Response(HTTPStatus.NOT_FOUND))
            return
        body = _exposition(self._metrics)
        reply.send(Response(HTTPStatus.OK, [_TEXT], body))


def _exposition(metrics: Metrics) -> bytes:
    """Return the metrics as text.

    The library is loaded when it is first needed: it would take a tenth
    of a node's start, and callers wait for that.
    """
    module = import_module('bluebellsill.exposition')
    text: bytes = module.exposition(metrics)
    return text


def _decoded(name: str, report: Report) -> TargetReport:
    return TargetReport(
        name,
        report.born,
        report.status.sequence,
        Announcement(
            report.info.service,
            report.address,
            f'{name}/{report.born}',
            is_leaving=report.status.state == _LEAVING,
            slots=report.info.slots,
            cold_seconds=report.status.cold_left_ms / _SECOND,
            name=name,
        ),
    )
