"""A simulated metadata store of the platform, for tests and the demo."""

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
from bluebellsill.platform.headers import STORE_EPOCH
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

__all__ = ('KvBehaviour', 'SimulatedKvStore')

_MAX_EVENTS = 256  # the oldest events are dropped
_OPERATOR_KEY_PREFIX = '/_keys/'
_BEHAVIOUR_PATH = '/_behaviour'
_HISTORY_PATH = '/_history'
_COPY_PATH = '/_copy'
_LEASE_CHECK_PERIOD = 0.2  # seconds between checks for expired leases
_MS_PER_SECOND = 1000


class KvBehaviour(Struct, frozen=True, forbid_unknown_fields=True):
    """The faults that the store simulates.

    Attributes:
        refuses: Whether every call of a node gets status 503.
        is_silent: Whether calls of nodes are never answered.
        delay_ms: The delay of responses in milliseconds.
        loses_writes: Whether writes are committed but not answered.
        late_ms: The delay of such a commit in milliseconds.
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


@dataclass(frozen=True, slots=True)
class _Copy:
    """The state of the store at a revision, from which it is restored."""

    items: dict[str, _Item]
    lease_expiries: dict[int, float]
    events: tuple[_Event, ...]
    revision: int


class _Rewrite(Struct, frozen=True, forbid_unknown_fields=True):
    """When operators repeat the writes that a restore has lost."""

    rewrite_ms: float = 0


@dataclass(slots=True, eq=False)
class _Watch:
    prefix: str
    after: int
    reply: Reply


class SimulatedKvStore(BaseComponent):
    """Keeps items, leases and the latest events in memory.

    Operators write with ``PUT`` and ``DELETE`` under ``/_keys/``. ``PUT
    /_behaviour`` sets the simulated faults in calls of nodes, and ``DELETE
    /_history`` deletes the stored events. ``PUT /_copy`` makes a copy of the
    store; ``POST /_copy`` restores the store from it and then repeats what
    operators have written since.
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
        self._lease_expiries: dict[int, float] = {}
        self._lifetimes_by_lease: dict[int, float] = {}
        self._last_lease = 0
        self._events: deque[_Event] = deque(maxlen=_MAX_EVENTS)
        self._compacted_revision = 0
        self._revision = 1
        self._epoch = 1
        self._copy = _Copy({}, {}, (), self._revision)
        self._operator_writes: dict[str, bytes | None] = {}  # since the copy
        self._watches: set[_Watch] = set()
        self._calls: Counter[str] = Counter()
        self._behaviour = KvBehaviour()
        self._server = HttpServer(self.reactor, address, self._on_request)
        self._timers.every(_LEASE_CHECK_PERIOD, self._expire_leases)

    @property
    def address(self) -> Address:
        """The address of the listener."""
        return self._server.address

    def _on_request(self, request: Request, reply: Reply) -> None:
        path, _, query = request.path.partition('?')
        if path.startswith('/_'):
            self._on_control_request(request, path, reply)
            return
        self._calls[path] += 1
        behaviour = self._behaviour
        if behaviour.is_silent:
            return
        if behaviour.refuses:
            self._send(reply, Response(HTTPStatus.SERVICE_UNAVAILABLE))
            return
        options = {name: found[0] for name, found in parse_qs(query).items()}
        self._timers.after(
            behaviour.delay_ms / _MS_PER_SECOND,
            lambda: self._on_call(request, path, options, reply),
        )

    def _on_control_request(
        self, request: Request, path: str, reply: Reply
    ) -> None:
        if path.startswith(_OPERATOR_KEY_PREFIX):
            key = unquote(path.removeprefix(_OPERATOR_KEY_PREFIX))
            payload = None if request.method == 'DELETE' else request.body
            self._operator_writes[key] = payload
            self._put(key, payload, 0)
            document = {'revision': self._revision}
            reply.send(json_response(HTTPStatus.OK, document))
        elif path == _BEHAVIOUR_PATH:
            self._change_behaviour(request, reply)
        elif path == _HISTORY_PATH:
            self._compact()
            reply.send(json_response(HTTPStatus.OK, {}))
        elif path == _COPY_PATH:
            self._change_copy(request, reply)
        else:
            stats = {
                'calls': dict(self._calls),
                'keys': sorted(self._items),
                'contents': {
                    key: item.payload.decode(errors='replace')
                    for key, item in self._items.items()
                },
            }
            reply.send(json_response(HTTPStatus.OK, stats))

    def _change_behaviour(self, request: Request, reply: Reply) -> None:
        try:
            self._behaviour = json.decode(request.body, type=KvBehaviour)
        except (DecodeError, ValidationError) as error:
            document = {'reason': str(error)}
            reply.send(json_response(HTTPStatus.BAD_REQUEST, document))
            return
        if self._behaviour.refuses or self._behaviour.is_silent:
            self._break_watches()
        reply.send(json_response(HTTPStatus.OK, {}))

    def _change_copy(self, request: Request, reply: Reply) -> None:
        if request.method == 'PUT':
            self._copy = _Copy(
                self._items.copy(),
                self._lease_expiries.copy(),
                tuple(self._events),
                self._revision,
            )
            self._operator_writes.clear()
        else:
            rewrite = json.decode(request.body or b'{}', type=_Rewrite)
            self._restore(rewrite.rewrite_ms / _MS_PER_SECOND)
        document = {'revision': self._revision, 'epoch': self._epoch}
        reply.send(json_response(HTTPStatus.OK, document))

    def _restore(self, rewrite_delay: float) -> None:
        self._break_watches()
        copy = self._copy
        self._epoch += 1
        self._items = copy.items.copy()
        self._lease_expiries = copy.lease_expiries.copy()
        self._events = deque(copy.events, _MAX_EVENTS)
        self._revision = copy.revision
        self._timers.after(rewrite_delay, self._repeat_operator_writes)

    def _repeat_operator_writes(self) -> None:
        for key, payload in self._operator_writes.items():
            if payload is not None or key in self._items:
                self._put(key, payload, 0)

    def _send(self, reply: Reply, response: Response) -> None:
        response.headers.append((STORE_EPOCH, str(self._epoch)))
        reply.send(response)

    def _on_call(
        self,
        request: Request,
        path: str,
        options: dict[str, str],
        reply: Reply,
    ) -> None:
        if path.startswith(KEEP_PREFIX):
            self._renew_lease(int(path.removeprefix(KEEP_PREFIX)), reply)
            return
        serve_by_path: dict[str, Callable[[], None]] = {
            RANGE_PATH: lambda: self._range(options.get('prefix', ''), reply),
            WATCH_PATH: lambda: self._watch(options, reply),
            TXN_PATH: lambda: self._write(request.body, reply),
            LEASE_PATH: lambda: self._grant_lease(
                json.decode(request.body), reply
            ),
        }
        serve = serve_by_path.get(path)
        if serve is None:
            self._send(reply, Response(HTTPStatus.NOT_FOUND))
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
        self._send(reply, json_response(HTTPStatus.OK, document))

    def _watch(self, options: dict[str, str], reply: Reply) -> None:
        after = int(options['after'])
        if not self._compacted_revision <= after <= self._revision:
            self._send(reply, Response(HTTPStatus.GONE))
            return
        watch = _Watch(options.get('prefix', ''), after, reply)
        if self._send_events(watch, sends_empty=False):
            return
        self._watches.add(watch)
        reply.on_abandoned = lambda: self._watches.discard(watch)
        wait = int(options['wait_ms']) / _MS_PER_SECOND
        self._timers.after(wait, lambda: self._end_watch(watch))

    def _send_events(self, watch: _Watch, *, sends_empty: bool) -> bool:
        events = [
            event.document()
            for event in self._events
            if event.revision > watch.after
            and event.key.startswith(watch.prefix)
        ]
        if not events and not sends_empty:
            return False
        document = {'events': events, 'current_rev': self._revision}
        self._send(watch.reply, json_response(HTTPStatus.OK, document))
        return True

    def _end_watch(self, watch: _Watch) -> None:
        if watch in self._watches:
            self._watches.discard(watch)
            self._send_events(watch, sends_empty=True)

    def _break_watches(self) -> None:
        for watch in tuple(self._watches):
            self._watches.discard(watch)
            watch.reply.send_truncated(Response(HTTPStatus.OK, [], b'{}'))

    def _compact(self) -> None:
        self._break_watches()
        self._events.clear()
        self._compacted_revision = self._revision

    def _write(self, body: bytes, reply: Reply) -> None:
        txn = json.decode(body, type=Txn)
        behaviour = self._behaviour
        if not behaviour.loses_writes:
            self._send(reply, self._commit(txn))
            return

        def commit() -> None:
            self._commit(txn)

        self._timers.after(behaviour.late_ms / _MS_PER_SECOND, commit)

    def _commit(self, txn: Txn) -> Response:
        for row in txn.conditions:
            item = self._items.get(row.key)
            found = item.revision if item else 0
            if found != row.revision:
                return Response(HTTPStatus.PRECONDITION_FAILED, [], b'{}')
        if any(
            write.lease and write.lease not in self._lease_expiries
            for write in txn.writes
        ):
            return Response(HTTPStatus.NOT_FOUND)
        for write in txn.writes:
            self._put(write.key, b64decode(write.value), write.lease)
        return json_response(HTTPStatus.OK, {'revision': self._revision})

    def _grant_lease(self, document: dict[str, Any], reply: Reply) -> None:
        self._last_lease += 1
        lease = self._last_lease
        lifetime = int(document['ttl_ms']) / _MS_PER_SECOND
        self._lifetimes_by_lease[lease] = lifetime
        self._lease_expiries[lease] = self._timers.clock.now() + lifetime
        answer = {'lease': lease, 'ttl_ms': document['ttl_ms']}
        self._send(reply, json_response(HTTPStatus.OK, answer))

    def _renew_lease(self, lease: int, reply: Reply) -> None:
        status = HTTPStatus.NOT_FOUND
        expires_at = self._lease_expiries.get(lease)
        if expires_at is not None:
            status = HTTPStatus.OK
            renewed_until = (
                self._timers.clock.now() + self._lifetimes_by_lease[lease]
            )
            self._lease_expiries[lease] = max(expires_at, renewed_until)
        self._send(reply, json_response(status, {'ttl_ms': 0}))

    def _expire_leases(self) -> None:
        now = self._timers.clock.now()
        expired = {
            lease for lease, ends in self._lease_expiries.items() if ends <= now
        }
        for key, item in tuple(self._items.items()):
            if item.lease in expired:
                self._put(key, None, 0)
        for lease in expired:
            del self._lease_expiries[lease]

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
            if self._send_events(watch, sends_empty=False):
                self._watches.discard(watch)


def _document(key: str, item: _Item) -> dict[str, Any]:
    return {
        'key': key,
        'value': b64encode(item.payload).decode(),
        'revision': item.revision,
        'created': item.created,
        'lease': item.lease,
    }
