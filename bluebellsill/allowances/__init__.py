"""Distributed rate limiting of the teams' requests."""

from __future__ import annotations

from bluebellsill.allowances.assembly import allowance_step
from bluebellsill.allowances.team_queue import TeamTokens

__all__ = ('TeamTokens', 'allowance_step')
