"""One node whose callers, peers and target are played by a test.

Everything inside of the node is real; only the sockets and the clock are
not. What goes in and out is written down line by line.
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
from bluebellsill.caller_interface import OwnInterface
from bluebellsill.change_records import Change
from bluebellsill.choice import TwoChoices
from bluebellsill.clock import ManualClock
from bluebellsill.configuration import Configuration
from bluebellsill.crash_spread import CrashSpread
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
    Lives,
    Message,
    Settle,
    decode,
    encode,
)
from bluebellsill.metrics import Metrics
from bluebellsill.peers import PeerLinks
from bluebellsill.placement import Placement
from bluebellsill.quarantine import Quarantine
from bluebellsill.resources import OUTSIDE, Kind, Service
from bluebellsill.retries import RetryBudget
from bluebellsill.runs import Run
from bluebellsill.streams import Address
from bluebellsill.target_runner import TargetRunner
from bluebellsill.timers import TimerService
from tests.played import PlayedReply, PlayedStream, shown

if TYPE_CHECKING:
    from collections.abc import Callable

    import pytest

OWN = '10.0.0.1:1'
TARGET = '127.0.0.1:8080'
_GOLDEN = Path(__file__).parent / 'golden'
_START = 1_700_000_000.0  # seconds since 1970
_STEP = 0.01  # seconds
_LIFETIME_MS = 6000
_BUDGET_MS = 1000
_PREFIX = 4  # bytes of a frame's length


class NodeSession:
    """One node in the middle of its session."""

    def __init__(self, patch: pytest.MonkeyPatch, *, service: str = '') -> None:
        self.lines: list[str] = []
        self.refusing: set[str] = set()
        self.streams: list[PlayedStream] = []
        self.is_fresh = True
        self.asked: list[tuple[str, int]] = []
        self.sent: list[Message] = []
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
            lambda peer: self.write(f'node suspects {peer}'),
        )
        self.crashes = CrashSpread(self.members, self.links, quarantine)
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
            OwnInterface(
                self.members,
                self.configuration,
                quarantine,
                self.clock,
                random,
            ),
            Placement(
                self.members,
                self.configuration,
                lambda: TwoChoices(random, self.members.own.zone),
                RetryBudget,
            ),
            self.links,
            self.runner,
            metrics,
            self.keys,
        )

    # The runner asks these.

    def refusal(self) -> ErrorKind | None:
        """Return why new work is refused at this node, if it is."""
        return self.acceptance.refusal()

    def service_of(self, name: str) -> Service | None:
        """Return a declared service."""
        return self.configuration.service(name)

    def on_target_changed(self) -> None:
        """Write down whether the target wants work."""
        announcement = self.runner.announcement
        state = 'gone'
        if announcement is not None:
            state = 'leaving' if announcement.is_leaving else 'ready'
        self.write(f'node tells its peers that its target is {state}')

    def on_crash(self, start_id: str, fingerprints: list[int]) -> None:
        """Pass a crash on to the peers."""
        self.crashes.on_crash(start_id, fingerprints)

    def on_cleared(self, fingerprint: int) -> None:
        """Pass it on to the peers."""
        self.crashes.on_cleared(fingerprint)

    # The session.

    def wall_clock(self) -> float:
        """Return seconds since 1970."""
        return _START + self.clock.now()

    def write(self, line: str) -> None:
        """Write a line down with its time."""
        self.lines.append(f'{self.clock.now():7.2f}  {line}')

    def title(self, text: str) -> None:
        """Begin a part of the session."""
        self.lines.append(f'\n# {text}')

    def let_pass(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / _STEP)):
            self.clock.advance(_STEP)
            self.timers.run_due()

    def declare(self, kind: Kind, name: str, **spec: Any) -> None:
        """Put a resource into force."""
        revision = self.configuration.revision + 1
        change = Change(revision, f'token-{revision}', kind, name, spec)
        self.configuration.apply_changes([change])

    def meet(self, member_id: str, service: str, zone: str = 'a') -> None:
        """Learn of another node whose target is ready."""
        state = int(MemberState.READY)
        record = Member(member_id, 1, 0, state, zone, service)
        self.members.merge(record, self.clock.now())

    def call(
        self,
        name: str,
        method: str,
        path: str,
        caller: str = OUTSIDE,
        **headers: str,
    ) -> PlayedReply:
        """Send a caller's request, or one of the target beside the node."""
        pairs = [(key.replace('_', '-'), text) for key, text in headers.items()]
        notes = [f'{header}: {text}' for header, text in pairs]
        self.write(' '.join([name, 'sends', method, path, *notes]))
        reply = PlayedReply(self, name)
        request = Request(method, path, pairs, b'')
        self.gateway.handle(request, reply, caller)  # type: ignore[arg-type]
        self.timers.run_due()
        return reply

    def leave(self, caller: str, reply: PlayedReply) -> None:
        """Let a caller go away before its answer."""
        self.write(f'{caller} goes away')
        reply.on_abandoned()

    def says(self, address: str, message: Message) -> None:
        """Let a peer send a message."""
        self.write(f'{address} says {shown(message)}')
        payload = encode(message)
        frame = len(payload).to_bytes(_PREFIX, 'big') + payload
        self._stream(address).owner.on_bytes(frame)
        self.timers.run_due()

    def reply(self, make: Callable[[int], Message], index: int = -1) -> str:
        """Let the peer that was asked reply.

        Args:
            make: Makes the reply to a request's id.
            index: Which of the requests so far is replied to.

        Returns:
            The peer.
        """
        peer, request_id = self.asked[index]
        self.says(peer, make(request_id))
        return peer

    def answers(self, status: int, body: str = '', index: int = 0) -> None:
        """Let the target answer on its ``index``-th busy connection."""
        self.write(f'target answers {status} {body}'.rstrip())
        head = f'HTTP/1.1 {status} -\r\ncontent-length: {len(body)}\r\n\r\n'
        stream = self._open(TARGET)[index]
        stream.owner.on_bytes(f'{head}{body}'.encode())
        self.timers.run_due()

    def ends(self, address: str, index: int = -1) -> None:
        """Let the other side close a connection."""
        self.write(f'{address} closes a connection')
        self._open(address)[index].lose('closed by the other side')
        self.timers.run_due()

    def announce(self, start_id: str, *, is_leaving: bool = False) -> None:
        """Let the target announce itself."""
        self.write(f'target announces start {start_id}, leaving={is_leaving}')
        service = self.members.own.service
        self.runner.announce(
            Announcement(service, TARGET, start_id, is_leaving)
        )
        self.timers.run_due()

    def hand(
        self,
        name: str,
        path: str,
        *,
        priority: int = 1,
        fingerprint: int = 0,
    ) -> Run | None:
        """Hand the runner a peer's call."""
        self.write(f'peer hands over {name}: GET {path}, priority {priority}')
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
            lambda reply: self.write(f'peer hears of {name}: {shown(reply)}'),
        )
        self.timers.run_due()
        return run

    def claim(self, key: str, owner: str, fingerprint: int = 7) -> None:
        """Let an entry node claim a key that this node holds."""
        scoped, holders = self._scoped(key)
        claim = Claim(0, scoped, fingerprint, owner, _LIFETIME_MS, holders)
        state = ClaimState(self.keys.grant(claim).state)
        self.write(f'{owner} claims {key[-1]}: {state.name.lower()}')

    def settle(self, key: str, owner: str, outcome: Outcome) -> None:
        """Let an entry node tell how its request ended."""
        scoped, _ = self._scoped(key)
        self.write(f'{owner} settles {key[-1]}: {outcome.name.lower()}')
        answer = (200, [], b'paid') if outcome is Outcome.ANSWERED else ()
        self.keys.take_settle(Settle(scoped, owner, int(outcome), *answer))

    def lose(self, member_id: str) -> None:
        """Learn that another node is gone without having left."""
        self.write(f'{member_id} is gone')
        record = self.members.by_id[member_id]
        gone = replace(record, state=int(MemberState.GONE))
        self.members.merge(gone, self.clock.now())

    def _scoped(self, key: str) -> tuple[str, Lives]:
        service = self.members.own.service
        scoped = f'{OUTSIDE}\0{service}\0{key}'
        return scoped, self.keys.holders(service, scoped)

    def on_sent(self, stream: PlayedStream, payload: bytes) -> None:
        """Write down what the node sends."""
        if stream.address == TARGET:
            line = payload.decode().partition(' HTTP/1.1')[0]
        else:
            message = decode(payload[_PREFIX:])
            line = shown(message)
            self.sent.append(message)
            if isinstance(message, Call | Claim):
                self.asked.append((stream.address, message.id))
        self.write(f'node sends {stream.address} {line}')

    def compare(self, name: str) -> None:
        """Compare the whole session with its golden file."""
        session = '\n'.join(self.lines).strip() + '\n'
        golden = _GOLDEN / name
        # To renew the file after a change that is meant, remove it and run twice.
        if not golden.exists():
            golden.write_text(session, encoding='utf-8')
            raise AssertionError(f'{golden} was missing and has been written')
        assert session == golden.read_text(encoding='utf-8')

    def _connect(
        self, reactor: Any, address: Address, owner: Any
    ) -> PlayedStream:
        stream = PlayedStream(self, address, owner)
        self.streams.append(stream)
        return stream

    def _open(self, address: str) -> list[PlayedStream]:
        return [
            one
            for one in self.streams
            if one.address == address and not one.is_closed
        ]

    def _stream(self, address: str) -> PlayedStream:
        return self._open(address)[-1]
