"""Serves the token requests of this node and of its peers."""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from bluebellsill.messages import TokenGrant, TokenRequest
from bluebellsill.teams import Allowance

if TYPE_CHECKING:
    from bluebellsill.allowances.grantor import Grantor
    from bluebellsill.allowances.population import Population
    from bluebellsill.clock import Clock
    from bluebellsill.metrics import Metrics
    from bluebellsill.peers import PeerConnection, PeerServer

__all__ = ('GrantorService',)

_MS_PER_SECOND = 1000


class GrantorService:
    """Connects the grantor of this node to its peers."""

    def __init__(
        self,
        grantor: Grantor,
        population: Population,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Create a service; ``serve`` connects it to the peers."""
        self._grantor = grantor
        self._population = population
        self._clock = clock
        self._counts = metrics.counts

    def serve(self, server: PeerServer) -> None:
        """Register the handler for token requests."""
        server.on(TokenRequest, self._on_request)

    def answer(self, request: TokenRequest) -> TokenGrant:
        """Answer a request, also one that makes no sense."""
        now = self._clock.now()
        self._population.on_peer_count(request.known, now)
        known = self._population.count
        if not (request.rate > 0 and request.wanted > 0):
            return TokenGrant(request.id, 0, 0, known)
        grant = self._grantor.grant(
            request.team,
            request.wanted,
            Allowance(request.rate, max(0, request.burst)),
            request.document_version,
            now,
        )
        if grant is None:
            self._counts['allowance_requests_turned_away'] += 1
            return TokenGrant(request.id, 0, 0, known)
        self._counts['allowance_tokens_granted'] += grant.granted
        self._counts['allowance_requests_denied'] += grant.delay > 0
        return TokenGrant(
            request.id,
            grant.granted,
            ceil(grant.delay * _MS_PER_SECOND),
            known,
        )

    def _on_request(
        self, connection: PeerConnection, request: TokenRequest
    ) -> None:
        connection.send(self.answer(request))
