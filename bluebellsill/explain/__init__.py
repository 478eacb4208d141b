"""Explains where a request would go now, without sending it."""

from __future__ import annotations

from bluebellsill.explain.explainer import Explainer
from bluebellsill.explain.explanation import Explanation

__all__ = ('Explainer', 'Explanation')
