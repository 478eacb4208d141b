"""Keeps what a node knows of crashing requests equal to that of its peers."""

from __future__ import annotations

from collections import deque
from itertools import count
from typing import TYPE_CHECKING

from bluebellsill.gossip_messages import SuspicionQuery
from bluebellsill.logs import get_logger
from bluebellsill.membership import MemberState
from bluebellsill.messages import CrashReport
from bluebellsill.streams import Address

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bluebellsill.crash_replication import CrashReplicator
    from bluebellsill.peer_stack import PeerStack
    from bluebellsill.peers import PeerConnection
    from bluebellsill.quarantine import Quarantine
    from bluebellsill.timers import TimerService

__all__ = ('SuspicionSync',)

_PERIOD = 1.0  # seconds between queries of a node that is current
_AWAITING_PERIOD = 0.05  # seconds between queries while an answer is awaited
_QUERIED_PEERS = 3  # at a time, while an answer is awaited
# Answers of peers that are not current either after which a node takes it that
# all have started together.
_ENOUGH = 5
# Seconds without an answer after which a node goes on with what it knows: in
# an outage each part of the system continues to serve on its own.
_MAX_WAIT = 1.5
# Seconds after which a node that knows members, and never knew one of its
# service, takes itself for the only one.
_ALONE_WAIT = 0.2
_MAX_REMEMBERED = 4  # peers that are asked although they seem to be gone
_MS_PER_SECOND = 1000


class SuspicionSync:
    """Asks the other nodes of the service what they know.

    A node that has started, was paused or was cut off is not current until a
    current peer has answered, or several that are not current either. Besides,
    each node compares a digest with one random peer in each period, which
    brings it what it has missed without notice. The cost to a node does not
    depend on their number.

    Attributes:
        on_current: Called each time the node has become current.
    """

    def __init__(
        self,
        peers: PeerStack,
        quarantine: Quarantine,
        crashes: CrashReplicator,
        timers: TimerService,
        random: Random,
        *,
        is_first_start: bool,
    ) -> None:
        """Create the exchange of a node.

        Args:
            peers: The other nodes; queries and reports are received here.
            quarantine: What this node knows.
            crashes: Applies the reports of other nodes.
            timers: Schedule the queries.
            random: Selects the peers to ask.
            is_first_start: Whether all nodes start for the first time, so
                that there is nothing to learn.
        """
        self.on_current: Callable[[], None] | None = None
        self._peers = peers
        self._members = peers.members
        self._quarantine = quarantine
        self._crashes = crashes
        self._clock = timers.clock
        self._random = random
        self._queries = count(1)
        self._log = get_logger('crashes')
        self._is_current = True
        # Whether it went on because it knew no peer that could answer.
        self._is_unanswered = False
        self._first_query = 0  # answers to earlier ones are too old
        self._began_at: float = 0
        # When other members were known first; none is known at the start.
        self._met_at: float | None = None
        self._answered: set[str] = set()
        # Peers that were asked last. After a cut they seem to be gone.
        self._asked: deque[str] = deque(maxlen=_MAX_REMEMBERED)
        self._timers = timers
        peers.server.on(CrashReport, self.on_report)
        peers.gossip_task.on_suspicion_query = self.on_query
        peers.gossip_task.on_interrupted = self.begin
        timers.every(_PERIOD, self._compare)
        if not is_first_start:
            self.begin()

    @property
    def is_current(self) -> bool:
        """Whether the node knows what its peers knew when it asked."""
        return self._is_current

    def begin(self) -> None:
        """Learn anew what the peers know."""
        was_current = self._is_current
        self._is_current = False
        self._is_unanswered = False
        self._began_at = self._clock.now()
        self._answered.clear()
        self._first_query = next(self._queries)
        if was_current:
            self._await_answer()

    def on_query(self, message: SuspicionQuery) -> None:
        """Answer a node that waits, or that knows something else."""
        sender = message.sender.id
        try:
            Address.parse(sender)
        except ValueError as error:
            self._log.warning('query ignored', reason=str(error))
            return
        now = self._clock.now()
        self._members.merge(message.sender, now)
        differs = message.digest != self._quarantine.digest(now)
        if not differs and not message.query:
            return
        rows = self._quarantine.rows(now) if differs else []
        report = CrashReport(
            '', [], [], rows, message.query, is_current=self._is_current
        )
        self._peers.links.send(sender, report)

    def on_report(
        self, connection: PeerConnection, report: CrashReport
    ) -> None:
        """Apply a report; note whether it is an awaited answer."""
        self._crashes.on_report(connection, report)
        if self._is_current or report.answers < self._first_query:
            return
        if report.is_current:
            self._become_current('a peer has answered')
            return
        self._answered.add(connection.member_id)
        awaited = self._awaited_peers()
        if len(awaited & self._answered) >= min(_ENOUGH, len(awaited)):
            self._become_current('peers that have started too have answered')

    def _compare(self) -> None:
        if self._is_unanswered and self._awaited_peers():
            self._log.info('peers are known; asking for missed crashes')
            self.begin()
        elif self._is_current:
            self._query(1, query=0)

    def _await_answer(self) -> None:
        """Ask until there is an answer, or none is to be expected."""
        now = self._clock.now()
        if self._is_current:
            return
        if now - self._began_at > _MAX_WAIT:
            self._become_current('no peer has answered')
            self._is_unanswered = not self._awaited_peers()
        elif self._is_alone(now):
            self._become_current('no other node of the service')
            self._is_unanswered = True
        else:
            self._query(_QUERIED_PEERS, query=next(self._queries))
            self._timers.after(_AWAITING_PERIOD, self._await_answer)

    def _query(self, most: int, *, query: int) -> None:
        own = self._members.own
        message = SuspicionQuery(
            own, self._quarantine.digest(self._clock.now()), query
        )
        chosen = self._members.sample_of_service(
            own.service, most, self._random
        )
        remembered = self._asked if query else ()
        for peer in dict.fromkeys((*chosen, *remembered)):
            self._peers.gossip.send(peer, message)
        self._asked.extend(one for one in chosen if one not in self._asked)

    def _is_alone(self, now: float) -> bool:
        if self._met_at is None and len(self._members.live()) > 1:
            self._met_at = now
        if self._met_at is None or self._asked or self._awaited_peers():
            return False
        return now - self._met_at > _ALONE_WAIT

    def _awaited_peers(self) -> set[str]:
        own = self._members.own
        members = self._members.of_service(own.service)
        live = {one.id for one in members if one.state < MemberState.SUSPECT}
        return live - {own.id}

    def _become_current(self, reason: str) -> None:
        self._is_current = True
        now = self._clock.now()
        self._log.info(
            'suspects are current',
            reason=reason,
            waited_ms=round((now - self._began_at) * _MS_PER_SECOND),
            suspects=len(self._quarantine.rows(now)),
        )
        if self.on_current is not None:
            self.on_current()
