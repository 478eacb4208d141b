"""Grants claims on idempotency keys and sends claims to other nodes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from bluebellsill.holder_history import (
    HolderHistory,
    holders_of,
    key_time,
)
from bluebellsill.idempotency import (
    ClaimState,
    KeyRecords,
    Outcome,
)
from bluebellsill.membership import MemberState
from bluebellsill.messages import Claim, ClaimReply, Settle

if TYPE_CHECKING:
    from collections.abc import Callable

    from bluebellsill.configuration import Configuration
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.messages import Incarnations
    from bluebellsill.peers import LinkLost, PeerLinks

__all__ = ('KeyRegistry',)


class KeyRegistry:
    """Holds the key records of this node and reaches those of other nodes."""

    def __init__(
        self,
        members: Members,
        links: PeerLinks,
        configuration: Configuration,
        wall_clock: Callable[[], float],
        is_fresh: Callable[[], bool],
    ) -> None:
        """Create a registry without records.

        Args:
            members: The nodes that may hold keys.
            links: The connections to them.
            configuration: Declares how many targets a service has.
            wall_clock: Returns seconds since 1970.
            is_fresh: Returns whether this node's view of the members is up
                to date. It may not be after a pause of the process.
        """
        self.records = KeyRecords()
        self._wall_clock = wall_clock
        self._is_fresh = is_fresh
        self._history = HolderHistory(wall_clock())
        self._configuration = configuration
        self._members = members
        self._links = links
        members.subscribe(self._on_member_changed)
        configuration.subscribe(self.observe)

    def holders(self, service: str, scoped_key: str) -> Incarnations:
        """Return the holders that this node knows, highest rank first."""
        incarnations = {
            member.id: member.incarnation
            for member in self._members.of_service(service)
        }
        return holders_of(scoped_key, incarnations)

    def claim(
        self,
        holder: str,
        claim: Claim,
        on_reply: Callable[[ClaimReply | LinkLost], None],
    ) -> None:
        """Send a claim to a holder, which may be this node."""
        if holder == self._members.own.id:
            on_reply(self.on_claim(claim))
            return
        request = replace(claim, id=self._links.next_id())
        self._links.request(holder, request, on_reply)

    def settle(self, holder: str, settle: Settle) -> None:
        """Report an outcome to a holder, which may be this node."""
        if holder == self._members.own.id:
            self.on_settle(settle)
        else:
            self._links.send(holder, settle)

    def on_claim(self, claim: Claim) -> ClaimReply:
        """Answer a claim as one of the holders of its key."""
        now = self._wall_clock()
        if not self._may_grant(claim, now):
            return ClaimReply(claim.id, int(ClaimState.NOT_HOLDER))
        made_at = key_time(claim.key.rpartition('\0')[2])
        grant = self.records.claim(
            claim.key,
            claim.owner,
            claim.fingerprint,
            lifetime=claim.lifetime_ms / 1000,
            now=self._links.now(),
            certainty=self._history.certainty(claim.key, made_at, now),
        )
        return ClaimReply(
            claim.id,
            int(grant.state),
            grant.status,
            grant.headers,
            grant.body,
        )

    def on_settle(self, settle: Settle) -> None:
        """Record the outcome of a claimed request."""
        answer = (settle.status, settle.headers, settle.body)
        self.records.settle(
            settle.key,
            settle.owner,
            _outcome(settle.outcome),
            answer if settle.outcome == Outcome.ANSWERED else None,
        )

    def observe(self) -> None:
        """Record the current members of the own service."""
        service = self._members.own.service
        if not service:
            return
        declaration = self._configuration.service(service)
        self._history.observe(
            self._members.of_service(service),
            self._wall_clock(),
            declaration.expected_targets if declaration else 0,
        )

    def _may_grant(self, claim: Claim, now: float) -> bool:
        history = self._history
        return (
            self._is_fresh()
            and history.holders(claim.key) == claim.holders
            and history.has_majority
            and history.is_settled(claim.key, now)
        )

    def _on_member_changed(self, known: Member | None, record: Member) -> None:
        service = self._members.own.service
        services = {record.service, known.service if known else ''}
        if not service or service not in services:
            return
        if known is not None and _is_ungraceful(known, record):
            self._history.on_lost(known, self._wall_clock())
        self.observe()


def _is_ungraceful(known: Member, record: Member) -> bool:
    """Return whether a member is gone without having left gracefully."""
    if record.state != MemberState.GONE:
        return False
    # Only a member itself increases its version. A higher version of the GONE
    # record than of the LEAVING one thus means that it completed its exit.
    was_leaving = known.state == MemberState.LEAVING
    return not was_leaving or record.version == known.version


def _outcome(number: int) -> Outcome:
    """Return an outcome from a peer; unrecognized ones are UNKNOWN."""
    try:
        return Outcome(number)
    except ValueError:
        return Outcome.UNKNOWN
