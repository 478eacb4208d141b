"""Computes a node's part of a retry budget that all nodes share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.retries import BudgetRules

if TYPE_CHECKING:
    from bluebellsill.mesh_settings import BoundSettings

__all__ = ('shared_budget',)

# The share of the common budget that nodes use: none can count exactly what the
# others spend, and the nested calls of a retried request count as well.
_USED_SHARE = 0.5
# Retries; also a node with a thousand requests in a window holds no more.
_MAX_HELD = 50.0


def shared_budget(bounds: BoundSettings, nodes: int) -> BudgetRules:
    """Return the budget of one node for one service.

    The platform allows a share of the requests and a fixed number of
    retries in addition, which is divided evenly among the nodes. Half of
    this number is available at once, the other half as time passes. What a
    budget holds decays over the window in which the platform counts, so a
    node never spends more than its share of the requests of about one
    window. A low cap instead would leave each of many nodes less than one
    retry.

    Args:
        bounds: The limits for all nodes together.
        nodes: The number of nodes.
    """
    extra = _USED_SHARE * bounds.budget_extra / max(1, nodes)
    return BudgetRules(
        deposit=_USED_SHARE * bounds.retry_budget_ratio,
        initial=extra / 2,
        cap=_MAX_HELD,
        per_second=extra / 2 / bounds.budget_window_s,
        # A call that a node refused has not reached a target.
        refused_cost=0,
        lifetime=bounds.budget_window_s,
    )
