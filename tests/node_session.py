"""A node in a test that plays its callers, its peers and its target.

The node itself is real; only the sockets and the clock are fake. Each input
and output of the node is recorded as a line, for comparison with a golden
file.
"""

from __future__ import annotations

from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from bluebellsill import _connect_check, http_client, peers
from bluebellsill.acceptance import Acceptance
from bluebellsill.announcement import Announcement
from bluebellsill.balancing_policy import TwoChoices
from bluebellsill.body_transfer import CallLinks
from bluebellsill.caller_interface import NativeInterface
from bluebellsill.change_records import Change
from bluebellsill.clock import ManualClock
from bluebellsill.configuration import Configuration
from bluebellsill.crash_replication import CrashReplicator
from bluebellsill.errors import ErrorKind
from bluebellsill.gateway import Gateway
from bluebellsill.gossip_messages import Member
from bluebellsill.http import Request
from bluebellsill.idempotency import ClaimState, Outcome
from bluebellsill.key_registry import KeyRegistry
from bluebellsill.membership import Members, MemberState
from bluebellsill.messages import (
    Call,
    Claim,
    Hello,
    Incarnations,
    Message,
    Settle,
    decode,
    encode,
)
from bluebellsill.metrics import Metrics
from bluebellsill.peers import PeerLinks
from bluebellsill.quarantine import Quarantine
from bluebellsill.resources import EXTERNAL_CALLER, Kind, Service
from bluebellsill.retries import RetryBudget
from bluebellsill.router_registry import RouterRegistry
from bluebellsill.runs import Run
from bluebellsill.streams import Address
from bluebellsill.target_runner import TargetRunner
from bluebellsill.timers import TimerService
from tests.played import FakeReply, FakeStream, describe

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

OWN = '10.0.0.1:1'
TARGET = '127.0.0.1:8080'
_GOLDEN = Path(__file__).parent / 'golden'
_WALL_CLOCK_START = 1_700_000_000.0  # seconds since 1970
_STEP = 0.01  # seconds; how far the clock advances between timer runs
_CLAIM_LIFETIME_MS = 6000
_BUDGET_MS = 1000
_LENGTH_PREFIX = 4  # bytes; precedes each frame


class NodeSession:
    """A node with fake connections, and the record of its session.

    Attributes:
        lines: The record of the session.
        refusing_addresses: Addresses that refuse connections.
        streams: All connections that the node has opened.
        is_fresh: Whether the node's configuration is up to date.
        peer_requests: The peer and the request id of each call or claim
            that the node has sent.
        sent_messages: The messages that the node has sent to its peers.
    """

    def __init__(self, patch: pytest.MonkeyPatch, *, service: str = '') -> None:
        self.lines: list[str] = []
        self.refusing_addresses: set[str] = set()
        self.streams: list[FakeStream] = []
        self.is_fresh = True
        self.peer_requests: list[tuple[str, int]] = []
        self.sent_messages: list[Message] = []
        self.clock = ManualClock()
        self.timers = TimerService(self.clock)
        self.reactor: Any = SimpleNamespace(timers=self.timers)
        for module in (peers, http_client, _connect_check):
            patch.setattr(
                module, 'Stream', SimpleNamespace(connect=self._connect)
            )
        own = Member(OWN, 1, 0, int(MemberState.READY), 'a', service)
        self.members = Members(own)
        self.configuration = Configuration()
        self._build()

    def _build(self) -> None:
        quarantine = Quarantine()
        metrics = Metrics()
        self.links = PeerLinks(
            self.reactor,
            lambda _: Hello(OWN, 1),
            lambda peer: self.record(f'node suspects {peer}'),
        )
        self.body_links = PeerLinks(
            self.reactor, lambda _: Hello(OWN, 1), lambda _: None
        )
        self.crashes = CrashReplicator(
            self.members, self.links, quarantine, Random(1)
        )
        self.runner = TargetRunner(self.reactor, self, quarantine, metrics)
        self.keys = KeyRegistry(
            self.members,
            self.links,
            self.configuration,
            self.wall_clock,
            lambda: self.is_fresh,
        )
        self.acceptance = Acceptance(
            self.members,
            self.configuration,
            lambda: self.is_fresh,
        )
        random = Random(1)
        self.gateway = Gateway(
            OWN,
            NativeInterface(
                self.members,
                self.configuration,
                quarantine,
                self.clock,
                random,
            ),
            RouterRegistry(
                self.members,
                self.configuration,
                lambda: TwoChoices(random, self.members.own.zone),
                RetryBudget,
            ),
            CallLinks(self.links, self.body_links),
            self.runner,
            metrics,
            self.keys,
        )

    # Called by the runner as its owner.

    def refusal(self, call: Call) -> ErrorKind | None:
        """Return why this node refuses a call, or None."""
        return self.acceptance.refusal()

    def service_of(self, name: str) -> Service | None:
        """Return a declared service, or None."""
        return self.configuration.service(name)

    def on_target_changed(self) -> None:
        """Record whether the target accepts new work."""
        announcement = self.runner.announcement
        state = 'gone'
        if announcement is not None:
            state = 'leaving' if announcement.is_leaving else 'ready'
        self.record(f'node tells its peers that its target is {state}')

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Report a crash to the peers."""
        self.crashes.on_crash(start_id, fingerprints)

    def on_cleared(self, fingerprint: int) -> None:
        """Tell the peers that a fingerprint is no longer suspected."""
        self.crashes.on_cleared(fingerprint)

    # Called by tests.

    def wall_clock(self) -> float:
        """Return the time in seconds since 1970."""
        return _WALL_CLOCK_START + self.clock.now()

    def record(self, line: str) -> None:
        """Record a line with the current time."""
        self.lines.append(f'{self.clock.now():7.2f}  {line}')

    def section(self, text: str) -> None:
        """Begin a section of the record."""
        self.lines.append(f'\n# {text}')

    def advance(self, seconds: float) -> None:
        """Advance the clock and run the timers that are due."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            self.timers.run_due()

    def declare(self, kind: Kind, name: str, **spec: Any) -> None:
        """Apply a resource to the configuration."""
        revision = self.configuration.revision + 1
        change = Change(revision, f'token-{revision}', kind, name, spec)
        self.configuration.apply_changes([change])

    def add_target_node(
        self, member_id: str, service: str, zone: str = 'a'
    ) -> None:
        """Add a member whose target is ready."""
        state = int(MemberState.READY)
        record = Member(member_id, 1, 0, state, zone, service)
        self.members.merge(record, self.clock.now())

    def call(
        self,
        name: str,
        method: str,
        path: str,
        caller: str = EXTERNAL_CALLER,
        **headers: str,
    ) -> FakeReply:
        """Send a request of a caller or, if ``caller`` names one, a target."""
        pairs = [(key.replace('_', '-'), text) for key, text in headers.items()]
        notes = [f'{header}: {text}' for header, text in pairs]
        self.record(' '.join([name, 'sends', method, path, *notes]))
        reply = FakeReply(self, name)
        request = Request(method, path, pairs, b'')
        self.gateway.handle(request, reply, caller)  # type: ignore[arg-type]
        self.timers.run_due()
        return reply

    def disconnect_caller(self, caller: str, reply: FakeReply) -> None:
        """Disconnect a caller before it gets its response."""
        self.record(f'{caller} disconnects')
        reply.on_abandoned()

    def deliver(self, address: str, message: Message) -> None:
        """Deliver a message from a peer."""
        self.record(f'{address} sends {describe(message)}')
        payload = encode(message)
        frame = len(payload).to_bytes(_LENGTH_PREFIX, 'big') + payload
        self._latest_open_stream(address).owner.on_bytes(frame)
        self.timers.run_due()

    def reply(self, make: Callable[[int], Message], index: int = -1) -> str:
        """Deliver a peer's reply to a request of the node.

        Args:
            make: Returns the reply for a request id.
            index: The index of the request among all requests so far.

        Returns:
            The address of the peer.
        """
        peer, request_id = self.peer_requests[index]
        self.deliver(peer, make(request_id))
        return peer

    def target_responds(
        self, status: int, body: str = '', index: int = 0
    ) -> None:
        """Deliver a response of the target on an open connection.

        Args:
            status: The HTTP status.
            body: The body.
            index: The index among the open connections to the target.
        """
        self.record(f'target answers {status} {body}'.rstrip())
        head = f'HTTP/1.1 {status} -\r\ncontent-length: {len(body)}\r\n\r\n'
        stream = self._open_streams(TARGET)[index]
        stream.owner.on_bytes(f'{head}{body}'.encode())
        self.timers.run_due()

    def close_connection(self, address: str, index: int = -1) -> None:
        """Close an open connection from the other side."""
        self.record(f'{address} closes a connection')
        self._open_streams(address)[index].lose('closed by the other side')
        self.timers.run_due()

    def announce(self, start_id: str, *, is_leaving: bool = False) -> None:
        """Deliver an announcement of the target."""
        self.record(f'target announces start {start_id}, leaving={is_leaving}')
        service = self.members.own.service
        self.runner.announce(
            Announcement(service, TARGET, start_id, is_leaving)
        )
        self.timers.run_due()

    def call_from_peer(
        self,
        name: str,
        path: str,
        *,
        priority: int = 1,
        fingerprint: int = 0,
    ) -> Run | None:
        """Run a call from a peer at the target."""
        self.record(f'peer sends call {name}: GET {path}, priority {priority}')
        call = Call(
            0,
            self.members.own.service,
            'GET',
            path,
            [],
            b'',
            _BUDGET_MS,
            priority,
            True,
            fingerprint,
            name,
        )
        run = self.runner.run(
            call,
            lambda reply: self.record(
                f'peer gets reply to {name}: {describe(reply)}'
            ),
        )
        self.timers.run_due()
        return run

    def claim(self, key: str, owner: str, fingerprint: int = 7) -> None:
        """Claim a key at this node on behalf of an entry node."""
        scoped, holders = self._scope_key(key)
        claim = Claim(
            0, scoped, fingerprint, owner, _CLAIM_LIFETIME_MS, holders
        )
        state = ClaimState(self.keys.on_claim(claim).state)
        self.record(f'{owner} claims {key[-1]}: {state.name.lower()}')

    def settle(self, key: str, owner: str, outcome: Outcome) -> None:
        """Settle a claim with the outcome of the request."""
        scoped, _ = self._scope_key(key)
        self.record(f'{owner} settles {key[-1]}: {outcome.name.lower()}')
        answer = (200, [], b'paid') if outcome is Outcome.ANSWERED else ()
        self.keys.on_settle(Settle(scoped, owner, int(outcome), *answer))

    def mark_gone(self, member_id: str) -> None:
        """Mark a member as gone without a graceful exit."""
        self.record(f'{member_id} is gone')
        record = self.members.by_id[member_id]
        gone = replace(record, state=int(MemberState.GONE))
        self.members.merge(gone, self.clock.now())

    def _scope_key(self, key: str) -> tuple[str, Incarnations]:
        service = self.members.own.service
        scoped = f'{EXTERNAL_CALLER}\0{service}\0{key}'
        return scoped, self.keys.holders(service, scoped)

    def on_sent(self, stream: FakeStream, payload: bytes) -> None:
        """Record what the node sends."""
        if stream.address == TARGET:
            line = payload.decode().partition(' HTTP/1.1')[0]
        else:
            message = decode(payload[_LENGTH_PREFIX:])
            line = describe(message)
            self.sent_messages.append(message)
            if isinstance(message, Call | Claim):
                self.peer_requests.append((stream.address, message.id))
        self.record(f'node sends {stream.address} {line}')

    def compare_with_golden(self, name: str) -> None:
        """Check the record against a golden file."""
        session = '\n'.join(self.lines).strip() + '\n'
        golden = _GOLDEN / name
        # To update the file after an intended change, remove it and run twice.
        if not golden.exists():
            golden.write_text(session, encoding='utf-8')
            raise AssertionError(f'{golden} did not exist and has been written')
        assert session == golden.read_text(encoding='utf-8')

    def _connect(
        self, reactor: Any, address: Address, owner: Any
    ) -> FakeStream:
        stream = FakeStream(self, address, owner)
        self.streams.append(stream)
        return stream

    def _open_streams(self, address: str) -> list[FakeStream]:
        return [
            one
            for one in self.streams
            if one.address == address and not one.is_closed
        ]

    def _latest_open_stream(self, address: str) -> FakeStream:
        return self._open_streams(address)[-1]
