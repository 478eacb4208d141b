"""An open-loop load generator that measures responses and latencies."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass
from http import HTTPStatus
from random import Random
from time import time
from typing import TYPE_CHECKING, Annotated, Any
from uuid import UUID

from circuits import BaseComponent
from msgspec import Meta, Struct
from result import Err, Result

from bluebellsill.clock import SystemClock
from bluebellsill.http import Request, Response
from bluebellsill.http_client import HttpPool
from bluebellsill.http_exchange import HttpFailure
from bluebellsill.metrics import LatencyHistogram, summarize
from bluebellsill.reactor import Reactor
from bluebellsill.streams import Address
from bluebellsill.timers import TimerService

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ('LoadGenerator', 'LoadPlan', 'CallStream')

_CALL_TIMEOUT = 10.0  # seconds; also the wait for responses at the end
_TICK_PERIOD = 0.001  # seconds between checks for calls that are due
_UUID7_VERSION = 0x7 << 76  # version bits
_UUID_VARIANT = 0x2 << 62  # variant bits of RFC 9562

AddressText = Annotated[str, Meta(pattern=r'^[0-9.]{7,15}:[0-9]{1,5}$')]


class CallStream(Struct, frozen=True):
    """A series of calls of one kind.

    Attributes:
        name: The stream's name in the report.
        path: The request path; its first segment is the service.
        rate: The mean number of calls per second.
        method: The HTTP method.
        tenant: The tenant that the calls belong to.
        is_keyed: Whether each call carries an idempotency key.
        size: The size of the response that the path requests, in bytes.
        direct: Targets to call without the nodes, for a baseline.
        starts_at: When the stream starts, in seconds into the run.
        ends_at: When the stream ends, in seconds into the run.
    """

    name: str
    path: str
    rate: Annotated[float, Meta(gt=0, le=20000)]
    method: str = 'GET'
    tenant: str = 'demo'
    is_keyed: bool = False
    size: int = 0
    direct: list[AddressText] = []
    starts_at: float = 0
    ends_at: float = 1e9


class LoadPlan(Struct, frozen=True):
    """The streams of a run and its duration.

    Attributes:
        seconds: The time for which calls are started.
        entries: The addresses of the entry nodes' caller listeners.
        streams: The streams.
        seed: The random seed of the arrival times.
    """

    seconds: Annotated[float, Meta(gt=0, le=3600)]
    entries: list[AddressText]
    streams: list[CallStream]
    seed: int = 1


@dataclass(slots=True)
class _StreamState:
    """The due time of a stream's next call; ``index`` counts its calls."""

    stream: CallStream
    due: float
    index: int = 0


class LoadGenerator(BaseComponent):
    """Starts calls at their intended times, regardless of responses."""

    channel = 'load'

    def __init__(self, plan: LoadPlan, on_start: Callable[[], None]) -> None:
        """Create a generator; the run starts with the event loop.

        Args:
            plan: The plan to run.
            on_start: Called when the run starts.
        """
        super().__init__()
        self._timers = TimerService(SystemClock())
        self._reactor = Reactor(self._timers).register(self)
        self._plan = plan
        self._on_start = on_start
        self._random = Random(plan.seed)
        self._pools = {
            address: HttpPool(self._reactor, Address.parse(address))
            for address in _addresses(plan)
        }
        self._started_at: float = 0
        self._stream_states: list[_StreamState] = []
        self._in_flight = 0
        self._last_nonce = 0
        self._latencies_by_stream: dict[str, LatencyHistogram] = {}
        self._overheads_by_stream: dict[str, LatencyHistogram] = {}
        self._latencies_by_tenant: dict[str, LatencyHistogram] = defaultdict(
            LatencyHistogram,
        )
        self._counts_by_stream: dict[str, Counter[str]] = {}
        self._timers.after(0, self._start)

    def report(self) -> dict[str, Any]:
        """Return the measurements as JSON types."""
        streams = {
            name: {
                'counts': dict(counts),
                'latency': self._latencies_by_stream[name].summary(),
                'overhead': self._overheads_by_stream[name].summary(),
            }
            for name, counts in self._counts_by_stream.items()
        }
        totals: Counter[str] = Counter()
        for counts in self._counts_by_stream.values():
            totals.update(counts)
        return {
            'counts': dict(totals),
            'streams': streams,
            'by_tenant': summarize(self._latencies_by_tenant),
        }

    def _start(self) -> None:
        now = self._timers.clock.now()
        self._started_at = now
        for stream in self._plan.streams:
            due = now + stream.starts_at + self._next_gap(stream)
            self._stream_states.append(_StreamState(stream, due))
            self._counts_by_stream[stream.name] = Counter()
            self._latencies_by_stream[stream.name] = LatencyHistogram()
            self._overheads_by_stream[stream.name] = LatencyHistogram()
        self._timers.every(_TICK_PERIOD, self._tick)
        self._on_start()

    def _next_gap(self, stream: CallStream) -> float:
        return self._random.expovariate(stream.rate)

    def _tick(self) -> None:
        now = self._timers.clock.now()
        elapsed = now - self._started_at
        if elapsed >= self._plan.seconds:
            if (
                not self._in_flight
                or elapsed > self._plan.seconds + _CALL_TIMEOUT
            ):
                self.stop()
            return
        for state in self._stream_states:
            end = self._started_at + state.stream.ends_at
            while state.due <= now and state.due < end:
                self._start_call(state)
                state.due += self._next_gap(state.stream)

    def _start_call(self, state: _StreamState) -> None:
        stream = state.stream
        self._last_nonce += 1
        nonce = f'{stream.name}-{self._plan.seed}-{self._last_nonce}'
        headers = [
            ('x-nonce', nonce),
            ('bluebellsill-tenant', stream.tenant),
        ]
        if stream.method == 'POST':
            headers.append(('x-order', nonce))
        if stream.is_keyed:
            headers.append(('idempotency-key', str(self._new_key())))
        body = nonce.encode() if stream.method == 'POST' else b''
        addresses = stream.direct or self._plan.entries
        address = addresses[state.index % len(addresses)]
        state.index += 1
        headers.append(('host', address))
        request = Request(stream.method, stream.path, headers, body)
        self._counts_by_stream[stream.name]['calls'] += 1
        self._in_flight += 1
        intended_at = state.due
        self._pools[address].request(
            request,
            _CALL_TIMEOUT,
            lambda done: self._on_done(stream, nonce, intended_at, done),
        )

    def _on_done(
        self,
        stream: CallStream,
        nonce: str,
        intended_at: float,
        done: Result[Response, HttpFailure],
    ) -> None:
        self._in_flight -= 1
        counts = self._counts_by_stream[stream.name]
        if isinstance(done, Err):
            counts['no_answer'] += 1
            return
        response = done.ok_value
        kind = response.header('bluebellsill-error')
        if kind:
            counts[f'refused_{kind}'] += 1
        elif response.status == HTTPStatus.OK:
            is_expected = _is_expected(response, nonce, stream.size)
            counts['answered' if is_expected else 'wrong'] += 1
            seconds = self._timers.clock.now() - intended_at
            self._record(stream, seconds, response)
        else:
            counts[f'status_{response.status}'] += 1

    def _record(
        self,
        stream: CallStream,
        seconds: float,
        response: Response,
    ) -> None:
        self._latencies_by_stream[stream.name].record(seconds)
        self._latencies_by_tenant[stream.tenant].record(seconds)
        service_us = response.header('x-service-us')
        if service_us:
            overhead = seconds - int(service_us) / 1e6
            self._overheads_by_stream[stream.name].record(overhead)

    def _new_key(self) -> UUID:
        """Return a version 7 UUID, which contains its creation time."""
        milliseconds = int(time() * 1000)
        return UUID(
            int=milliseconds << 80
            | _UUID7_VERSION
            | self._random.getrandbits(12) << 64
            | _UUID_VARIANT
            | self._random.getrandbits(62),
        )


def _addresses(plan: LoadPlan) -> set[str]:
    addresses = set(plan.entries)
    for stream in plan.streams:
        addresses.update(stream.direct)
    return addresses


def _is_expected(response: Response, nonce: str, size: int) -> bool:
    expected = len(nonce) + 1 + size
    return (
        len(response.body) == expected
        and response.body.startswith(f'{nonce}\n'.encode())
        and response.header('x-nonce') == nonce
    )
