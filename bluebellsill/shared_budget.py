"""A node's part of a retry budget that all nodes share."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bluebellsill.retries import BudgetRules

if TYPE_CHECKING:
    from bluebellsill.mesh_settings import BoundSettings

__all__ = ('shared_budget',)

# The share of the common budget that is used: nodes cannot count exactly what
# others spend, and calls of requests that run again count too.
_SHARE = 0.5
# Retries; a node with a thousand requests a window saves no more at once.
_MOST_SAVED = 50.0


def shared_budget(bounds: BoundSettings, nodes: int) -> BudgetRules:
    """Return the budget of one node for one service.

    What is allowed beside a share of the requests is divided by the nodes.
    One half may be spent at once, the other one as time passes. What is
    saved fades over the window in which the platform counts, so that a node
    never spends more than a share of its requests of about that time; a
    bound on what is saved would leave many nodes with less than one retry.

    Args:
        bounds: The bounds of all nodes together.
        nodes: How many nodes there are.
    """
    extra = _SHARE * bounds.budget_extra / max(1, nodes)
    return BudgetRules(
        deposit=_SHARE * bounds.retry_budget_ratio,
        start=extra / 2,
        cap=_MOST_SAVED,
        per_second=extra / 2 / bounds.budget_window_s,
        # No target has seen a call that its node refused.
        refused_cost=0,
        lifetime=bounds.budget_window_s,
    )
