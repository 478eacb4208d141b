"""Sends calls to other nodes, and large bodies apart from them."""

from __future__ import annotations

from collections import Counter, defaultdict
from functools import partial
from typing import TYPE_CHECKING, Any

from msgspec.structs import replace

from bluebellsill.body_transfer.outgoing import OutgoingBody, PieceQueue
from bluebellsill.logs import get_logger
from bluebellsill.messages import (
    BodyRequest,
    Call,
    Cancel,
    Refusal,
)
from bluebellsill.peers import LinkLost

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.messages import BodyProgress
    from bluebellsill.peers import PeerLinks

__all__ = ('CallLinks',)

# Bytes; a larger body is sent only to a node that has accepted its call.
_MAX_BODY_IN_CALL = 8192
# Bytes; the frame of a call with a larger body would be too long for a node
# that does not transfer bodies.
_MAX_BODY_IN_FRAME = 16000000
_COUNTS = ('bodies_sent', 'bodies_given_up', 'refused_before_body')


class _Upload:
    """A call whose body is sent apart from it."""

    __slots__ = ('body', 'call', 'on_reply', 'peer')

    def __init__(
        self, peer: str, call: Call, on_reply: Callable[[Any], None]
    ) -> None:
        self.peer = peer
        self.call = call
        self.on_reply = on_reply
        # None until the peer has asked for it.
        self.body: OutgoingBody | None = None

    @property
    def is_sent(self) -> bool:
        """Whether the peer may have the complete body."""
        return self.body is not None and self.body.is_sent


class CallLinks:
    """Sends calls over the links to peers, and large bodies over other ones.

    The reply to a call is ``LinkLost`` with ``is_sent`` only if the peer may
    have the complete call: without its body a call does not run.

    Attributes:
        counts: How many bodies were sent or given up, and how many calls
            were refused before their body was sent.
        reactor: Polls the sockets.
        body_links: The links that carry the bodies.
    """

    def __init__(self, links: PeerLinks, body_links: PeerLinks) -> None:
        """Create the sender of calls.

        Args:
            links: Carry calls and their replies.
            body_links: Carry bodies, so that no other message waits behind
                them; they are not compressed, as in ``CompressedFrames``.
        """
        self.counts: Counter[str] = Counter()
        self.reactor = links.reactor
        self._links = links
        self.body_links = body_links
        self._uploads_by_id: dict[int, _Upload] = {}
        self._pieces_by_peer: dict[str, PieceQueue] = defaultdict(PieceQueue)
        self._log = get_logger('bodies')

    @property
    def held_bytes(self) -> int:
        """The bytes of the bodies that have not been sent completely."""
        return sum(
            len(upload.call.body)
            for upload in self._uploads_by_id.values()
            if not upload.is_sent
        )

    def gauges(self) -> dict[str, Callable[[], float]]:
        """Return functions that read the counts."""
        return {
            name: partial(self.counts.__getitem__, name) for name in _COUNTS
        }

    def now(self) -> float:
        """Return the time in seconds."""
        return self._links.now()

    def next_id(self) -> int:
        """Return a new request id."""
        return self._links.next_id()

    def is_unsent(self, request_id: int) -> bool:
        """Return whether a call lacks a part of its body at the peer."""
        upload = self._uploads_by_id.get(request_id)
        return upload is not None and not upload.is_sent

    def request(
        self,
        peer: str,
        call: Call,
        on_reply: Callable[[Any], None],
    ) -> None:
        """Send a call whose ``id`` comes from ``next_id``.

        Args:
            peer: The peer's address.
            call: The call with its complete body.
            on_reply: Called once with the reply or ``LinkLost``.
        """
        if len(call.body) <= _MAX_BODY_IN_CALL:
            self._links.request(peer, call, on_reply)
            return
        upload = _Upload(peer, call, on_reply)
        self._uploads_by_id[call.id] = upload
        self._links.learn_support(
            peer, lambda support: self._on_support(upload, support)
        )

    def cancel(self, peer: str, call_id: int) -> None:
        """Cancel a call; send no more of its body, and ignore the reply."""
        upload = self._uploads_by_id.get(call_id)
        if upload is not None:
            self._end(upload, 'cancelled')
        self._links.forget(peer, call_id)
        self._links.send(peer, Cancel(call_id))

    def cancel_waiting(self, peer: str, call_id: int) -> None:
        """Ask the peer to refuse a call unless its target has started it."""
        self._links.send(peer, Cancel(call_id, waiting_only=True))

    def abort_connecting(self, peer: str) -> None:
        """Give up a link that is not established; see ``PeerLinks``."""
        self._links.abort_connecting(peer)

    def _on_support(self, upload: _Upload, support: bool | LinkLost) -> None:
        call = upload.call
        if self._uploads_by_id.get(call.id) is not upload:
            return
        if isinstance(support, LinkLost):
            self._reply(upload, support)
        elif support:
            head = replace(call, body=b'', body_size=len(call.body))
            self._links.request(
                upload.peer, head, lambda reply: self._on_reply(upload, reply)
            )
        elif len(call.body) > _MAX_BODY_IN_FRAME:
            reason = 'the peer does not transfer bodies of this size'
            self._reply(upload, LinkLost(reason, is_sent=False))
        else:
            self._end(upload, '')
            self._links.request(upload.peer, call, upload.on_reply)

    def _on_reply(self, upload: _Upload, reply: Any) -> None:
        if isinstance(reply, BodyRequest):
            self._start(upload, reply)
            return
        if isinstance(reply, LinkLost):
            is_sent = reply.is_sent and upload.is_sent
            reply = LinkLost(reply.reason, is_sent=is_sent)
        elif isinstance(reply, Refusal) and upload.body is None:
            self.counts['refused_before_body'] += 1
        self._reply(upload, reply)

    def _start(self, upload: _Upload, request: BodyRequest) -> None:
        if upload.body is not None:
            return

        def on_reply(message: BodyProgress | LinkLost) -> None:
            self._on_progress(upload, message)

        upload.body = OutgoingBody(request, upload.call.body, on_reply)
        self._pieces_by_peer[upload.peer].add(upload.body)
        self._send_pieces(upload.peer)

    def _send_pieces(self, peer: str) -> None:
        """Send the pieces that fit into the windows."""
        queue = self._pieces_by_peer[peer]
        for body in iter(queue.next_body, None):
            piece = body.take_piece()
            if piece.offset:
                self.body_links.send(peer, piece)
            else:
                self.body_links.request(peer, piece, body.on_reply)
        if not queue:
            del self._pieces_by_peer[peer]

    def _on_progress(
        self, upload: _Upload, message: BodyProgress | LinkLost
    ) -> None:
        body = upload.body
        if isinstance(message, LinkLost):
            self._on_body_link_lost(upload, message)
        elif body is not None:
            body.on_progress(message.received, message.limit)
            if body.is_received:
                self.counts['bodies_sent'] += 1
                self._log.info(
                    'body sent',
                    correlation=upload.call.correlation,
                    node=upload.peer,
                    size=body.size,
                )
                self._end_transfer(upload)
            self._send_pieces(upload.peer)

    def _on_body_link_lost(self, upload: _Upload, lost: LinkLost) -> None:
        """Give up the call if a part of its body has not been sent.

        Otherwise the peer replies: it refuses the call if a part has not
        arrived.
        """
        self._end_transfer(upload)
        if upload.is_sent:
            return
        call_id = upload.call.id
        self._links.forget(upload.peer, call_id)
        self._links.send(upload.peer, Cancel(call_id))
        self._reply(upload, LinkLost(lost.reason, is_sent=False))

    def _reply(self, upload: _Upload, reply: Any) -> None:
        self._end(upload, getattr(reply, 'reason', type(reply).__name__))
        upload.on_reply(reply)

    def _end(self, upload: _Upload, reason: str) -> None:
        """Drop the state of a call that has ended or needs it no longer."""
        self._uploads_by_id.pop(upload.call.id, None)
        self._end_transfer(upload)
        body = upload.body
        if body is not None and not body.is_sent:
            self.counts['bodies_given_up'] += 1
            self._log.info(
                'body not sent',
                correlation=upload.call.correlation,
                node=upload.peer,
                sent=body.sent,
                size=body.size,
                reason=reason,
            )

    def _end_transfer(self, upload: _Upload) -> None:
        body = upload.body
        queue = self._pieces_by_peer.get(upload.peer)
        if body is None or queue is None:
            return
        queue.remove(body)
        self.body_links.forget(upload.peer, body.transfer)
        # If the connection was lost, the other bodies that were on it have to
        # be told before pieces are sent on a new one.
        self.reactor.timers.after(0, lambda: self._send_pieces(upload.peer))
