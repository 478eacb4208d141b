"""A stand-in for the platform's metadata store, for tests and the demo."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections import Counter, deque
from dataclasses import dataclass
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, unquote

from circuits import BaseComponent
from msgspec import DecodeError, Struct, ValidationError, json

from bluebellsill.clock import SystemClock
from bluebellsill.http import Request, Response, json_response
from bluebellsill.http_server import HttpServer, Reply
from bluebellsill.platform.kv_store import (
    KEEP_PREFIX,
    LEASE_PATH,
    RANGE_PATH,
    TXN_PATH,
    WATCH_PATH,
    Txn,
)
from bluebellsill.reactor import Reactor
from bluebellsill.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.streams import Address

__all__ = ('KvBehaviour', 'StandInKvStore')

_HISTORY = 256  # events that are kept
_OPERATOR_PREFIX = '/_keys/'
_BEHAVIOUR_PATH = '/_behaviour'
_HISTORY_PATH = '/_history'
_LAPSE_PERIOD = 0.2  # seconds between looks for leases that have ended
_SECOND = 1000  # milliseconds


class KvBehaviour(Struct, frozen=True, forbid_unknown_fields=True):
    """How the store misbehaves.

    Attributes:
        refuses: Whether every call of a node is answered 503.
        is_silent: Whether calls of nodes are never answered.
        delay_ms: Milliseconds until an answer.
        loses_writes: Whether writes are done and not answered.
        late_ms: Milliseconds by which a write without an answer is late.
    """

    refuses: bool = False
    is_silent: bool = False
    delay_ms: float = 0
    loses_writes: bool = False
    late_ms: float = 0


@dataclass(frozen=True, slots=True)
class _Item:
    payload: bytes
    revision: int
    created: int
    lease: int


@dataclass(frozen=True, slots=True)
class _Event:
    revision: int
    key: str
    item: _Item | None

    def document(self) -> dict[str, Any]:
        """Return the event as JSON types."""
        if self.item is None:
            return {
                'key': self.key,
                'revision': self.revision,
                'deleted': True,
            }
        return _document(self.key, self.item)


@dataclass(slots=True, eq=False)
class _Watch:
    prefix: str
    after: int
    reply: Reply


class StandInKvStore(BaseComponent):
    """Keeps items, leases and a short history in memory.

    Operators write with ``PUT`` and ``DELETE`` under ``/_keys/``; ``PUT
    /_behaviour`` lets the store misbehave toward nodes, and ``DELETE
    /_history`` lets it forget its events.
    """

    channel = 'kv_store'

    def __init__(self, address: Address) -> None:
        """Bind the listener.

        Raises:
            OSError: The address cannot be bound.
        """
        super().__init__()
        self._timers = TimerService(SystemClock())
        self.reactor = Reactor(self._timers).register(self)
        self._items: dict[str, _Item] = {}
        self._lease_ends: dict[int, float] = {}
        self._events: deque[_Event] = deque(maxlen=_HISTORY)
        self._forgotten = 0
        self._revision = 1
        self._watches: set[_Watch] = set()
        self._calls: Counter[str] = Counter()
        self._behaviour = KvBehaviour()
        self._server = HttpServer(self.reactor, address, self._on_request)
        self._timers.every(_LAPSE_PERIOD, self._end_leases)

    @property
    def address(self) -> Address:
        """Where the store listens."""
        return self._server.address

    def _on_request(self, request: Request, reply: Reply) -> None:
        path, _, query = request.path.partition('?')
        if path.startswith('/_'):
            self._on_operator(request, path, reply)
            return
        self._calls[path] += 1
        behaviour = self._behaviour
        if behaviour.is_silent:
            return
        if behaviour.refuses:
            reply.send(Response(HTTPStatus.SERVICE_UNAVAILABLE))
            return
        options = {name: found[0] for name, found in parse_qs(query).items()}
        self._timers.after(
            behaviour.delay_ms / _SECOND,
            lambda: self._on_call(request, path, options, reply),
        )

    def _on_operator(self, request: Request, path: str, reply: Reply) -> None:
        if path.startswith(_OPERATOR_PREFIX):
            key = unquote(path.removeprefix(_OPERATOR_PREFIX))
            is_removed = request.method == 'DELETE'
            self._put(key, None if is_removed else request.body, 0)
            document = {'revision': self._revision}
            reply.send(json_response(HTTPStatus.OK, document))
        elif path == _BEHAVIOUR_PATH:
            self._change_behaviour(request, reply)
        elif path == _HISTORY_PATH:
            self._forget()
            reply.send(json_response(HTTPStatus.OK, {}))
        else:
            stats = {'calls': dict(self._calls), 'keys': sorted(self._items)}
            reply.send(json_response(HTTPStatus.OK, stats))

    def _change_behaviour(self, request: Request, reply: Reply) -> None:
        try:
            self._behaviour = json.decode(request.body, type=KvBehaviour)
        except (DecodeError, ValidationError) as error:
            document = {'reason': str(error)}
            reply.send(json_response(HTTPStatus.BAD_REQUEST, document))
            return
        if self._behaviour.refuses or self._behaviour.is_silent:
            self._cut_watches()
        reply.send(json_response(HTTPStatus.OK, {}))

    def _on_call(
        self,
        request: Request,
        path: str,
        options: dict[str, str],
        reply: Reply,
    ) -> None:
        if path.startswith(KEEP_PREFIX):
            self._keep(int(path.removeprefix(KEEP_PREFIX)), reply)
            return
        serve_by_path: dict[str, Callable[[], None]] = {
            RANGE_PATH: lambda: self._range(options.get('prefix', ''), reply),
            WATCH_PATH: lambda: self._watch(options, reply),
            TXN_PATH: lambda: self._write(request.body, reply),
            LEASE_PATH: lambda: self._grant(json.decode(request.body), reply),
        }
        serve = serve_by_path.get(path)
        if serve is None:
            reply.send(Response(HTTPStatus.NOT_FOUND))
        else:
            serve()

    def _range(self, prefix: str, reply: Reply) -> None:
        found = [
            _document(key, item)
            for key, item in sorted(self._items.items())
            if key.startswith(prefix)
        ]
        document = {
            'items': found,
            'more_pages': False,
            'current_rev': self._revision,
        }
        reply.send(json_response(HTTPStatus.OK, document))

    def _watch(self, options: dict[str, str], reply: Reply) -> None:
        after = int(options['after'])
        if after < self._forgotten:
            reply.send(Response(HTTPStatus.GONE))
            return
        watch = _Watch(options.get('prefix', ''), after, reply)
        if self._tell(watch, even_nothing=False):
            return
        self._watches.add(watch)
        reply.on_abandoned = lambda: self._watches.discard(watch)
        wait = int(options['wait_ms']) / _SECOND
        self._timers.after(wait, lambda: self._end_watch(watch))

    def _tell(self, watch: _Watch, *, even_nothing: bool) -> bool:
        events = [
            event.document()
            for event in self._events
            if event.revision > watch.after
            and event.key.startswith(watch.prefix)
        ]
        if not events and not even_nothing:
            return False
        document = {'events': events, 'current_rev': self._revision}
        watch.reply.send(json_response(HTTPStatus.OK, document))
        return True

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.discard(watch)
            self._tell(watch, even_nothing=True)

    def _cut_watches(self) -> None:
        for watch in tuple(self._watches):
            self._watches.discard(watch)
            watch.reply.cut(Response(HTTPStatus.OK, [], b'{}'))

    def _forget(self) -> None:
        self._cut_watches()
        self._events.clear()
        self._forgotten = self._revision

    def _write(self, body: bytes, reply: Reply) -> None:
        txn = json.decode(body, type=Txn)
        behaviour = self._behaviour
        if not behaviour.loses_writes:
            reply.send(self._commit(txn))
            return

        def commit() -> None:
            self._commit(txn)

        self._timers.after(behaviour.late_ms / _SECOND, commit)

    def _commit(self, txn: Txn) -> Response:
        for row in txn.conditions:
            item = self._items.get(row.key)
            found = item.revision if item else 0
            if found != row.revision:
                return Response(HTTPStatus.PRECONDITION_FAILED, [], b'{}')
        if any(
            write.lease and write.lease not in self._lease_ends
            for write in txn.writes
        ):
            return Response(HTTPStatus.NOT_FOUND)
        for write in txn.writes:
            self._put(write.key, b64decode(write.value), write.lease)
        return json_response(HTTPStatus.OK, {'revision': self._revision})

    def _grant(self, document: dict[str, Any], reply: Reply) -> None:
        lease = len(self._lease_ends) + 1
        lifetime = int(document['ttl_ms']) / _SECOND
        self._lease_ends[lease] = self._timers.clock.now() + lifetime
        answer = {'lease': lease, 'ttl_ms': document['ttl_ms']}
        reply.send(json_response(HTTPStatus.OK, answer))

    def _keep(self, lease: int, reply: Reply) -> None:
        status = (
            HTTPStatus.OK
            if lease in self._lease_ends
            else (HTTPStatus.NOT_FOUND)
        )
        reply.send(json_response(status, {'ttl_ms': 0}))

    def _end_leases(self) -> None:
        now = self._timers.clock.now()
        ended = {
            lease for lease, ends in self._lease_ends.items() if ends <= now
        }
        for key, item in tuple(self._items.items()):
            if item.lease in ended:
                self._put(key, None, 0)
        for lease in ended:
            del self._lease_ends[lease]

    def _put(self, key: str, payload: bytes | None, lease: int) -> None:
        self._revision += 1
        known = self._items.get(key)
        item: _Item | None = None
        if payload is None:
            self._items.pop(key, None)
        else:
            created = known.created if known else self._revision
            item = _Item(payload, self._revision, created, lease)
            self._items[key] = item
        self._events.append(_Event(self._revision, key, item))
        for watch in tuple(self._watches):
            if self._tell(watch, even_nothing=False):
                self._watches.discard(watch)


def _document(key: str, item: _Item) -> dict[str, Any]:
    return {
        'key': key,
        'value': b64encode(item.payload).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }
