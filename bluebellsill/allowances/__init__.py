"""Distributed rate limiting of the teams' requests."""

from __future__ import annotations

from bluebellsill.allowances.assembly import allowance_step

__all__ = ('allowance_step',)
