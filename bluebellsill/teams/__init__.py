"""Teams: who sends a request, what it may send, and how urgent it is."""

from __future__ import annotations

from bluebellsill.teams.team import Allowance, Team

__all__ = ('Allowance', 'Team')
