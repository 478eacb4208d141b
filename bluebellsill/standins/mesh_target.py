"""A simulated target of the platform, for tests and the demo."""

from __future__ import annotations

import os
from collections import Counter, deque
from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from time import time
from typing import TYPE_CHECKING
from urllib.parse import parse_qs

from circuits import BaseComponent
from msgspec import Struct, json
from result import Err, Result

from bluebellsill.clock import SystemClock
from bluebellsill.http import Headers, Request, Response, json_response
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure
from bluebellsill.http_server import HttpServer, Reply
from bluebellsill.platform.endpoints import (
    REPORT_PREFIX,
    Info,
    Report,
    Status,
)
from bluebellsill.platform.headers import (
    CALLER_SERVICE,
    COLD_LEFT,
    DEADLINE,
    EXPECTED_TARGET,
    LEAVING,
    LOAD,
    NOT_RUN,
    RATE_LIMIT,
    REQUEST_ID,
    STAMP,
    TARGET_NAME,
)
from bluebellsill.reactor import Reactor
from bluebellsill.standins.status_text import StatusTextResponse
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('SimulatedMeshTargetSettings', 'SimulatedMeshTarget')

_REPORT_PERIOD = 0.5  # seconds
_REPORT_TIMEOUT = 1.0  # seconds
_CALL_TIMEOUT = 5.0  # seconds; calls end earlier, at their deadline
_CRASH_EXIT_STATUS = 70
_MS_PER_SECOND = 1000
_SHORT_QUEUE = 2  # requests
_PERCENT = 100  # of the usual processing time
_HEALTH_PATH = '/healthz'
_STATS_PATH = '/_stats'
_BEHAVIOUR_PATH = '/_behaviour'


class SimulatedMeshTargetSettings(Struct, frozen=True):
    """The addresses and the capacity of a target.

    Attributes:
        service: The target's service.
        zone: The target's availability zone.
        reports: The node's address for reports.
        callers: The node's address for the target's own calls.
        slots: The maximum number of requests that run concurrently.
        ledger: A file to which each run is appended, empty for none; it
            persists when the target ends.
        advertised: The address in reports, empty for the listener's.
        linger: How long the target still serves requests after it announced
            that it is draining, in seconds.
        version: The version that its reports state.
    """

    service: str
    zone: str
    reports: str
    callers: str
    slots: int = 6
    ledger: str = ''
    advertised: str = ''
    linger: float = 1.0
    version: str = 'v1'


class MeshBehaviour(Struct, frozen=True, forbid_unknown_fields=True):
    """The faults that the target simulates.

    Attributes:
        slowness: The ratio of current to usual processing time.
        cold_seconds: How long the target reports to stay cold.
        fails: Whether every request gets status 500, but probes succeed.
        failing_path: The path prefix of the requests that get status 500,
            empty for none.
        is_silent: Whether no reports are sent.
        rate_limit: The requests a second that responses state as the limit,
            None for no limit; requests beyond it are answered as well.
        states_leaving: Whether responses state that the target is leaving
            before its reports do.
        probes_state_load_only: Whether responses to probes lack the two
            statements above.
        hangs_when_full: Whether requests beyond the slots and a short queue
            are never answered, nor is any later one on the same connection.
        works_on: Whether runs go on when their connection is closed, until
            their deadline.
        records_headers: Whether the log of runs has all headers received.
        status_text: What responses to requests have in place of the status,
            empty for the status itself.
    """

    slowness: float = 1
    cold_seconds: float = 0
    fails: bool = False
    failing_path: str = ''
    is_silent: bool = False
    rate_limit: float | None = None
    states_leaving: bool = False
    probes_state_load_only: bool = False
    hangs_when_full: bool = False
    works_on: bool = False
    records_headers: bool = False
    status_text: str = ''


@dataclass(slots=True, eq=False)
class _Job:
    """A running or queued request."""

    request: Request
    options: dict[str, str]
    reply: Reply
    is_left: bool = False


class SimulatedMeshTarget(BaseComponent):
    """Processes each request as its query parameters specify.

    ``work`` is the processing time in milliseconds. ``call`` is a path on
    the same host that the target calls first, ``before`` milliseconds after it
    has started. ``crash`` ends the process.
    """

    channel = 'mesh_target'

    def __init__(
        self, address: Address, settings: SimulatedMeshTargetSettings
    ) -> None:
        """Bind the listener.

        Raises:
            OSError: The address cannot be bound.
        """
        super().__init__()
        self.timers = TimerService(SystemClock())
        self.reactor = Reactor(self.timers).register(self)
        self._settings = settings
        self._behaviour = MeshBehaviour()
        self._name = f'i-{os.getpid():x}'
        self._born = int(time() * _MS_PER_SECOND)
        self._sequence = 0
        self._is_leaving = False
        self._left_at: float = 0
        self._cold_since: float = 0
        self._limited_since: float = 0
        self._jobs: set[_Job] = set()
        self._waiting: deque[_Job] = deque()
        self._counts: Counter[str] = Counter()
        self._runs: Counter[str] = Counter()
        self._run_log: list[dict[str, str | float]] = []
        self._server = HttpServer(self.reactor, address, self._on_request)
        reports = Address.parse(settings.reports)
        self._reports = HttpPool(self.reactor, reports)
        self._calls = HttpPool(self.reactor, Address.parse(settings.callers))
        self.timers.after(0, self._report)
        self.timers.every(_REPORT_PERIOD, self._report)

    @property
    def address(self) -> Address:
        """The address of the listener."""
        return self._server.address

    def leave(self) -> None:
        """Report draining, serve for ``linger`` seconds, depart and stop."""
        self._is_leaving = True
        self._report()
        self.timers.after(self._settings.linger, self._depart)

    def _depart(self) -> None:
        request = Request('DELETE', f'{REPORT_PREFIX}{self._name}')
        self._reports.request(request, _REPORT_TIMEOUT, lambda _: self.stop())

    def _report(self) -> None:
        if self._behaviour.is_silent:
            return
        self._sequence += 1
        settings = self._settings
        report = Report(
            settings.advertised or str(self.address),
            Info(
                settings.service,
                settings.version,
                settings.zone,
                settings.slots,
            ),
            Status(
                'draining' if self._is_leaving else 'ready',
                self._sequence,
                self._behaviour.cold_seconds * _MS_PER_SECOND,
            ),
            self._born,
        )
        path = f'{REPORT_PREFIX}{self._name}'
        request = Request('PUT', path, body=json.encode(report))
        self._reports.request(request, _REPORT_TIMEOUT, self._on_reported)

    def _on_reported(self, done: Result[Response, HttpFailure]) -> None:
        is_accepted = not isinstance(done, Err) and (
            done.ok_value.status == HTTPStatus.OK
        )
        self._counts['reports' if is_accepted else 'reports_lost'] += 1
        if is_accepted and self._is_leaving and not self._left_at:
            self._left_at = time()

    def _on_request(self, request: Request, reply: Reply) -> None:
        path, _, query = request.path.partition('?')
        if path == _STATS_PATH:
            document = {
                'counts': dict(self._counts),
                'runs': dict(self._runs),
                'log': self._run_log,
            }
            reply.send(json_response(HTTPStatus.OK, document))
        elif path == _BEHAVIOUR_PATH:
            self._behaviour = json.decode(request.body, type=MeshBehaviour)
            self._cold_since = time() if self._behaviour.cold_seconds else 0
            is_limited = self._behaviour.rate_limit is not None
            self._limited_since = time() if is_limited else 0
            reply.send(json_response(HTTPStatus.OK, {}))
        elif path == _HEALTH_PATH:
            self._answer_probe(reply)
        else:
            options = {
                name: found[0] for name, found in parse_qs(query).items()
            }
            self._admit(_Job(request, options, reply))

    def _answer_probe(self, reply: Reply) -> None:
        self._counts['probes'] += 1
        status = HTTPStatus.OK
        if self._is_leaving:
            status = HTTPStatus.SERVICE_UNAVAILABLE
        cold_ms = int(self._behaviour.cold_seconds * _MS_PER_SECOND)
        headers = [
            (TARGET_NAME, self._name),
            (COLD_LEFT, str(cold_ms)),
            self._load(),
        ]
        if not self._behaviour.probes_state_load_only:
            headers += self._directive()
        reply.send(Response(status, headers))

    def _admit(self, job: _Job) -> None:
        self._counts['arrivals'] += 1
        expected = job.request.header(EXPECTED_TARGET)
        if expected and expected != self._name:
            headers = [(TARGET_NAME, self._name), self._id(job)]
            job.reply.send(Response(HTTPStatus.MISDIRECTED_REQUEST, headers))
            return
        if len(self._jobs) >= self._settings.slots:
            self._enqueue(job)
        else:
            self._run(job)

    def _enqueue(self, job: _Job) -> None:
        waiting = len(self._waiting)
        if self._behaviour.hangs_when_full and waiting >= _SHORT_QUEUE:
            # The connection serves one request at a time, so it answers no
            # later one either.
            self._counts['hung'] += 1
        elif waiting >= self._settings.slots:
            self._reject(job)
        else:
            self._waiting.append(job)

    def _reject(self, job: _Job) -> None:
        self._counts['rejected'] += 1
        headers = [(NOT_RUN, '1'), self._load(), self._id(job)]
        headers += self._directive()
        job.reply.send(Response(HTTPStatus.SERVICE_UNAVAILABLE, headers))

    def _run(self, job: _Job) -> None:
        if 'crash' in job.options:
            os._exit(_CRASH_EXIT_STATUS)
        self._jobs.add(job)
        request = job.request
        self._runs[request.header(REQUEST_ID)] += 1
        self._record_run(request)
        self._run_log.append(
            {
                'at': time(),
                'id': request.header(REQUEST_ID),
                'path': request.path,
                'caller': request.header(CALLER_SERVICE),
                'deadline_ms': request.header(DEADLINE),
            },
        )
        if self._behaviour.records_headers:
            self._run_log[-1]['headers'] = json.encode(request.headers).decode()
        if not self._behaviour.works_on:
            job.reply.on_abandoned = lambda: self._abandon(job)
        if 'call' in job.options:
            seconds = float(job.options.get('before', 0)) / _MS_PER_SECOND
            self.timers.after(seconds, lambda: self._call(job))
        else:
            self._work(job)

    def _record_run(self, request: Request) -> None:
        settings = self._settings
        if not settings.ledger:
            return
        now = time()
        line = json.encode(
            {
                'at': now,
                'id': request.header(REQUEST_ID),
                'method': request.method,
                'service': settings.service,
                'zone': settings.zone,
                'by': self._name,
                # Seconds since the node accepted the draining report.
                'left_s': now - self._left_at if self._left_at else 0,
                'cold_s': now - self._cold_since if self._cold_since else 0,
                # When the stated rate limit was set, 0 without one.
                'limited_since': self._limited_since,
                'rate_limit': self._behaviour.rate_limit,
                'headers': request.headers,
                'size': len(request.body),
            },
        )
        with Path(settings.ledger).open('ab') as ledger:
            ledger.write(b'%b\n' % line)

    def _call(self, job: _Job) -> None:
        request = job.request
        own_id = f'{request.header(REQUEST_ID)}.{len(self._run_log):x}'
        headers = [
            ('host', request.header('host')),
            (REQUEST_ID, own_id),
            (DEADLINE, request.header(DEADLINE)),
        ]

        def on_called(done: Result[Response, HttpFailure]) -> None:
            is_ok = not isinstance(done, Err) and (
                done.ok_value.status == HTTPStatus.OK
            )
            if is_ok:
                self._work(job)
            else:
                self._finish(job, HTTPStatus.INTERNAL_SERVER_ERROR)

        call = Request('GET', job.options['call'], headers)
        self._calls.request(call, _CALL_TIMEOUT, on_called)

    def _work(self, job: _Job) -> None:
        seconds = float(job.options.get('work', 0)) / _MS_PER_SECOND
        status = HTTPStatus.OK
        failing_path = self._behaviour.failing_path
        is_failing = failing_path and job.request.path.startswith(failing_path)
        if self._behaviour.fails or is_failing:
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        finish: Callable[[], None] = lambda: self._finish(job, status)
        seconds *= self._behaviour.slowness
        if self._behaviour.works_on:
            deadline_ms = float(job.request.header(DEADLINE))
            seconds = min(seconds, deadline_ms / _MS_PER_SECOND)
        self.timers.after(seconds, finish)

    def _finish(self, job: _Job, status: HTTPStatus) -> None:
        if job not in self._jobs:
            return
        self._counts['answered'] += 1
        document = {'id': job.request.header(REQUEST_ID), 'by': self._name}
        headers = [self._load(), self._id(job), (STAMP, self._name)]
        headers += self._directive()
        body = json.encode(document)
        status_text = self._behaviour.status_text
        response = (
            StatusTextResponse(status_text, headers, body)
            if status_text
            else Response(status, headers, body)
        )
        job.reply.send(response)
        self._release_slot(job)

    def _abandon(self, job: _Job) -> None:
        self._counts['dropped'] += 1
        if job in self._waiting:
            self._waiting.remove(job)
        self._release_slot(job)

    def _release_slot(self, job: _Job) -> None:
        self._jobs.discard(job)
        while self._waiting and len(self._jobs) < self._settings.slots:
            self._run(self._waiting.popleft())

    def _id(self, job: _Job) -> tuple[str, str]:
        return REQUEST_ID, job.request.header(REQUEST_ID)

    def _directive(self) -> Headers:
        behaviour = self._behaviour
        headers = []
        if behaviour.rate_limit is not None:
            headers.append((RATE_LIMIT, str(behaviour.rate_limit)))
        if behaviour.states_leaving or self._is_leaving:
            headers.append((LEAVING, '1'))
        return headers

    def _load(self) -> tuple[str, str]:
        slowness = int(self._behaviour.slowness * _PERCENT)
        values = (
            len(self._jobs),
            len(self._waiting),
            self._settings.slots,
            slowness,
        )
        return LOAD, ','.join(str(value) for value in values)
