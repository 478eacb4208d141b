"""Fake connections of a node that a test controls and records."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec.structs import asdict

if TYPE_CHECKING:
    from bluebellsill.http import Response
    from bluebellsill.streams import Address
    from tests.node_session import NodeSession

_HIDDEN_FIELDS = frozenset(
    ('correlation', 'fingerprint', 'headers', 'body', 'holders', 'route'),
)
# Fields that few messages set; they are left out at their default.
_DEFAULTS_BY_FIELD: dict[str, Any] = {
    'body_size': 0,
    'compresses': False,
    'failing': 0,
    'has_arrived': False,
    'is_inner': False,
    'is_repeat': False,
    'key_tag': b'',
    'key_version': 0,
    'may_wait': True,
    'queue_ms': 0,
    'retry_ms': 0,
    'slowness': 1,
    'target_latency_ms': 0,
    'transfers_bodies': False,
    'team_importance': 0,
    'waiting_only': False,
}


class FakeStream:
    """A connection whose other side the test controls."""

    def __init__(
        self, session: NodeSession, address: Address, owner: Any
    ) -> None:
        self.session = session
        self.address = str(address)
        self.owner = owner
        self.is_connected = False
        self.is_closed = False
        self.received_eof = False
        self.unsent_bytes = 0
        self.queued_bytes = 0
        self._unsent: list[bytes] = []
        session.timers.after(0, self._connect)

    def send(self, payload: bytes) -> None:
        """Record what the node sends, once the connection is established."""
        self.queued_bytes += len(payload)
        if self.is_connected and not self.is_closed:
            self.session.on_sent(self, payload)
        else:
            self._unsent.append(payload)

    @property
    def delivered_bytes(self) -> int:
        """The bytes sent so far: all have arrived."""
        return self.queued_bytes

    def has_input(self) -> bool:
        """Return that nothing waits: input is handled when it is played."""
        return False

    def close(self) -> None:
        """Close the connection and record it, unless it is closed already."""
        if not self.is_closed:
            self.is_closed = True
            self.session.record(f'node closes its connection to {self.address}')

    def lose(self, reason: str) -> None:
        """Close the connection from the other side and notify the owner."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.on_lost(reason)

    def _connect(self) -> None:
        if self.address in self.session.refusing_addresses:
            self.session.record(f'{self.address} refuses a connection')
            self.lose('connection refused')
            return
        self.is_connected = True
        self.session.record(f'{self.address} accepts a connection')
        self.owner.on_connected()
        for payload in self._unsent:
            if not self.is_closed:
                self.session.on_sent(self, payload)


class FakeReply:
    """Receives the response to a caller."""

    def __init__(self, session: NodeSession, caller: str) -> None:
        self.on_abandoned: Any = None
        self._session = session
        self._caller = caller

    def send(self, response: Response) -> None:
        """Record the response."""
        notes = [
            f'{name}={response.header(header)}'
            for name, header in (
                ('error', 'bluebellsill-error'),
                ('run', 'bluebellsill-run'),
                ('replayed', 'idempotency-replayed'),
            )
            if response.header(header)
        ]
        body = '' if notes and 'error' in notes[0] else response.body.decode()
        line = ' '.join([str(response.status), *notes, body]).strip()
        self._session.record(f'{self._caller} gets {line}')


def describe(message: Any) -> str:
    """Format a message without fields that are irrelevant to the tests."""
    fields = asdict(message)
    texts = [
        f'{name}={text!r}'.replace(r'\x00', '/')
        for name, text in fields.items()
        if name not in _HIDDEN_FIELDS and text != ''
        if name not in _DEFAULTS_BY_FIELD or text != _DEFAULTS_BY_FIELD[name]
    ]
    return f'{type(message).__name__}({", ".join(texts)})'
