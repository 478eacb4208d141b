"""Admits the requests of teams at their entry node, within the allowances."""

from __future__ import annotations

from collections import OrderedDict
from math import ceil
from typing import TYPE_CHECKING

from bluebellsill.allowances.team_queue import (
    MAX_WAITING,
    TeamQueue,
    TeamTokens,
    WaitingRequest,
)
from bluebellsill.allowances.token_ledger import TokenLedger
from bluebellsill.errors import ErrorKind, Problem
from bluebellsill.logs import get_logger
from bluebellsill.messages import TokenGrant, TokenRequest
from bluebellsill.resources import EXTERNAL_CALLER

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bluebellsill.allowances.grantor_service import GrantorService
    from bluebellsill.allowances.grantors import Grantors
    from bluebellsill.allowances.population import Population
    from bluebellsill.filters import InboundRequest
    from bluebellsill.metrics import Metrics
    from bluebellsill.peers import LinkLost, PeerLinks
    from bluebellsill.teams import Allowance, Team
    from bluebellsill.timers import TimerService

__all__ = ('AllowanceStep',)

_MAX_TEAMS = 4096  # with a ledger; those not used for longest are dropped
# Seconds that a node waits for the grantor's answer. A node that puts a new
# document in force is busy for 0.1 to 0.2 s.
_MAX_WAIT = 0.25
_CANDIDATES = 2  # nodes that are asked for the tokens of one request
# Seconds after which to come again while no grantor answers.
_CUT_OFF_DELAY = 0.25
_RETURN_PERIOD = 1.0  # seconds in which the token of an unrun request returns
_MS_PER_SECOND = 1000


class AllowanceStep:
    """Decides on each request of a team with an allowance.

    It sends messages and sets timers only while requests of a team arrive.
    """

    def __init__(
        self,
        own_id: str,
        grantors: Grantors,
        service: GrantorService,
        population: Population,
        links: PeerLinks,
        document_version: Callable[[], int],
        random: Random,
        metrics: Metrics,
    ) -> None:
        """Create a step without teams.

        Args:
            own_id: The id of this node.
            grantors: Tells whom to ask for tokens.
            service: Answers if that is this node.
            population: Counts the nodes.
            links: Connections to the other nodes.
            document_version: Returns the version of the routing document in
                force, which declares the allowances.
            random: Spreads the levels of the own buckets.
            metrics: Counts the decisions.
        """
        self._own_id = own_id
        self._grantors = grantors
        self._service = service
        self._population = population
        self._links = links
        self._timers: TimerService = links.reactor.timers
        self._document_version = document_version
        self._random = random
        self._counts = metrics.counts
        self._queues: OrderedDict[str, TeamQueue] = OrderedDict()
        self._log = get_logger('allowances')
        metrics.gauges['allowance_teams'] = lambda: len(self._queues)

    def admit(
        self,
        inbound: InboundRequest,
        on_decided: Callable[[Problem | None], None],
    ) -> None:
        """Admit a request with a token, at once or after asking for some."""
        team = inbound.team
        if (
            team is None
            or team.allowance is None
            or inbound.caller != EXTERNAL_CALLER
        ):
            on_decided(None)
            return
        now = self._timers.clock.now()
        queue = self._queue(team.name, team.allowance)
        queue.ledger.on_arrival(now)
        if not queue.waiting and queue.ledger.take(now):
            on_decided(None)
            self._ask_if_needed(team.name, queue)
            return
        one = WaitingRequest(inbound, on_decided)
        if queue.ledger.denied_until > now or len(queue.waiting) >= MAX_WAITING:
            self._refuse(one, max(0, queue.ledger.denied_until - now), 'denied')
            return
        if queue.is_cut_off and not queue.may_ask(now):
            self._decide_alone(one, queue)
            return
        queue.waiting.append(one)
        self._ask_if_needed(team.name, queue)

    def preview(self, team: Team) -> TeamTokens | None:
        """Return the tokens of a team here, None before its first request."""
        queue = self._queues.get(team.name)
        if queue is None or team.allowance is None:
            return None
        now = self._timers.clock.now()
        ledger = queue.ledger.copy()
        if ledger.allowance != team.allowance:
            ledger.change_allowance(team.allowance)
        return TeamTokens(
            ledger.tokens(now),
            max(0, ledger.denied_until - now),
            len(queue.waiting),
            is_full=len(queue.waiting) >= MAX_WAITING,
            has_grantor=not queue.is_cut_off,
        )

    def on_not_run(self, inbound: InboundRequest) -> None:
        """Return the token of a request that has not run."""
        team = inbound.team
        if team is None or inbound.caller != EXTERNAL_CALLER:
            return
        queue = self._queues.get(team.name)
        now = self._timers.clock.now()
        # An old token counts towards a window that has passed.
        if queue is None or now - inbound.received_at > _RETURN_PERIOD:
            return
        self._counts['allowance_tokens_returned'] += 1
        queue.ledger.add(1, now)
        queue.admit_waiting(now)

    def on_abandoned(self, inbound: InboundRequest) -> None:
        """Remove a waiting request."""
        if inbound.team is None:
            return
        queue = self._queues.get(inbound.team.name)
        if queue is not None:
            queue.remove(inbound)

    def _queue(self, team: str, allowance: Allowance) -> TeamQueue:
        queue = self._queues.get(team)
        if queue is None:
            queue = TeamQueue(TokenLedger(allowance, self._random.random()))
            self._queues[team] = queue
            self._drop_oldest()
        elif queue.ledger.allowance != allowance:
            queue.ledger.change_allowance(allowance)
        self._queues.move_to_end(team)
        return queue

    def _drop_oldest(self) -> None:
        """Drop the queue that was not used for longest if there are many."""
        if len(self._queues) <= _MAX_TEAMS:
            return
        team, queue = next(iter(self._queues.items()))
        if queue.is_idle:
            queue.stop_timer()
            del self._queues[team]

    def _ask_if_needed(self, team: str, queue: TeamQueue) -> None:
        """Send a token request, now or once the interval has passed."""
        now = self._timers.clock.now()
        if queue.request_id or queue.ledger.denied_until > now:
            return
        if not queue.ledger.wanted(len(queue.waiting), now):
            return
        if queue.may_ask(now):
            queue.on_ask()
            self._ask(team, queue)
        elif queue.waiting and queue.timer is None:
            queue.timer = self._timers.after(
                queue.seconds_to_ask(now),
                lambda: self._on_interval_passed(team, queue),
            )

    def _on_interval_passed(self, team: str, queue: TeamQueue) -> None:
        queue.timer = None
        if queue.waiting:
            self._ask_if_needed(team, queue)

    def _ask(self, team: str, queue: TeamQueue) -> None:
        now = self._timers.clock.now()
        queue.stop_timer()
        candidates = self._grantors.ranked(team, _CANDIDATES, now)
        self._note_grantor(team, queue, candidates)
        if queue.skips_first:
            candidates.reverse()
        if queue.tries >= len(candidates):
            self._on_cut_off(queue)
            return
        peer = candidates[queue.tries]
        queue.tries += 1
        request = TokenRequest(
            self._links.next_id(),
            team,
            max(1, queue.ledger.wanted(len(queue.waiting), now)),
            queue.ledger.allowance.rate,
            queue.ledger.allowance.burst,
            self._document_version(),
            self._population.count,
        )
        self._counts['allowance_token_requests'] += 1
        queue.request_id = request.id
        if peer == self._own_id:
            answer = self._service.answer(request)
            self._on_answer(team, queue, request, now, answer)
            return
        queue.timer = self._timers.after(
            _MAX_WAIT, lambda: self._on_timeout(queue)
        )
        self._links.request(
            peer,
            request,
            lambda answer: self._on_answer(team, queue, request, now, answer),
        )

    def _on_answer(
        self,
        team: str,
        queue: TeamQueue,
        request: TokenRequest,
        asked_at: float,
        answer: TokenGrant | LinkLost,
    ) -> None:
        is_current = queue.request_id == request.id
        if is_current:
            queue.request_id = 0
            queue.stop_timer()
        if isinstance(answer, TokenGrant):
            now = self._timers.clock.now()
            self._population.on_peer_count(answer.known, now)
            if answer.granted or answer.retry_ms:
                self._on_grant(queue, request, asked_at, answer)
                if is_current:
                    self._on_granted(team, queue, answer.retry_ms)
                return
        if is_current:
            self._ask(team, queue)

    def _on_grant(
        self,
        queue: TeamQueue,
        request: TokenRequest,
        asked_at: float,
        grant: TokenGrant,
    ) -> None:
        queue.is_cut_off = False
        ledger = queue.ledger
        ledger.on_grantor()
        # A lowered allowance voids tokens that were granted by the former one.
        if (
            request.rate <= ledger.allowance.rate
            and request.burst <= ledger.allowance.burst
        ):
            ledger.add(grant.granted, asked_at)
        queue.admit_waiting(self._timers.clock.now())

    def _on_granted(self, team: str, queue: TeamQueue, retry_ms: int) -> None:
        if not retry_ms:
            self._ask_if_needed(team, queue)
            return
        delay = retry_ms / _MS_PER_SECOND
        queue.ledger.denied_until = self._timers.clock.now() + delay
        for one in _drain(queue):
            self._refuse(one, delay, 'denied')

    def _on_timeout(self, queue: TeamQueue) -> None:
        """Stop waiting for an answer; tokens of a late one are still used."""
        queue.timer = None
        queue.request_id = 0
        queue.skips_first = not queue.skips_first
        self._on_cut_off(queue)

    def _on_cut_off(self, queue: TeamQueue) -> None:
        self._counts['allowance_requests_unanswered'] += 1
        queue.is_cut_off = True
        for one in _drain(queue):
            self._decide_alone(one, queue)

    def _decide_alone(self, one: WaitingRequest, queue: TeamQueue) -> None:
        """Admit a request with the node's own bucket, or refuse it."""
        now = self._timers.clock.now()
        if self._population.settled_at(now) is None:
            # All nodes may have restarted, and none has granted tokens since.
            may_run = queue.ledger.take_credit()
        else:
            may_run = queue.ledger.take_own(self._population.known(now), now)
        if may_run:
            self._counts['allowance_admitted_alone'] += 1
            one.on_decided(None)
        else:
            self._refuse(one, _CUT_OFF_DELAY, 'no grantor')

    def _refuse(
        self, one: WaitingRequest, retry_after: float, reason: str
    ) -> None:
        self._counts['allowance_refused'] += 1
        self._log.info(
            'allowance exceeded',
            correlation=one.inbound.correlation,
            team=one.inbound.team.name if one.inbound.team else '',
            reason=reason,
            retry_after_ms=ceil(retry_after * _MS_PER_SECOND),
        )
        message = f'the allowance of the team is used up ({reason})'
        one.on_decided(
            Problem(ErrorKind.ALLOWANCE_EXCEEDED, message, retry_after)
        )

    def _note_grantor(
        self, team: str, queue: TeamQueue, candidates: list[str]
    ) -> None:
        grantor = candidates[0] if candidates else ''
        if grantor == queue.grantor:
            return
        if queue.grantor:
            self._counts['allowance_grantor_changes'] += 1
            self._log.info(
                'allowance grantor changed',
                team=team,
                grantor=grantor,
                former=queue.grantor,
            )
        queue.grantor = grantor
        queue.skips_first = False


def _drain(queue: TeamQueue) -> list[WaitingRequest]:
    waiting = list(queue.waiting)
    queue.waiting.clear()
    return waiting
