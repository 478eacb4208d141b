"""The other side of a node's connections, played by a test."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from msgspec.structs import asdict

if TYPE_CHECKING:
    from bluebellsill.http import Response
    from bluebellsill.streams import Address
    from tests.node_session import NodeSession

_HIDDEN = frozenset(
    ('correlation', 'fingerprint', 'headers', 'body', 'holders', 'route'),
)
# Fields that few messages use; they are shown where they say something.
_DEFAULTS_BY_FIELD: dict[str, Any] = {
    'compresses': False,
    'failing': 0,
    'has_arrived': False,
    'is_inner': False,
    'may_wait': True,
    'retry_ms': 0,
    'slowness': 1,
    'target_latency_ms': 0,
}


class PlayedStream:
    """A connection whose other side the session plays."""

    def __init__(
        self, session: NodeSession, address: Address, owner: Any
    ) -> None:
        self.session = session
        self.address = str(address)
        self.owner = owner
        self.is_connected = False
        self.is_closed = False
        self.unsent_bytes = 0
        self._unsent: list[bytes] = []
        session.timers.after(0, self._connect)

    def send(self, payload: bytes) -> None:
        """Write down what is sent, once the connection is established."""
        if self.is_connected and not self.is_closed:
            self.session.on_sent(self, payload)
        else:
            self._unsent.append(payload)

    def close(self) -> None:
        """Close and write it down, unless it was closed before."""
        if not self.is_closed:
            self.is_closed = True
            self.session.write(f'node closes its connection to {self.address}')

    def lose(self, reason: str) -> None:
        """Close and tell the owner."""
        if not self.is_closed:
            self.is_closed = True
            self.owner.on_lost(reason)

    def _connect(self) -> None:
        if self.address in self.session.refusing:
            self.session.write(f'{self.address} refuses a connection')
            self.lose('connection refused')
            return
        self.is_connected = True
        self.session.write(f'{self.address} accepts a connection')
        self.owner.on_connected()
        for payload in self._unsent:
            self.send(payload)


class PlayedReply:
    """The way back to a caller."""

    def __init__(self, session: NodeSession, caller: str) -> None:
        self.on_abandoned: Any = None
        self._session = session
        self._caller = caller

    def send(self, response: Response) -> None:
        """Write the answer down."""
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
        self._session.write(f'{self._caller} is answered {line}')


def shown(message: Any) -> str:
    """Return a message without what a reader does not need."""
    fields = asdict(message)
    texts = [
        f'{name}={text!r}'.replace(r'\x00', '/')
        for name, text in fields.items()
        if name not in _HIDDEN and text != ''
        if name not in _DEFAULTS_BY_FIELD or text != _DEFAULTS_BY_FIELD[name]
    ]
    return f'{type(message).__name__}({", ".join(texts)})'
