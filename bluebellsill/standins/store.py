"""A simulated key-value store, for tests and the demo."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

from circuits import BaseComponent
from msgspec import DecodeError, json

from bluebellsill.clock import SystemClock
from bluebellsill.http import (
    Request,
    Response,
    json_response,
)
from bluebellsill.http_server import HttpServer, Reply
from bluebellsill.reactor import Reactor
from bluebellsill.timers import Timer, TimerService

if TYPE_CHECKING:
    from bluebellsill.streams import Address

__all__ = ('SimulatedStore', 'StoreMode')

_MAX_VALUE_BYTES = 1048576
_SLOW_DELAY = 1.0  # seconds
_KEY_PREFIX = '/kv/'


@unique
class StoreMode(str, Enum):
    """The faults that the store simulates.

    In mode ``LOSE_ANSWERS``, writes are committed but get status 504.
    """

    UP = 'up'
    DOWN = 'down'
    SLOW = 'slow'
    LOSE_ANSWERS = 'lose_answers'


@dataclass(slots=True)
class _Record:
    payload: bytes = b''
    version: int = 0


@dataclass(slots=True, eq=False)
class _Watch:
    key: str
    version: int
    reply: Reply
    timer: Timer | None = field(default=None)


class SimulatedStore(BaseComponent):
    """Keeps records in memory; its mode can be changed while it runs.

    ``PUT /_mode`` with ``{"mode": "down"}`` starts an outage, and ``GET
    /_stats`` returns how often the store was called.
    """

    channel = 'store'

    def __init__(self, address: Address) -> None:
        """Bind the listener.

        Raises:
            OSError: The address cannot be bound.
        """
        super().__init__()
        self._timers = TimerService(SystemClock())
        self.reactor = Reactor(self._timers).register(self)
        self._records_by_key: dict[str, _Record] = {}
        self._watches: set[_Watch] = set()
        self._calls: Counter[str] = Counter()
        self._mode = StoreMode.UP
        self._server = HttpServer(self.reactor, address, self._on_request)

    @property
    def address(self) -> Address:
        """The address of the listener."""
        return self._server.address

    def _on_request(self, request: Request, reply: Reply) -> None:
        path, _, query = request.path.partition('?')
        if path == '/_mode':
            self._set_mode(request, reply)
        elif path == '/_stats':
            reply.send(json_response(HTTPStatus.OK, self._stats()))
        elif self._mode is StoreMode.SLOW:
            self._timers.after(
                _SLOW_DELAY,
                lambda: self._on_key_request(request, path, query, reply),
            )
        else:
            self._on_key_request(request, path, query, reply)

    def _on_key_request(
        self,
        request: Request,
        path: str,
        query: str,
        reply: Reply,
    ) -> None:
        if self._mode is StoreMode.DOWN:
            self._calls['refused'] += 1
            reply.send(Response(HTTPStatus.SERVICE_UNAVAILABLE.value))
            return
        key = unquote(path.removeprefix(_KEY_PREFIX))
        options = parse_qs(query)
        if not path.startswith(_KEY_PREFIX) or not key:
            reply.send(Response(HTTPStatus.BAD_REQUEST.value))
        elif request.method == 'PUT':
            self._put(key, int(options['version'][0]), request.body, reply)
        elif options.get('after'):
            wait_ms = int(options['wait_ms'][0])
            self._watch(key, int(options['after'][0]), wait_ms, reply)
        else:
            self._calls['get'] += 1
            reply.send(self._read(key))

    def _read(self, key: str) -> Response:
        record = self._records_by_key.get(key)
        if record is None:
            return Response(HTTPStatus.NOT_FOUND.value)
        headers = [('version', str(record.version))]
        return Response(HTTPStatus.OK.value, headers, record.payload)

    def _put(
        self, key: str, version: int, payload: bytes, reply: Reply
    ) -> None:
        self._calls['put'] += 1
        record = self._records_by_key.get(key) or _Record()
        if len(payload) > _MAX_VALUE_BYTES:
            reply.send(Response(HTTPStatus.REQUEST_ENTITY_TOO_LARGE.value))
            return
        if record.version != version:
            headers = [('version', str(record.version))]
            reply.send(Response(HTTPStatus.CONFLICT.value, headers))
            return
        self._records_by_key[key] = _Record(payload, version + 1)
        for watch in tuple(self._watches):
            if watch.key == key:
                self._end_watch(watch)
        if self._mode is StoreMode.LOSE_ANSWERS:
            reply.send(Response(HTTPStatus.GATEWAY_TIMEOUT.value))
            return
        headers = [('version', str(version + 1))]
        reply.send(Response(HTTPStatus.OK.value, headers))

    def _watch(
        self, key: str, version: int, wait_ms: int, reply: Reply
    ) -> None:
        self._calls['watch'] += 1
        watch = _Watch(key, version, reply)
        record = self._records_by_key.get(key)
        if record is not None and record.version != version:
            reply.send(self._read(key))
            return
        self._watches.add(watch)
        reply.on_abandoned = lambda: self._watches.discard(watch)
        watch.timer = self._timers.after(
            wait_ms / 1000,
            lambda: self._end_watch(watch),
        )

    def _end_watch(self, watch: _Watch) -> None:
        self._watches.discard(watch)
        if watch.timer is not None:
            watch.timer.cancel()
        watch.reply.send(self._read(watch.key))

    def _set_mode(self, request: Request, reply: Reply) -> None:
        try:
            document = json.decode(request.body, type=dict[str, str])
            self._mode = StoreMode(document['mode'])
        except (DecodeError, KeyError, ValueError) as error:
            body = str(error).encode()
            reply.send(Response(HTTPStatus.BAD_REQUEST.value, [], body))
            return
        if self._mode is StoreMode.DOWN:
            # An outage ends all watches.
            for watch in tuple(self._watches):
                self._watches.discard(watch)
                watch.reply.send(
                    Response(HTTPStatus.SERVICE_UNAVAILABLE.value),
                )
        reply.send(json_response(HTTPStatus.OK, self._stats()))

    def _stats(self) -> dict[str, Any]:
        return {
            'mode': self._mode.value,
            'calls': dict(self._calls),
            'watches': len(self._watches),
            'records': len(self._records_by_key),
        }
