"""Two nodes, and the target beside one of them, on connections in memory."""

from __future__ import annotations

from collections import deque
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from bluebellsill import _connect_check, http_client, peers
from bluebellsill.announcement import Announcement
from bluebellsill.body_transfer import BodyReceiver, CallLinks
from bluebellsill.clock import ManualClock
from bluebellsill.dispatch import Attempt
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.filters import InboundRequest
from bluebellsill.http import Request, Response
from bluebellsill.messages import Call, Hello
from bluebellsill.metrics import Metrics
from bluebellsill.outbound_call import OutboundCall
from bluebellsill.peer_calls import PeerCalls
from bluebellsill.peers import PeerLinks, PeerServer
from bluebellsill.quarantine import Quarantine
from bluebellsill.route import Route
from bluebellsill.streams import Address
from bluebellsill.target_runner import TargetRunner
from bluebellsill.timers import TimerService

if TYPE_CHECKING:
    import pytest

ENTRY = '10.0.0.1:1'
NODE = '10.0.0.2:1'
TARGET = '127.0.0.1:8080'
SERVICE = 'uploads'
_STEP = 0.01  # seconds
_EMPTY_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'


class End:
    """One end of a connection in memory.

    Attributes:
        is_held: Whether nothing that is sent from here arrives for now.
        carries_bodies: Whether this is a connection for bodies.
    """

    def __init__(self, address: str, owner: Any) -> None:
        self.address = address
        self.owner = owner
        self.other: End
        self.is_connected = True
        self.is_closed = False
        self.received_eof = False
        self.unsent_bytes = 0
        self.is_held = False
        self.carries_bodies = False
        self.queued_bytes = 0
        self.delivered_bytes = 0
        self.outbox: deque[bytes] = deque()

    def start(self, owner: Any) -> None:
        self.owner = owner

    def send(self, payload: bytes) -> None:
        if not self.is_closed:
            self.queued_bytes += len(payload)
            self.outbox.append(bytes(payload))

    def has_input(self) -> bool:
        return False

    def close(self) -> None:
        self.is_closed = True

    def lose(self, reason: str) -> None:
        if not self.is_closed:
            self.is_closed = True
            self.owner.on_lost(reason)

    def deliver_one(self) -> bool:
        """Deliver what was sent first; return whether there was anything."""
        if not self.outbox:
            return False
        payload = self.outbox.popleft()
        self.delivered_bytes += len(payload)
        if not self.other.is_closed:
            self.other.owner.on_bytes(payload)
        return True


class _Listener:
    """Stands in for the listener of a peer server."""

    def __init__(self, reactor: Any, address: Address, accept: Any) -> None:
        self.address = address
        reactor.accept_by_address[str(address)] = accept

    def close(self) -> None:
        """Do nothing: the connections end with the test."""


class _Reactor:
    """Makes connections in memory."""

    carries_bodies = False

    def __init__(self, timers: TimerService) -> None:
        self.timers = timers
        self.accept_by_address: dict[str, Any] = {}
        self.refusing: set[str] = set()
        self.ends: list[End] = []

    def connect(self, reactor: Any, address: Address, owner: Any) -> End:
        """Connect to a listener, or to the target, which the test plays."""
        client = End(str(address), owner)
        server = End(f'from {address}', None)
        client.other, server.other = server, client
        client.carries_bodies = server.carries_bodies = reactor.carries_bodies
        if str(address) in self.refusing:
            client.is_connected = False
            self.timers.after(0, lambda: client.lose('connection refused'))
            return client
        self.ends += [client, server]
        accept = self.accept_by_address.get(str(address))
        if accept is None:
            server.start(_Target(server))
        else:
            accept(server)
        return client


class _Target:
    """Collects what the target receives on one connection."""

    def __init__(self, end: End) -> None:
        self.end = end
        self.received = b''

    def on_bytes(self, chunk: bytes) -> None:
        if chunk.startswith(b'GET '):
            self.end.send(_EMPTY_ANSWER)  # to a probe
        else:
            self.received += chunk

    def on_lost(self, reason: str) -> None:
        """Do nothing."""


class Outcomes:
    """A dispatch with one attempt, which records what became of it."""

    def __init__(self, timeout: float) -> None:
        self.log: list[str] = []
        self.may_have_run = False
        self.tried = (NODE,)
        self._timeout = timeout

    def start(self) -> Attempt:
        return Attempt(NODE, self._timeout)

    def on_answer(self, status: int, *_: Any, **__: Any) -> None:
        self.log.append(f'answer {status}')

    def on_refusal(self, kind: ErrorKind, *_: Any, **__: Any) -> Problem:
        self.log.append(f'not run: {kind.value}')
        return Problem(kind, '')

    def on_failure(self, kind: ErrorKind, *_: Any, **__: Any) -> Problem:
        self.log.append(f'may have run: {kind.value}')
        return Problem(ErrorKind.OUTCOME_UNKNOWN, '')

    def on_abandoned(self) -> None:
        self.log.append('abandoned')


class PeerWorld:
    """An entry node, a target's node and its target.

    Attributes:
        answers_hello: Whether the target's node transfers bodies.
    """

    def __init__(
        self, patch: pytest.MonkeyPatch, *, answers_hello: bool = True
    ) -> None:
        self.clock = ManualClock(100)
        self.timers = TimerService(self.clock)
        self.reactor: Any = _Reactor(self.timers)
        for module in (peers, http_client, _connect_check):
            patch.setattr(module, 'Stream', self.reactor)
        patch.setattr(peers, 'Listener', _Listener)
        self.metrics = Metrics()
        self.refusal_kind: ErrorKind | None = None
        self.suspected: list[str] = []
        self.runner = TargetRunner(
            self.reactor, self, Quarantine(), self.metrics
        )
        self.bodies = BodyReceiver(self.timers, self.metrics)
        server = PeerServer(self.reactor, Address.parse(NODE))
        PeerCalls(self.runner, self.bodies).serve(server)
        if answers_hello:
            server.hello = lambda: Hello(NODE, 1, transfers_bodies=True)
        body_reactor = SimpleNamespace(timers=self.timers, carries_bodies=True)
        self.calls = CallLinks(
            self._make_links(self.reactor), self._make_links(body_reactor)
        )
        self._announce()
        self.timers.every(1, self._announce)

    # Called by the runner as its owner.

    def refusal(self, call: Call) -> ErrorKind | None:
        return self.refusal_kind

    def service_of(self, name: str) -> None:
        return None

    def on_target_changed(self) -> None:
        """Do nothing: no other node is told."""

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Do nothing: no other node is told."""

    def on_cleared(self, fingerprint: int) -> None:
        """Do nothing: no other node is told."""

    # Called by tests.

    def call(
        self,
        body: bytes,
        *,
        name: str = 'a',
        timeout: float = 10,
        is_idempotent: bool = False,
        holds_bodies: bool = False,
    ) -> tuple[OutboundCall, Outcomes]:
        """Send a request to the node and deliver what follows.

        Args:
            body: The body of the request.
            name: Its correlation id.
            timeout: Seconds until the entry node gives up.
            is_idempotent: Whether it may run twice.
            holds_bodies: Whether nothing arrives on connections for bodies.
        """
        outcomes = Outcomes(timeout)
        inbound = InboundRequest(
            Request('POST', f'/{name}', [], body),
            caller='',
            correlation=name,
            received_at=self.clock.now(),
            service_name=SERVICE,
            route=Route('r', is_idempotent=is_idempotent),
            fingerprint=1,
        )
        dispatch: Any = outcomes
        call = OutboundCall(
            inbound,
            dispatch,
            self.calls,
            self.runner,
            ENTRY,
            [],
            lambda outcome: outcomes.log.append(_status(outcome)),
        )
        call.start()
        self.settle(holds_bodies=holds_bodies)
        return call, outcomes

    def settle(self, *, holds_bodies: bool = False) -> None:
        """Deliver everything that is not held."""
        is_busy = True
        while is_busy:
            self.timers.run_due()
            is_busy = False
            for end in tuple(self.reactor.ends):
                if holds_bodies and end.carries_bodies:
                    end.is_held = True
                if not end.is_held:
                    is_busy |= end.deliver_one()

    def advance(self, seconds: float) -> None:
        """Advance the clock and deliver everything that is not held."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            self.settle()

    def release_bodies(self) -> None:
        """Let bodies arrive."""
        for end in self.reactor.ends:
            end.is_held = False
        self.settle()

    def call_connection(self) -> End:
        """Return the entry node's latest connection for calls."""
        return self._connections(carries_bodies=False)[-1]

    def body_connection(self) -> End:
        """Return the entry node's latest connection for bodies."""
        return self._connections(carries_bodies=True)[-1]

    def body_sizes(self) -> list[int]:
        """Return the bytes that have arrived of each body on the way."""
        transfers = self.bodies._transfers_by_id.values()
        return [one.body.received for one in transfers]

    def cut(self, end: End) -> None:
        """End a connection at both sides; what is on the way is lost."""
        end.outbox.clear()
        end.other.outbox.clear()
        end.other.lose('closed by the other side')
        end.lose('closed by the other side')
        self.settle()

    def target_requests(self) -> list[bytes]:
        """Return what the target has received on each open connection."""
        return [
            one.owner.received
            for one in self.reactor.ends
            if isinstance(one.owner, _Target) and one.owner.received
            if not one.other.is_closed
        ]

    def target_answers(self, index: int = 0) -> None:
        """Answer a request on a connection of the target with 200."""
        open_ends = [
            one
            for one in self.reactor.ends
            if isinstance(one.owner, _Target) and one.owner.received
            if not one.other.is_closed
        ]
        open_ends[index].owner.received = b''
        open_ends[index].send(_EMPTY_ANSWER)
        self.settle()

    def _announce(self) -> None:
        self.runner.announce(Announcement(SERVICE, TARGET, 'one'))

    def _make_links(self, reactor: Any) -> PeerLinks:
        return PeerLinks(
            reactor,
            lambda _: Hello(ENTRY, 1, transfers_bodies=True),
            self.suspected.append,
        )

    def _connections(self, *, carries_bodies: bool) -> list[End]:
        return [
            one
            for one in self.reactor.ends
            if one.address == NODE and one.carries_bodies == carries_bodies
        ]


def _status(outcome: Response | Problem) -> str:
    if isinstance(outcome, Problem):
        return f'{outcome.response.status.value} to the client'
    return f'{outcome.status} to the client'
