"""A simulated target, a small web server, for tests and the demo."""

from __future__ import annotations

import os
from collections import Counter
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs

from circuits import BaseComponent
from msgspec import DecodeError, ValidationError, json
from msgspec.structs import replace

from bluebellsill.announcement import Announcement
from bluebellsill.clock import SystemClock
from bluebellsill.http import (
    Request,
    Response,
    json_response,
)
from bluebellsill.http_client import HttpPool
from bluebellsill.http_server import HttpServer, Reply
from bluebellsill.reactor import Reactor
from bluebellsill.standins.behaviour import Behaviour
from bluebellsill.standins.chain import onward_request
from bluebellsill.streams import Address
from bluebellsill.target_api import ANNOUNCE_PATH
from bluebellsill.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('SimulatedTarget',)

_ANNOUNCE_PERIOD = 1.0  # seconds
_ONWARD_TIMEOUT = 10.0  # seconds
_LEDGER_TIMEOUT = 5.0  # seconds
_ANNOUNCE_TIMEOUT = 0.9  # seconds
_LEAVE_ANNOUNCE_PERIOD = 0.1  # seconds
_PROBE_TIME = 0.006  # seconds until the response to a probe
# The standard deviation of the logarithm of service times.
_SERVICE_TIME_SIGMA = 0.25
_COLD_SLOTS = 2  # concurrent requests that a cold target can handle
_ANSWERS_PER_SLOT = 10  # answers after which a cold target has one more slot
_COLD_SLOWDOWN = 3.0  # factor on the service times of a cold target
_CRASH_EXIT_STATUS = 70
_FILLER_REPEATS = 4096
_US_PER_SECOND = 1000000
_FILLER = b'0123456789abcdef' * _FILLER_REPEATS


@dataclass(slots=True, eq=False)
class _Job:
    """A request that the target processes."""

    request: Request
    options: dict[str, list[str]]
    reply: Reply
    started_at: float = 0
    onward_us: int = 0
    cancel: Callable[[], None] = lambda: None


class SimulatedTarget(BaseComponent):
    """A target of one service, which announces itself to its node."""

    channel = 'target'

    def __init__(
        self,
        address: Address,
        node: Address | None,
        service: str,
        behaviour: Behaviour,
        seed: int,
    ) -> None:
        """Bind the listener and start cold.

        Args:
            address: The address to listen on.
            node: The target listener of the target's node, or None.
            service: The service to announce.
            behaviour: The initial behaviour.
            seed: The random seed of the service times.

        Raises:
            OSError: The address cannot be bound.
        """
        super().__init__()
        self.timers = TimerService(SystemClock())
        self.reactor = Reactor(self.timers).register(self)
        self._behaviour = behaviour
        self._service = service
        self._random = Random(seed)
        self._in_flight = 0
        self._answers_since_cold = 0
        self._is_leaving = False
        self._counts: Counter[str] = Counter()
        self._runs_by_key: Counter[str] = Counter()
        self._last_start: float = 0
        self._last_deadline_ms = 0
        self._server = HttpServer(self.reactor, address, self._on_request)
        self._start_id = f'{os.getpid()}-{self.timers.clock.now():.6f}'
        self._pool = HttpPool(self.reactor, node) if node else None
        self.timers.after(0, self._announce)
        self.timers.every(_ANNOUNCE_PERIOD, self._announce)

    @property
    def address(self) -> Address:
        """The address of the listener."""
        return self._server.address

    def leave(self) -> None:
        """Announce that the target leaves; stop when nothing is in flight."""
        self._is_leaving = True
        self._announce()
        self.timers.every(_LEAVE_ANNOUNCE_PERIOD, self._announce)

    def _announce(self) -> None:
        if self._pool is None:
            return
        announcement = Announcement(
            self._service,
            str(self.address),
            self._start_id,
            self._is_leaving,
        )
        request = Request(
            'PUT',
            ANNOUNCE_PATH,
            [('host', str(self._pool.address))],
            json.encode(announcement),
        )
        self._pool.request(request, _ANNOUNCE_TIMEOUT, self._on_announced)

    def _on_announced(self, done: Any) -> None:
        if not self._is_leaving or self._in_flight:
            return
        # A node that does not respond is assumed to send no more requests.
        is_empty = done.is_err() or (
            json.decode(done.ok_value.body).get('in_flight', 0) == 0
        )
        if is_empty:
            self.stop()

    def _on_request(self, request: Request, reply: Reply) -> None:
        path, _, query = request.path.partition('?')
        if path == '/health':
            self._counts['probes'] += 1
            status = self._behaviour.health
            self._send_later(_PROBE_TIME, reply, Response(status))
        elif path == '/_behaviour':
            self._change_behaviour(request, reply)
        elif path == '/_stats':
            reply.send(json_response(HTTPStatus.OK, self._stats()))
        else:
            self._work(request, path, parse_qs(query), reply)

    def _work(
        self,
        request: Request,
        path: str,
        options: dict[str, list[str]],
        reply: Reply,
    ) -> None:
        behaviour = self._behaviour
        self._counts['requests'] += 1
        self._last_start = self.timers.clock.now()
        self._last_deadline_ms = int(
            request.header('bluebellsill-deadline-ms') or 0,
        )
        if 'poison' in path:
            os._exit(_CRASH_EXIT_STATUS)
        if behaviour.is_failing:
            reply.send(Response(HTTPStatus.INTERNAL_SERVER_ERROR.value))
            return
        if behaviour.is_silent:
            return
        if self._in_flight >= self._slots():
            self._reject(reply)
            return
        key = request.header('x-order')
        if key:
            self._runs_by_key[key] += 1
        if key and behaviour.ledger:
            self._record_order(key, lambda: self._run(request, options, reply))
        else:
            self._run(request, options, reply)

    def _record_order(self, order: str, then: Callable[[], None]) -> None:
        """Record the execution of an order in the ledger, then continue."""
        address = Address.parse(self._behaviour.ledger)
        record = Request('POST', f'/{order}', [('host', str(address))])
        pool = HttpPool(self.reactor, address)

        def on_recorded(done: Any) -> None:
            pool.close()
            if done.is_ok():
                then()

        pool.request(record, _LEDGER_TIMEOUT, on_recorded)

    def _run(
        self,
        request: Request,
        options: dict[str, list[str]],
        reply: Reply,
    ) -> None:
        self._in_flight += 1
        self._counts['max_running'] = max(
            self._counts['max_running'],
            self._in_flight,
        )
        job = _Job(request, options, reply)
        reply.on_abandoned = lambda: self._abandon(job)
        chain = options.get('chain', [''])[0]
        if chain and self._pool is not None:
            onward = onward_request(request, chain, str(self._pool.address))
            exchange = self._pool.request(
                onward,
                _ONWARD_TIMEOUT,
                lambda done: self._on_onward(job, done),
            )
            job.cancel = exchange.cancel
        else:
            self._serve(job)

    def _on_onward(self, job: _Job, done: Any) -> None:
        if done.is_ok() and done.ok_value.status == HTTPStatus.OK:
            job.onward_us = int(done.ok_value.header('x-service-us') or 0)
            self._serve(job)
            return
        self._in_flight -= 1
        self._counts['onward_failed'] += 1
        job.reply.send(Response(HTTPStatus.BAD_GATEWAY.value))

    def _serve(self, job: _Job) -> None:
        job.started_at = self.timers.clock.now()
        timer = self.timers.after(
            self._service_time(job.options),
            lambda: self._finish(job),
        )
        job.cancel = timer.cancel

    def _finish(self, job: _Job) -> None:
        seconds = self.timers.clock.now() - job.started_at
        response = self._response(job.request, job.options)
        spent = int(seconds * _US_PER_SECOND) + job.onward_us
        response.headers.append(('x-service-us', str(spent)))
        self._in_flight -= 1
        self._answers_since_cold += 1
        if self._behaviour.cuts_body:
            job.reply.send_truncated(response)
        elif 'chunked' in job.options:
            job.reply.send_chunked(response)
        else:
            job.reply.send(response)

    def _abandon(self, job: _Job) -> None:
        self._counts['cancelled'] += 1
        self._in_flight -= 1
        job.cancel()

    def _slots(self) -> int:
        """Return how many concurrent requests the target can handle now."""
        warmed = _COLD_SLOTS + self._answers_since_cold // _ANSWERS_PER_SLOT
        return min(self._behaviour.slots, warmed)

    def _reject(self, reply: Reply) -> None:
        self._counts['shed'] += 1
        is_cold = self._slots() < self._behaviour.slots
        if is_cold:
            self._counts['overloaded_when_cold'] += 1
            if self._behaviour.crashes_when_cold:
                os._exit(_CRASH_EXIT_STATUS)
        reply.send(Response(HTTPStatus.SERVICE_UNAVAILABLE.value))

    def _service_time(self, options: dict[str, list[str]]) -> float:
        mean = float(options.get('ms', [str(self._behaviour.service_ms)])[0])
        spread = self._random.lognormvariate(0, _SERVICE_TIME_SIGMA)
        is_cold = self._slots() < self._behaviour.slots
        factor = _COLD_SLOWDOWN if is_cold else 1.0
        return mean / 1000 * spread * factor * self._behaviour.slow_factor

    def _response(
        self,
        request: Request,
        options: dict[str, list[str]],
    ) -> Response:
        size = int(options.get('size', ['0'])[0])
        nonce = request.header('x-nonce').encode()
        repeats = size // len(_FILLER) + 1
        filler = (_FILLER * repeats)[:size]
        body = b'%b\n%b' % (nonce, filler)
        headers = [
            ('content-type', 'application/octet-stream'),
            ('x-nonce', request.header('x-nonce')),
        ]
        return Response(HTTPStatus.OK.value, headers, body)

    def _send_later(
        self, seconds: float, reply: Reply, response: Response
    ) -> None:
        self.timers.after(seconds, lambda: reply.send(response))

    def _change_behaviour(self, request: Request, reply: Reply) -> None:
        try:
            changes = json.decode(request.body, type=dict[str, Any])
            is_cold = changes.pop('is_cold', False)
            document = json.encode(replace(self._behaviour, **changes))
            self._behaviour = json.decode(document, type=Behaviour)
        except (DecodeError, ValidationError, TypeError) as error:
            body = str(error).encode()
            reply.send(Response(HTTPStatus.BAD_REQUEST.value, [], body))
            return
        if is_cold:
            self._answers_since_cold = 0
        reply.send(json_response(HTTPStatus.OK, self._stats()))

    def _stats(self) -> dict[str, Any]:
        repeated = {
            key: runs for key, runs in self._runs_by_key.items() if runs > 1
        }
        return {
            'counts': dict(self._counts),
            'running': self._in_flight,
            'slots': self._slots(),
            'last_deadline_ms': self._last_deadline_ms,
            'idle_seconds': self.timers.clock.now() - self._last_start,
            'runs': sum(self._runs_by_key.values()),
            'keys': sorted(self._runs_by_key),
            'repeated': repeated,
        }
