"""Teams: who sends a request, what it may send, and how urgent it is."""

from __future__ import annotations

from bluebellsill.teams.confirmed_lookup import ConfirmedLookup
from bluebellsill.teams.directory import TeamDirectory
from bluebellsill.teams.revoked_keys import RevokedKeys
from bluebellsill.teams.team import Allowance, Team
from bluebellsill.teams.team_filter import TeamFilter

__all__ = (
    'Allowance',
    'ConfirmedLookup',
    'RevokedKeys',
    'Team',
    'TeamDirectory',
    'TeamFilter',
)
