"""Assembles the allowances of a node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.allowances.grantor import Grantor
from bluebellsill.allowances.grantor_service import GrantorService
from bluebellsill.allowances.grantors import Grantors
from bluebellsill.allowances.member_changes import MemberChanges
from bluebellsill.allowances.population import Population
from bluebellsill.allowances.step import AllowanceStep

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from bluebellsill.clock import Clock
    from bluebellsill.gossip_messages import Member
    from bluebellsill.membership import Members
    from bluebellsill.metrics import Metrics
    from bluebellsill.peer_stack import PeerStack

__all__ = ('allowance_step', 'observe')


def allowance_step(
    peers: PeerStack,
    document_version: Callable[[], int],
    random: Random,
    metrics: Metrics,
) -> AllowanceStep:
    """Serve the token requests of peers, and return the entry step.

    Args:
        peers: The membership, the links and the server of this node.
        document_version: Returns the version of the routing document in
            force, 0 without one.
        random: Spreads the use of tokens without a grantor over the nodes.
        metrics: Counts the decisions.
    """
    own_id = peers.members.own.id
    clock = peers.links.reactor.timers.clock
    population, grantors = observe(peers.members, clock)
    grantor = Grantor(own_id, grantors, population)
    service = GrantorService(grantor, population, clock, metrics)
    service.serve(peers.server)
    metrics.gauges.update(
        allowance_buckets=lambda: len(grantor),
        allowance_live_share=lambda: population.share(clock.now()),
    )
    return AllowanceStep(
        own_id,
        grantors,
        service,
        population,
        peers.links,
        document_version,
        random,
        metrics,
    )


def observe(members: Members, clock: Clock) -> tuple[Population, Grantors]:
    """Return the population and the grantors that follow the members."""
    population = Population(clock.now())
    grantors = Grantors(
        members.own.id, members.by_id.values, population, clock.now()
    )

    def on_change(former: Member | None, record: Member, now: float) -> None:
        population.on_change(former, record, now)
        grantors.on_change(former, record, now)

    changes = MemberChanges(on_change)
    grantors.before_lookup = changes.flush
    for known in members.by_id.values():
        on_change(None, known, clock.now())
    members.subscribe(
        lambda former, record: changes.on_change(former, record, clock.now())
    )
    return population, grantors
